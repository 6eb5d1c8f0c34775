// Tracks unanswered probes: a direct probe that times out is retried indirectly
// through other members, and reported as unreachable if that times out as well.
// Performs no I/O.
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

// Shorter timeouts detect failures sooner but suspect slow members. Must be
// several times the round-trip time between regions.
constexpr std::chrono::milliseconds direct_timeout{300};
constexpr std::chrono::milliseconds indirect_timeout{500};

class probe_tracker {
public:
    struct requester { // the instance that an indirect probe is made for
        base::endpoint reply_to;
        std::uint64_t sequence = 0;
    };
    struct timeouts {
        std::vector<std::uint64_t> retry; // to be probed indirectly
        std::vector<base::instance_id> unreachable;
    };

    // Each starts a probe and returns its sequence number. Only a direct probe
    // is retried and can report its target as unreachable.
    std::uint64_t begin_direct(const base::instance_id& target,
                               const base::endpoint& address,
                               base::time_point now);
    std::uint64_t begin_discovery(base::time_point now);
    std::uint64_t begin_on_behalf_of(requester from, base::time_point now);

    // Ends the probe. Returns the instance to forward the answer to, if any.
    std::optional<requester> on_answer(std::uint64_t sequence);
    // Returns the probes that have timed out by `now`.
    [[nodiscard]] timeouts expire(base::time_point now);
    [[nodiscard]] const base::endpoint& address(std::uint64_t sequence) const;
    // Whether a direct probe of `target` is in progress.
    [[nodiscard]] bool is_probing(const base::instance_id& target) const;
    // Discards all probes in progress.
    void clear() { m_open.clear(); }

private:
    struct open_probe {
        base::instance_id target; // empty unless begun by begin_direct
        base::endpoint address;
        std::optional<requester> on_behalf_of;
        base::time_point deadline;
        bool indirect = false;
    };
    std::uint64_t add(open_probe probe);

    std::map<std::uint64_t, open_probe> m_open;
    std::uint64_t m_last_sequence = 0;
};

} // namespace pollenreel::membership
