#include "pollenreel/peer/codec.hpp"

#include "pollenreel/base/overloaded.hpp"
#include "pollenreel/peer/feed_codec.hpp"
#include "pollenreel/peer/shift_codec.hpp"
#include "proto/peer.pb.h"

namespace pollenreel::peer {

namespace {

void fill(wire::Member& to, const member& from) {
    to.set_instance(from.instance.str());
    to.set_failure_domain(from.failure_domain.str());
    to.set_caller_address(from.caller_address.str());
    to.set_peer_address(from.peer_address.str());
    to.set_incarnation(from.incarnation);
    to.set_leaving(from.leaving);
}

std::optional<member> read(const wire::Member& from) {
    auto caller = base::parse_endpoint(from.caller_address());
    auto own = base::parse_endpoint(from.peer_address());
    if (!caller || !own || from.instance().empty()) {
        return std::nullopt;
    }
    return member{base::instance_id(from.instance()),
                  base::failure_domain_id(from.failure_domain()),
                  caller.value(),
                  own.value(),
                  from.incarnation(),
                  from.leaving()};
}

std::optional<message> read(const wire::Heartbeat& from) {
    auto sender = read(from.sender());
    if (!sender) {
        return std::nullopt;
    }
    heartbeat h{*sender, base::config_version(from.applied_version()), {}};
    for (const auto& k : from.known()) {
        auto one = read(k);
        if (!one) {
            return std::nullopt;
        }
        h.known.push_back(*one);
    }
    return h;
}

template <class One>
std::optional<message> as_message(std::optional<One> one) {
    if (!one) {
        return std::nullopt;
    }
    return message(std::move(*one));
}

} // namespace

std::string encode(const message& m) {
    wire::Envelope e;
    std::visit(
        base::overloaded{
            [&](const heartbeat& h) {
                auto& to = *e.mutable_heartbeat();
                fill(*to.mutable_sender(), h.sender);
                to.set_applied_version(h.applied.value());
                for (const auto& k : h.known) {
                    fill(*to.add_known(), k);
                }
            },
            [&](const feed::push& p) {
                fill(*e.mutable_configuration_push(), p);
            },
            [&](const feed::pull& p) {
                fill(*e.mutable_configuration_pull(), p);
            },
            [&](const feed::digest& d) {
                fill(*e.mutable_configuration_digest(), d);
            },
            [&](const share::ask& a) { fill(*e.mutable_share_ask(), a); },
            [&](const share::grant& g) { fill(*e.mutable_share_grant(), g); },
            [&](const shift::load_report& r) {
                fill(*e.mutable_load_report(), r);
            },
            [&](const shift::load_summary& s) {
                fill(*e.mutable_load_summary(), s);
            },
        },
        m);
    return e.SerializeAsString();
}

std::optional<message> decode(std::string_view bytes) {
    wire::Envelope e;
    if (bytes.size() > most_message_bytes ||
        !e.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    switch (e.body_case()) {
    case wire::Envelope::kHeartbeat:
        return read(e.heartbeat());
    case wire::Envelope::kConfigurationPush:
        return as_message(read(e.configuration_push()));
    case wire::Envelope::kConfigurationPull:
        return as_message(read(e.configuration_pull()));
    case wire::Envelope::kConfigurationDigest:
        return as_message(read(e.configuration_digest()));
    case wire::Envelope::kShareAsk:
        return as_message(read(e.share_ask()));
    case wire::Envelope::kShareGrant:
        return as_message(read(e.share_grant()));
    case wire::Envelope::kLoadReport:
        return as_message(read(e.load_report()));
    case wire::Envelope::kLoadSummary:
        return as_message(read(e.load_summary()));
    case wire::Envelope::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace pollenreel::peer
