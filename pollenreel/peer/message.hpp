// The messages between instances, as plain values. They are encoded as protobuf
// (codec.hpp) and sent over ZeroMQ (transport.hpp).
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/feed/messages.hpp"
#include "pollenreel/shift/messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pollenreel::peer {

// An entry instance as known to its peers. An instance has a greater
// incarnation after each restart.
struct member {
    base::instance_id instance;
    base::failure_domain_id failure_domain;
    base::endpoint caller_address;
    base::endpoint peer_address;
    std::uint64_t incarnation = 0;
    bool leaving = false;

    friend bool operator==(const member&, const member&) = default;
};

enum class member_state { live, suspect, dead };

struct member_update {
    peer::member member;
    member_state state = member_state::live;

    friend bool operator==(const member_update&,
                           const member_update&) = default;
};

// Which members are known to have applied `version` or a greater one: one bit
// per member, in the order of their names. Valid only for a receiver whose list
// of names and incarnations has the digest `names_digest`.
struct acknowledgements {
    base::config_version version;
    std::uint64_t names_digest = 0;
    std::string bits;

    friend bool operator==(const acknowledgements&,
                           const acknowledgements&) = default;
};

// Membership state piggybacked on probes, their answers and news.
struct gossip {
    base::config_version applied; // by the sender
    std::uint64_t view_digest = 0;
    std::vector<member_update> updates;
    std::optional<acknowledgements> acknowledged;

    friend bool operator==(const gossip&, const gossip&) = default;
};

// Checks whether the receiver is alive; answered with a probe_answer.
struct probe {
    base::instance_id sender;
    base::endpoint reply_to;
    std::uint64_t sequence = 0;
    peer::gossip gossip;
};

// Answers the probe or probe request with the same sequence number.
struct probe_answer {
    base::instance_id sender;
    std::uint64_t sequence = 0;
    peer::gossip gossip;
};

// Asks the receiver to probe `target` on the sender's behalf.
struct probe_request {
    base::instance_id sender;
    base::endpoint reply_to;
    std::uint64_t sequence = 0;
    base::endpoint target;
};

// Member updates, sent without waiting for the next probe.
struct news {
    base::instance_id sender;
    peer::gossip gossip;
};

// The digests of the sender's members, one per bucket. The receiver answers
// with the members of the buckets that differ and, unless `answer` is set, with
// a sync_request of its own.
struct sync_request {
    base::instance_id sender;
    base::endpoint reply_to;
    std::vector<std::uint64_t> buckets;
    bool answer = false;
};

using message =
    std::variant<probe, probe_answer, probe_request, news, sync_request,
                 feed::push, feed::pull, feed::digest, share::request,
                 share::grant, shift::load_report, shift::load_summary>;

} // namespace pollenreel::peer
