// What instances say to each other, as plain values. The wire form is
// protobuf (codec.hpp) over ZeroMQ (transport.hpp).
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/feed/messages.hpp"
#include "pollenreel/shift/messages.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pollenreel::peer {

// An entry instance as its peers know it. A restarted instance comes back
// with a greater incarnation.
struct member {
    base::instance_id instance;
    base::failure_domain_id failure_domain;
    base::endpoint caller_address;
    base::endpoint peer_address;
    std::uint64_t incarnation = 0;
    bool leaving = false;

    friend bool operator==(const member&, const member&) = default;
};

struct heartbeat {
    member sender;
    base::config_version applied;
    std::vector<member> known;
};

using message =
    std::variant<heartbeat, feed::push, feed::pull, feed::digest, share::ask,
                 share::grant, shift::load_report, shift::load_summary>;

} // namespace pollenreel::peer
