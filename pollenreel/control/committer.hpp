// Commits changes to the platform's store by compare-and-swap, one at a time,
// and says truthfully what became of each. Pure: store calls are emitted and
// their replies handed in.
//
// A write whose answer is lost is looked up again: if the stored
// configuration carries the change's command id, the change was accepted.
#pragma once

#include "pollenreel/control/change.hpp"
#include "pollenreel/store/messages.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pollenreel::control {

// What became of a change.
struct accepted {
    declarations::configuration configuration;
};
struct refused {
    std::string why;
};
// Another operator's change came first.
struct lost_race {
    base::config_version version;
    std::string author;
    std::string summary;
};
// It may have been accepted; ask again with the same command id.
struct undecided {};
// What was asked for holds already, by another command.
struct unchanged {
    base::config_version version;
    std::string why;
};
using verdict =
    std::variant<accepted, refused, lost_race, undecided, unchanged>;

struct decided {
    base::command_id command;
    control::verdict verdict;
};

class committer {
public:
    // What the driver is to do: at most one store call is under way.
    struct step {
        std::optional<store::request> call;
        std::vector<decided> finished;
        // A configuration seen in the store on the way.
        std::optional<declarations::configuration> seen;
    };

    explicit committer(std::string key);

    [[nodiscard]] step submit(change c);
    [[nodiscard]] step on_reply(const store::reply& r);
    [[nodiscard]] bool busy() const { return !m_queue.empty(); }

private:
    enum class phase { idle, reading, writing, checking };

    void start_next(step& out);
    void on(const store::found& r, step& out);
    void on(const store::swapped& r, step& out);
    void on(const store::conflicting& r, step& out);
    void on(const store::unreachable& r, step& out);
    void on(const store::unanswered& r, step& out);
    void write(const declarations::configuration& current, store::revision at,
               step& out);
    void finish(verdict v, step& out);

    std::string m_key;
    std::deque<change> m_queue;
    phase m_phase = phase::idle;
    declarations::configuration m_proposed;
    int m_checks_left = 0;
};

} // namespace pollenreel::control
