#include "pollenreel/peer/shift_codec.hpp"

#include <cmath>

namespace pollenreel::peer {

namespace {

template <class Uses>
void uses_to_proto(Uses& to, const shift::uses& from) {
    for (const auto& [p, use] : from) {
        auto& one = *to.Add();
        one.set_service(p.first.str());
        one.set_region(p.second.str());
        one.set_slots(static_cast<float>(use.slots));
        one.set_started(use.started);
        one.set_held_back(use.held_back);
    }
}

template <class Uses>
std::optional<shift::uses> uses_from_proto(const Uses& from) {
    shift::uses result;
    for (const auto& one : from) {
        if (!std::isfinite(one.slots()) || one.slots() < 0) {
            return std::nullopt;
        }
        result[{base::service_id(one.service()),
                base::region_id(one.region())}] = {one.slots(), one.started(),
                                                   one.held_back()};
    }
    return result;
}

bool is_valid_share(std::uint32_t part) {
    return part <= share::whole.value;
}

} // namespace

void to_proto(wire::ShareAsk& to, const share::request& from) {
    to.set_instance(from.claimant.instance.str());
    to.set_incarnation(from.claimant.incarnation);
    to.set_reply_to(from.reply_to.str());
    to.set_owner(from.owner.str());
    to.set_sequence(from.sequence);
    to.set_epoch(from.epoch);
    for (const auto& item : from.items) {
        auto& one = *to.add_items();
        one.set_resource(share::to_key(item.resource));
        one.set_held(item.held.value);
        one.set_want(item.demand.value);
    }
}

void to_proto(wire::ShareGrant& to, const share::grant& from) {
    to.set_instance(from.claimant.instance.str());
    to.set_incarnation(from.claimant.incarnation);
    to.set_owner(from.owner.str());
    to.set_epoch(from.epoch);
    to.set_sequence(from.sequence);
    for (const auto& item : from.items) {
        auto& one = *to.add_items();
        one.set_resource(share::to_key(item.resource));
        one.set_granted(item.share.value);
    }
    for (const auto& [shift, moved] : from.progress) {
        (*to.mutable_progress())[shift.str()] = moved.value;
    }
}

void to_proto(wire::LoadReport& to, const shift::load_report& from) {
    to.set_instance(from.instance.str());
    uses_to_proto(*to.mutable_uses(), from.at);
}

void to_proto(wire::LoadSummary& to, const shift::load_summary& from) {
    to.set_region(from.region.str());
    to.set_entries(from.entries);
    uses_to_proto(*to.mutable_uses(), from.at);
}

std::optional<share::request> from_proto(const wire::ShareAsk& from) {
    const auto reply_to = base::parse_endpoint(from.reply_to());
    if (!reply_to) {
        return std::nullopt;
    }
    const base::region_id owner(from.owner());
    share::request a{{base::instance_id(from.instance()), from.incarnation()},
                     reply_to.value(),
                     owner,
                     from.sequence(),
                     from.epoch(),
                     {}};
    for (const auto& one : from.items()) {
        const auto what = share::from_key(owner, one.resource());
        if (!what || !is_valid_share(one.held()) ||
            !is_valid_share(one.want())) {
            return std::nullopt;
        }
        a.items.push_back({*what, {one.held()}, {one.want()}});
    }
    return a;
}

std::optional<share::grant> from_proto(const wire::ShareGrant& from) {
    const base::region_id owner(from.owner());
    share::grant g{{base::instance_id(from.instance()), from.incarnation()},
                   owner,
                   from.epoch(),
                   from.sequence(),
                   {},
                   {}};
    for (const auto& one : from.items()) {
        const auto what = share::from_key(owner, one.resource());
        if (!what || !is_valid_share(one.granted())) {
            return std::nullopt;
        }
        g.items.push_back({*what, {one.granted()}});
    }
    for (const auto& [shift, moved] : from.progress()) {
        if (!is_valid_share(moved)) {
            return std::nullopt;
        }
        g.progress[base::shift_id(shift)] = {moved};
    }
    return g;
}

std::optional<shift::load_report> from_proto(const wire::LoadReport& from) {
    auto uses = uses_from_proto(from.uses());
    if (!uses) {
        return std::nullopt;
    }
    return shift::load_report{base::instance_id(from.instance()),
                              std::move(*uses)};
}

std::optional<shift::load_summary> from_proto(const wire::LoadSummary& from) {
    auto uses = uses_from_proto(from.uses());
    if (!uses) {
        return std::nullopt;
    }
    return shift::load_summary{base::region_id(from.region()), from.entries(),
                               std::move(*uses)};
}

} // namespace pollenreel::peer
