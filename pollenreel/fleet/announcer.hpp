// Keeps one key of this instance in the platform's store, under a lease that
// ends soon after the instance does. Pure: says what to ask, is told what
// came; one call at a time.
//
//   announcer a({"fleet/instances/front-1", value});
//   if (auto r = a.next(now)) call(*r);
//   a.on_reply(reply, now);
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/fleet/retry_backoff.hpp"
#include "pollenreel/store/messages.hpp"

#include <optional>
#include <string>

namespace pollenreel::fleet {

struct announcer_options {
    std::string key;
    std::string value;
    // A dead instance is named to callers for at most this long and the time
    // of a watch.
    std::chrono::seconds time_to_live{3};

    // One renewal may be lost, and tried again.
    [[nodiscard]] std::chrono::milliseconds renew_interval() const {
        constexpr int percent = 40;
        return std::chrono::milliseconds(time_to_live) * percent / 100;
    }
};

class announcer {
public:
    enum class state { absent, leased, announced, withdrawn };

    explicit announcer(announcer_options o) : m_options(std::move(o)) {}

    // What to ask the store now, if anything. Nothing more is asked until the
    // reply is told.
    [[nodiscard]] std::optional<store::request>
    next_request(base::time_point now);
    void on_reply(const store::reply& r, base::time_point now);
    // The key was seen to be gone.
    void on_key_removed(base::time_point now);
    // The instance leaves: the key is taken away, for good.
    void withdraw();
    [[nodiscard]] state current_state() const { return m_state; }

private:
    void restart(base::time_point now);

    announcer_options m_options;
    state m_state = state::absent;
    store::lease_id m_lease;
    store::revision m_expected_revision{}; // of the key before the write
    bool m_awaiting_reply = false;
    bool m_withdraw_requested = false;
    base::time_point m_next_request_at{};
    retry_backoff m_backoff;
};

} // namespace pollenreel::fleet
