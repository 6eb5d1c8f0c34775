#include "pollenreel/peer/feed_codec.hpp"

#include <algorithm>
#include <limits>

namespace pollenreel::peer {

namespace {

void to_proto(wire::ConfigurationDelta& to, const feed::delta& from) {
    to.set_from(from.from.value());
    to.set_to(from.to.value());
    to.set_checksum(from.checksum);
    for (const auto& p : from.patch) {
        auto& piece = *to.add_pieces();
        piece.set_offset(p.offset);
        piece.set_length(p.length);
        piece.set_literal(p.literal);
    }
}

feed::delta from_proto(const wire::ConfigurationDelta& from) {
    feed::delta d{base::config_version(from.from()),
                  base::config_version(from.to()),
                  {},
                  from.checksum()};
    for (const auto& p : from.pieces()) {
        d.patch.push_back({p.offset(), p.length(), p.literal()});
    }
    return d;
}

void to_proto(wire::RegionFloor& to, const feed::region_floor& from) {
    to.set_region(from.region.str());
    to.set_version(from.version.value());
    to.set_members(from.members);
    to.set_behind(from.behind);
    for (const auto& m : from.missing) {
        to.add_missing(m.str());
    }
    to.set_stamp(from.stamp);
}

feed::region_floor from_proto(const wire::RegionFloor& from) {
    feed::region_floor f{base::region_id(from.region()),
                         base::config_version(from.version()),
                         from.members(),
                         from.behind(),
                         {},
                         from.stamp()};
    for (const auto& m : from.missing()) {
        f.missing.emplace_back(m);
    }
    return f;
}

// Clamps an age received from a peer, so that arithmetic with it does not
// overflow.
std::chrono::milliseconds clamped_age(std::uint64_t milliseconds) {
    constexpr std::uint64_t max_milliseconds = 1ULL << 40;
    return std::chrono::milliseconds(std::min(milliseconds, max_milliseconds));
}

} // namespace

void to_proto(wire::ConfigurationPush& to, const feed::push& from) {
    to.set_reply_to(from.reply_to.str());
    to.set_version(from.version.value());
    for (const auto& d : from.deltas) {
        to_proto(*to.add_deltas(), d);
    }
    to.set_whole(from.whole);
}

void to_proto(wire::ConfigurationPull& to, const feed::pull& from) {
    to.set_reply_to(from.reply_to.str());
    to.set_have(from.have.value());
}

void to_proto(wire::ConfigurationDigest& to, const feed::digest& from) {
    to.set_sender(from.sender.str());
    to.set_reply_to(from.reply_to.str());
    to.set_applied(from.applied.value());
    if (from.confirmed_ago) {
        to.set_confirmed_ago_ms(
            static_cast<std::uint64_t>(from.confirmed_ago->count()));
    }
    for (const auto& f : from.floors) {
        to_proto(*to.add_floors(), f);
    }
}

std::optional<feed::push> from_proto(const wire::ConfigurationPush& from) {
    const auto reply_to = base::parse_endpoint(from.reply_to());
    if (!reply_to) {
        return std::nullopt;
    }
    feed::push p{reply_to.value(),
                 base::config_version(from.version()),
                 {},
                 from.whole()};
    for (const auto& d : from.deltas()) {
        p.deltas.push_back(from_proto(d));
    }
    return p;
}

std::optional<feed::pull> from_proto(const wire::ConfigurationPull& from) {
    const auto reply_to = base::parse_endpoint(from.reply_to());
    if (!reply_to) {
        return std::nullopt;
    }
    return feed::pull{reply_to.value(), base::config_version(from.have())};
}

std::optional<feed::digest> from_proto(const wire::ConfigurationDigest& from) {
    const auto reply_to = base::parse_endpoint(from.reply_to());
    if (!reply_to) {
        return std::nullopt;
    }
    feed::digest d{base::instance_id(from.sender()),
                   reply_to.value(),
                   base::config_version(from.applied()),
                   {},
                   {}};
    if (from.has_confirmed_ago_ms()) {
        d.confirmed_ago = clamped_age(from.confirmed_ago_ms());
    }
    for (const auto& f : from.floors()) {
        d.floors.push_back(from_proto(f));
    }
    return d;
}

} // namespace pollenreel::peer
