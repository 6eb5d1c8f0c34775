#include "pollenreel/declarations/configuration.hpp"

#include "pollenreel/declarations/codec.hpp"
#include "pollenreel/declarations/error.hpp"
#include "pollenreel/declarations/internal/json_reader.hpp"
#include "pollenreel/declarations/steering_codec.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <limits>

namespace pollenreel::declarations {

namespace json = boost::json;

std::string encode(const configuration& c) {
    return json::serialize(json::object{{"version", c.version.value()},
                                        {"command", c.command.str()},
                                        {"author", c.author},
                                        {"summary", c.summary},
                                        {"declared", to_json(c.declared)},
                                        {"commanded", to_json(c.commanded)}});
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
        read.commanded = read_steering(r.at("commanded"));
        BOOST_OUTCOME_TRY(read.declared, parse_document(value.at("declared")));
        return read;
    } catch (const internal::read_failure& f) {
        return f.cause();
    }
}

} // namespace pollenreel::declarations
