#include "pollenreel/peer/codec.hpp"

#include "pollenreel/base/overloaded.hpp"
#include "pollenreel/peer/feed_codec.hpp"
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
    std::visit(base::overloaded{
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
    case wire::Envelope::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace pollenreel::peer
