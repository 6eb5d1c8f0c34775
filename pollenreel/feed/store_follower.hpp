// Follows one key of the store on behalf of a region: reads it, watches it
// from the next revision, resumes the watch where it broke, and checks every
// few seconds by a read without the value that the watch is not silently dead.
// Pure; the driver carries out what a step asks for.
//
//   store_follower f("pollenreel/configuration", seed);
//   auto step = f.start(now);
//   ... f.on_reply(reply, now), f.on_report(report, now), f.on_tick(now)
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/base/random.hpp"
#include "pollenreel/store/messages.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pollenreel::feed {

// Trades reads of the store against how long a silent watch goes unnoticed.
constexpr std::chrono::milliseconds check_period{2000};
constexpr std::chrono::milliseconds least_backoff{250};
constexpr std::chrono::milliseconds most_backoff{4000};

struct open_watch {
    store::watch watch;
};
struct close_watch {};
struct ask_store {
    store::request request;
};
using store_effect = std::variant<open_watch, close_watch, ask_store>;

class store_follower {
public:
    struct step {
        std::vector<store_effect> effects;
        std::vector<std::string> values; // of the key, in order
    };

    store_follower(std::string key, std::uint64_t seed);

    [[nodiscard]] step start(base::time_point now);
    [[nodiscard]] step stop();
    // Each reply to an ask_store, exactly one, also after stop().
    [[nodiscard]] step on_reply(const store::reply& r, base::time_point now);
    [[nodiscard]] step on_report(const store::watch_report& r,
                                 base::time_point now);
    [[nodiscard]] step on_tick(base::time_point now);

    [[nodiscard]] bool following() const { return m_phase != phase::off; }
    // When the last value was last known to be the store's.
    [[nodiscard]] std::optional<base::time_point> confirmed() const {
        return m_confirmed;
    }

private:
    // `waiting`: for the time of another try; `reading`: the value is asked
    // for; `watching`: a watch is open or being opened.
    enum class phase { off, waiting, reading, watching };

    void read(step& out, base::time_point now, bool without_value);
    void open(step& out, base::time_point now);
    void back_off(base::time_point now);
    void on_read(const store::found& r, step& out, base::time_point now);
    void on_check(const store::found& r, step& out, base::time_point now);
    void on(const store::watch_opened& r, step& out, base::time_point now);
    void on(const store::watch_changed& r, step& out, base::time_point now);
    void on(const store::watch_compacted& r, step& out, base::time_point now);
    void on(const store::watch_closed& r, step& out, base::time_point now);

    std::string m_key;
    base::random m_random;
    phase m_phase = phase::off;
    bool m_asked = false; // a reply is owed
    bool m_asked_value = false;
    base::time_point m_asked_at;
    store::revision m_seen; // last modification of the key that was seen
    store::revision m_next; // where a watch goes on; zero: read first
    base::time_point m_try_at;
    base::time_point m_check_at;
    base::duration m_backoff = least_backoff;
    std::optional<base::time_point> m_confirmed;
};

} // namespace pollenreel::feed
