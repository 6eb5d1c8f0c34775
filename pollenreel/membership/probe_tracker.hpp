// Follows the probes that have not been answered: a second, indirect try
// through other members, then a verdict. Pure.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/peer/message.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace pollenreel::membership {

// A message to hand to the transport.
struct outgoing_message {
    base::endpoint to;
    peer::message message;
};
using outbox = std::vector<outgoing_message>;

// Trades how soon a death is noticed against suspicion of the slow. Must
// exceed the round trip between regions several times.
constexpr std::chrono::milliseconds direct_timeout{300};
constexpr std::chrono::milliseconds indirect_timeout{500};

class probe_tracker {
public:
    struct requester { // of a probe made on another's behalf
        base::endpoint reply_to;
        std::uint64_t sequence = 0;
    };
    struct timeouts {
        std::vector<std::uint64_t> retry;           // try indirectly now
        std::vector<base::instance_id> unreachable; // nobody reached these
    };

    // Each returns the sequence to send. The first is judged by its answer.
    std::uint64_t begin_direct(const base::instance_id& target,
                               const base::endpoint& address,
                               base::time_point now);
    std::uint64_t begin_discovery(base::time_point now);
    std::uint64_t begin_on_behalf_of(requester o, base::time_point now);

    // Ends the probe. Gives where to pass the answer on to, if anywhere.
    std::optional<requester> on_answer(std::uint64_t sequence);
    // What is due by `now`.
    [[nodiscard]] timeouts expire(base::time_point now);
    [[nodiscard]] const base::endpoint& address(std::uint64_t sequence) const;
    // Whether a judged probe of `target` is under way.
    [[nodiscard]] bool is_probing(const base::instance_id& target) const;
    // Forgets all probes under way.
    void clear() { m_open.clear(); }

private:
    struct open_probe {
        base::instance_id target; // empty: not judged
        base::endpoint address;
        std::optional<requester> on_behalf_of;
        base::time_point deadline;
        bool indirect = false;
    };
    std::uint64_t add(open_probe o);

    std::map<std::uint64_t, open_probe> m_open;
    std::uint64_t m_last_sequence = 0;
};

} // namespace pollenreel::membership
