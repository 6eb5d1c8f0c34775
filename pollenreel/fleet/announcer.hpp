// Registers this instance in the platform's store: keeps one key present under
// a lease that expires soon after the instance stops renewing it. Performs no
// I/O: the owner sends the requests that it returns, one at a time, and passes
// the replies back.
//
//   announcer a({"fleet/instances/front-1", value});
//   if (auto r = a.next_request(now)) call(*r);
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
    // Time to live of the lease. The directory may list a crashed instance for
    // this long plus one watch interval.
    std::chrono::seconds time_to_live{3};

    // Short enough that the lease survives one lost renewal.
    [[nodiscard]] std::chrono::milliseconds renew_interval() const {
        constexpr int percent = 40;
        return std::chrono::milliseconds(time_to_live) * percent / 100;
    }
};

class announcer {
public:
    enum class state { absent, leased, announced, withdrawn };

    explicit announcer(announcer_options o) : m_options(std::move(o)) {}

    // Returns the next request to the store if one is due. Returns nothing
    // while the previous request awaits its reply.
    [[nodiscard]] std::optional<store::request>
    next_request(base::time_point now);
    void on_reply(const store::reply& r, base::time_point now);
    // The watch reported that the key was removed.
    void on_key_removed(base::time_point now);
    // Makes the next request revoke the lease; the key is never written again.
    void withdraw();
    [[nodiscard]] state current_state() const { return m_state; }

private:
    void restart(base::time_point now);

    announcer_options m_options;
    state m_state = state::absent;
    store::lease_id m_lease;
    store::revision m_expected_revision{}; // of the key; zero: absent
    bool m_awaiting_reply = false;
    bool m_withdraw_requested = false;
    base::time_point m_next_request_at{};
    retry_backoff m_backoff;
};

} // namespace pollenreel::fleet
