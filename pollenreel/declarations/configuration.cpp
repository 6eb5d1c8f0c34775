#include "pollenreel/declarations/configuration.hpp"

#include "pollenreel/declarations/codec.hpp"
#include "pollenreel/declarations/error.hpp"
#include "pollenreel/declarations/internal/json_reader.hpp"
#include "pollenreel/declarations/steering_codec.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <limits>

namespace pollenreel::declarations {

namespace json = boost::json;

namespace {

using std::chrono::milliseconds;

json::object to_json(const change_record& r) {
    return {{"version", r.version.value()},
            {"command", r.command.str()},
            {"author", r.author},
            {"summary", r.summary},
            {"scope", r.scope},
            {"at_ms", r.at.time_since_epoch().count()}};
}

json::array to_json(const std::vector<change_record>& records) {
    json::array a;
    for (const auto& r : records) {
        a.emplace_back(to_json(r));
    }
    return a;
}

change_record read_record(const internal::json_reader& r) {
    r.allow_keys({"version", "command", "author", "summary", "scope", "at_ms"});
    const auto any = std::numeric_limits<std::int64_t>::max();
    change_record read;
    read.version = base::config_version(r.at("version").number(1, any));
    read.command = base::command_id(r.at("command").text());
    read.author = r.at("author").text();
    read.summary = r.at("summary").text();
    read.scope = r.at("scope").text();
    read.at = std::chrono::sys_time<milliseconds>(
        milliseconds(r.at("at_ms").number(0, any)));
    return read;
}

} // namespace

const change_record*
configuration::find_change(const base::command_id& id) const {
    const auto found =
        std::find_if(recent.rbegin(), recent.rend(),
                     [&](const auto& r) { return r.command == id; });
    return found == recent.rend() ? nullptr : &*found;
}

std::string encode(const configuration& c) {
    return json::serialize(json::object{{"version", c.version.value()},
                                        {"command", c.command.str()},
                                        {"author", c.author},
                                        {"summary", c.summary},
                                        {"declared", to_json(c.declared)},
                                        {"commanded", to_json(c.commanded)},
                                        {"recent", to_json(c.recent)}});
}

base::result<configuration> decode(std::string_view text) {
    boost::system::error_code bad;
    const auto value = json::parse(text, bad);
    if (bad) {
        return base::failure{make_error_code(error::not_json), bad.message()};
    }
    try {
        const internal::json_reader r(value, "");
        r.allow_keys({"version", "command", "author", "summary", "declared",
                      "commanded", "recent"});
        configuration read;
        read.version = base::config_version(r.at("version").number(
            1, std::numeric_limits<std::uint64_t>::max()));
        read.command = base::command_id(r.at("command").text());
        read.author = r.at("author").text();
        read.summary = r.at("summary").text();
        read.commanded = read_steering(r.at("commanded"));
        if (r.has("recent")) {
            r.at("recent").each([&](const internal::json_reader& x) {
                read.recent.push_back(read_record(x));
            });
        }
        BOOST_OUTCOME_TRY(read.declared, parse_document(value.at("declared")));
        return read;
    } catch (const internal::read_failure& f) {
        return f.cause();
    }
}

} // namespace pollenreel::declarations
