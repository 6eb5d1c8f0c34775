#include "pollenreel/peer/codec.hpp"

#include "pollenreel/peer/feed_codec.hpp"
#include "pollenreel/peer/shift_codec.hpp"
#include "proto/peer.pb.h"

namespace pollenreel::peer {

namespace {

void to_proto(wire::Member& to, const member& from) {
    to.set_instance(from.instance.str());
    to.set_failure_domain(from.failure_domain.str());
    to.set_caller_address(from.caller_address.str());
    to.set_peer_address(from.peer_address.str());
    to.set_incarnation(from.incarnation);
    to.set_leaving(from.leaving);
}

std::optional<member> from_proto(const wire::Member& from) {
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

void to_proto(wire::Gossip& to, const gossip& from) {
    to.set_applied_version(from.applied.value());
    to.set_view_digest(from.view_digest);
    for (const auto& u : from.updates) {
        auto& one = *to.add_updates();
        to_proto(*one.mutable_member(), u.member);
        one.set_state(static_cast<wire::MemberUpdate::State>(u.state));
    }
    if (from.acknowledged) {
        auto& acks = *to.mutable_acknowledgements();
        acks.set_version(from.acknowledged->version.value());
        acks.set_names_digest(from.acknowledged->names_digest);
        acks.set_bits(from.acknowledged->bits);
    }
}

std::optional<gossip> from_proto(const wire::Gossip& from) {
    gossip g;
    g.applied = base::config_version(from.applied_version());
    g.view_digest = from.view_digest();
    for (const auto& u : from.updates()) {
        auto one = from_proto(u.member());
        if (!one || !wire::MemberUpdate::State_IsValid(u.state())) {
            return std::nullopt;
        }
        g.updates.push_back({*one, static_cast<member_state>(u.state())});
    }
    if (from.has_acknowledgements()) {
        const auto& acks = from.acknowledgements();
        g.acknowledged = {base::config_version(acks.version()),
                          acks.names_digest(), acks.bits()};
    }
    return g;
}

std::optional<message> from_proto(const wire::Probe& from) {
    auto reply_to = base::parse_endpoint(from.reply_to());
    auto g = from_proto(from.gossip());
    if (!reply_to || !g || from.sender().empty()) {
        return std::nullopt;
    }
    return probe{base::instance_id(from.sender()), reply_to.value(),
                 from.sequence(), std::move(*g)};
}

std::optional<message> from_proto(const wire::ProbeAnswer& from) {
    auto g = from_proto(from.gossip());
    if (!g || from.sender().empty()) {
        return std::nullopt;
    }
    return probe_answer{base::instance_id(from.sender()), from.sequence(),
                        std::move(*g)};
}

std::optional<message> from_proto(const wire::ProbeRequest& from) {
    auto reply_to = base::parse_endpoint(from.reply_to());
    auto target = base::parse_endpoint(from.target());
    if (!reply_to || !target || from.sender().empty()) {
        return std::nullopt;
    }
    return probe_request{base::instance_id(from.sender()), reply_to.value(),
                         from.sequence(), target.value()};
}

std::optional<message> from_proto(const wire::News& from) {
    auto g = from_proto(from.gossip());
    if (!g || from.sender().empty()) {
        return std::nullopt;
    }
    return news{base::instance_id(from.sender()), std::move(*g)};
}

std::optional<message> from_proto(const wire::SyncRequest& from) {
    auto reply_to = base::parse_endpoint(from.reply_to());
    if (!reply_to || from.sender().empty()) {
        return std::nullopt;
    }
    return sync_request{base::instance_id(from.sender()),
                        reply_to.value(),
                        {from.buckets().begin(), from.buckets().end()},
                        from.answer()};
}

template <class Value>
std::optional<message> to_message(std::optional<Value> value) {
    if (!value) {
        return std::nullopt;
    }
    return message(std::move(*value));
}

void to_proto(wire::Envelope& e, const probe& p) {
    auto& to = *e.mutable_probe();
    to.set_sender(p.sender.str());
    to.set_reply_to(p.reply_to.str());
    to.set_sequence(p.sequence);
    to_proto(*to.mutable_gossip(), p.gossip);
}

void to_proto(wire::Envelope& e, const probe_answer& p) {
    auto& to = *e.mutable_probe_answer();
    to.set_sender(p.sender.str());
    to.set_sequence(p.sequence);
    to_proto(*to.mutable_gossip(), p.gossip);
}

void to_proto(wire::Envelope& e, const probe_request& p) {
    auto& to = *e.mutable_probe_request();
    to.set_sender(p.sender.str());
    to.set_reply_to(p.reply_to.str());
    to.set_sequence(p.sequence);
    to.set_target(p.target.str());
}

void to_proto(wire::Envelope& e, const news& n) {
    auto& to = *e.mutable_news();
    to.set_sender(n.sender.str());
    to_proto(*to.mutable_gossip(), n.gossip);
}

void to_proto(wire::Envelope& e, const sync_request& r) {
    auto& to = *e.mutable_sync_request();
    to.set_sender(r.sender.str());
    to.set_reply_to(r.reply_to.str());
    to.mutable_buckets()->Assign(r.buckets.begin(), r.buckets.end());
    to.set_answer(r.answer);
}

void to_proto(wire::Envelope& e, const feed::push& p) {
    peer::to_proto(*e.mutable_configuration_push(), p);
}

void to_proto(wire::Envelope& e, const feed::pull& p) {
    peer::to_proto(*e.mutable_configuration_pull(), p);
}

void to_proto(wire::Envelope& e, const feed::digest& d) {
    peer::to_proto(*e.mutable_configuration_digest(), d);
}

void to_proto(wire::Envelope& e, const share::request& a) {
    peer::to_proto(*e.mutable_share_ask(), a);
}

void to_proto(wire::Envelope& e, const share::grant& g) {
    peer::to_proto(*e.mutable_share_grant(), g);
}

void to_proto(wire::Envelope& e, const shift::load_report& r) {
    peer::to_proto(*e.mutable_load_report(), r);
}

void to_proto(wire::Envelope& e, const shift::load_summary& s) {
    peer::to_proto(*e.mutable_load_summary(), s);
}

} // namespace

std::string encode(const message& m) {
    wire::Envelope e;
    std::visit([&](const auto& one) { to_proto(e, one); }, m);
    return e.SerializeAsString();
}

std::optional<message> decode(std::string_view bytes) {
    wire::Envelope envelope;
    if (bytes.size() > max_message_bytes ||
        !envelope.ParseFromArray(bytes.data(),
                                 static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    switch (envelope.body_case()) {
    case wire::Envelope::kProbe:
        return from_proto(envelope.probe());
    case wire::Envelope::kProbeAnswer:
        return from_proto(envelope.probe_answer());
    case wire::Envelope::kProbeRequest:
        return from_proto(envelope.probe_request());
    case wire::Envelope::kNews:
        return from_proto(envelope.news());
    case wire::Envelope::kSyncRequest:
        return from_proto(envelope.sync_request());
    case wire::Envelope::kConfigurationPush:
        return to_message(from_proto(envelope.configuration_push()));
    case wire::Envelope::kConfigurationPull:
        return to_message(from_proto(envelope.configuration_pull()));
    case wire::Envelope::kConfigurationDigest:
        return to_message(from_proto(envelope.configuration_digest()));
    case wire::Envelope::kShareAsk:
        return to_message(from_proto(envelope.share_ask()));
    case wire::Envelope::kShareGrant:
        return to_message(from_proto(envelope.share_grant()));
    case wire::Envelope::kLoadReport:
        return to_message(from_proto(envelope.load_report()));
    case wire::Envelope::kLoadSummary:
        return to_message(from_proto(envelope.load_summary()));
    case wire::Envelope::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace pollenreel::peer
