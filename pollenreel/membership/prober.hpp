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
struct outgoing {
    base::endpoint to;
    peer::message message;
};
using outbox = std::vector<outgoing>;

// Trades how soon a death is noticed against suspicion of the slow. Must
// exceed the round trip between regions several times.
constexpr std::chrono::milliseconds direct_timeout{300};
constexpr std::chrono::milliseconds indirect_timeout{500};

class prober {
public:
    struct origin { // of a probe made on another's behalf
        base::endpoint reply_to;
        std::uint64_t sequence = 0;
    };
    struct due {
        std::vector<std::uint64_t> retry;      // try indirectly now
        std::vector<base::instance_id> failed; // nobody reached these
    };

    // Each returns the sequence to send. The first is judged by its answer.
    std::uint64_t begin(const base::instance_id& target,
                        const base::endpoint& address, base::time_point now);
    std::uint64_t begin_unjudged(base::time_point now);
    std::uint64_t begin_for(origin o, base::time_point now);

    // Ends the probe. Gives where to pass the answer on to, if anywhere.
    std::optional<origin> answered(std::uint64_t sequence);
    // What is due by `now`.
    [[nodiscard]] due expire(base::time_point now);
    [[nodiscard]] const base::endpoint& address(std::uint64_t sequence) const;
    // Whether a judged probe of `target` is under way.
    [[nodiscard]] bool probing(const base::instance_id& target) const;
    // Forgets all probes under way.
    void clear() { m_open.clear(); }

private:
    struct open {
        base::instance_id target; // empty: not judged
        base::endpoint address;
        std::optional<origin> on_behalf;
        base::time_point next;
        bool indirect = false;
    };
    std::uint64_t add(open o);

    std::map<std::uint64_t, open> m_open;
    std::uint64_t m_last = 0;
};

} // namespace pollenreel::membership
