#include "pollenreel/share/lease_record.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace pollenreel::share {

namespace {

namespace json = boost::json;

ppm to_ppm(const json::value& v) {
    return std::min(ppm{v.to_number<std::uint32_t>()}, whole);
}

lease_record parse_record(const base::region_id& region,
                          const json::object& o) {
    lease_record r;
    r.epoch = o.at("epoch").to_number<std::uint64_t>();
    r.holder = {
        base::instance_id(json::value_to<std::string>(o.at("instance"))),
        o.at("incarnation").to_number<std::uint64_t>()};
    r.renewal = o.at("renewal").to_number<std::uint64_t>();
    r.released = o.at("released").as_bool();
    for (const auto& one : o.at("promised").as_object()) {
        if (const auto resource = from_key(region, one.key())) {
            r.promised[*resource] = to_ppm(one.value());
        }
    }
    for (const auto& one : o.at("progress").as_object()) {
        r.progress[base::shift_id(one.key())] = to_ppm(one.value());
    }
    return r;
}

} // namespace

std::string encode(const lease_record& r) {
    json::object promised;
    for (const auto& [resource, p] : r.promised) {
        promised[to_key(resource)] = p.value;
    }
    json::object progress;
    for (const auto& [shift, p] : r.progress) {
        progress[shift.str()] = p.value;
    }
    return json::serialize(json::object{{"epoch", r.epoch},
                                        {"instance", r.holder.instance.str()},
                                        {"incarnation", r.holder.incarnation},
                                        {"renewal", r.renewal},
                                        {"released", r.released},
                                        {"promised", promised},
                                        {"progress", progress}});
}

std::optional<lease_record> decode_record(const base::region_id& region,
                                          std::string_view text) {
    try {
        return parse_record(region, json::parse(text).as_object());
    } catch (const std::exception&) { // malformed record
        return std::nullopt;
    }
}

} // namespace pollenreel::share
