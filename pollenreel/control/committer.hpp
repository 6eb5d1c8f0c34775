// Commits changes to the platform's store by compare-and-swap, one at a time,
// and says truthfully what became of each. Pure: store calls are emitted and
// their replies handed in.
//
// - A write whose answer is lost is looked up again: the stored configuration
//   remembers the command ids of recent changes, so the change is recognised
//   also when others came after it. Until that is known no `refused` is said.
// - A change that meets another one is made again on top of it if the two
//   have different scopes; else the other has won and is named.
// - A store that shows an older configuration than this instance applies
//   (restored from a backup) is not followed: the applied one is the base.
//
//   committer c("pollenreel/configuration");
//   auto step = c.submit(change);
//   while (step.call) step = c.on_reply(ask(*step.call));
#pragma once

#include "pollenreel/control/change.hpp"
#include "pollenreel/store/messages.hpp"

#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pollenreel::control {

// What became of a change.
struct accepted {
    base::config_version version;
    std::string summary;
};
struct refused {
    std::string why;
    // Set when what was asked for holds already, in this version.
    std::optional<base::config_version> holds_in = std::nullopt;
};
// Another operator's change came first.
struct lost_race {
    base::config_version version;
    std::string author;
    std::string summary;
};
// It may have been accepted; ask again with the same command id.
struct undecided {};
using verdict = std::variant<accepted, refused, lost_race, undecided>;

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
        // Encoded configurations seen in the store on the way, in order.
        std::vector<std::string> seen;
    };

    explicit committer(std::string key);

    // Tells which configuration this instance applies now.
    void learn(const declarations::configuration& applied);
    [[nodiscard]] step submit(change c);
    [[nodiscard]] step on_reply(const store::reply& r);
    [[nodiscard]] bool busy() const { return !m_queue.empty(); }

private:
    enum class phase { idle, reading, writing, checking };
    // The stored configuration, as last seen.
    struct stored {
        declarations::configuration value;
        store::revision at;
    };

    void start_next(step& out);
    void on(const store::found& r, step& out);
    void on(const store::swapped& r, step& out);
    void on(const store::conflicting& r, step& out);
    void on(const store::unreachable& r, step& out);
    void on(const store::unanswered& r, step& out);
    // Takes in what the store holds; false when it cannot be read.
    [[nodiscard]] bool take(const std::optional<store::entry>& e, step& out);
    // Goes on with the first change on top of m_stored.
    void proceed(step& out);
    [[nodiscard]] const declarations::configuration& current() const;
    // A change since the version that the first attempt was made on that
    // conflicts with the first in the queue.
    [[nodiscard]] std::optional<lost_race> conflict() const;
    void write(step& out);
    void read_again(step& out);
    void refuse(std::string why, step& out,
                std::optional<base::config_version> holds_in = std::nullopt);
    void finish(verdict v, step& out);

    std::string m_key;
    std::deque<change> m_queue;
    phase m_phase = phase::idle;
    declarations::configuration m_applied;
    std::optional<stored> m_stored;
    declarations::configuration m_proposed;
    std::string m_proposed_text;
    // Of the change under way: the version that it is made on,
    std::optional<base::config_version> m_made_on;
    // the revision that a write without an answer expected,
    std::optional<store::revision> m_unanswered_at;
    int m_checks_left = 0;
    int m_attempts_left = 0;
};

} // namespace pollenreel::control
