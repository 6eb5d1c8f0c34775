#include "pollenreel/declarations/configuration.hpp"

#include "pollenreel/declarations/codec.hpp"
#include "pollenreel/declarations/error.hpp"
#include "pollenreel/declarations/internal/json_reader.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <limits>

namespace pollenreel::declarations {

namespace json = boost::json;

std::string encode(const configuration& c) {
    json::array drained;
    for (const auto& t : c.commanded.drained_targets) {
        drained.emplace_back(t.str());
    }
    return json::serialize(json::object{
        {"version", c.version.value()},
        {"command", c.command.str()},
        {"author", c.author},
        {"summary", c.summary},
        {"declared", to_json(c.declared)},
        {"commanded", json::object{{"drained_targets", drained}}}});
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
                      "commanded"});
        configuration read;
        read.version = base::config_version(r.at("version").number(
            1, std::numeric_limits<std::uint64_t>::max()));
        read.command = base::command_id(r.at("command").text());
        read.author = r.at("author").text();
        read.summary = r.at("summary").text();
        const auto commanded = r.at("commanded");
        commanded.allow_keys({"drained_targets"});
        commanded.at("drained_targets").each([&](const auto& t) {
            read.commanded.drained_targets.insert(base::target_id(t.text()));
        });
        BOOST_OUTCOME_TRY(read.declared, parse_document(value.at("declared")));
        return read;
    } catch (const internal::read_failure& f) {
        return f.cause();
    }
}

} // namespace pollenreel::declarations
