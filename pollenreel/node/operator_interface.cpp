#include "pollenreel/node/operator_interface.hpp"

#include "pollenreel/base/overloaded.hpp"
#include "pollenreel/declarations/codec.hpp"
#include "pollenreel/language/parser.hpp"
#include "pollenreel/node/headers.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <sodium.h>

#include <array>

namespace pollenreel::node {

namespace {

using digest = std::array<unsigned char, crypto_generichash_BYTES>;

digest digest_of(std::string_view text) {
    digest d{};
    crypto_generichash(d.data(), d.size(),
                       reinterpret_cast<const unsigned char*>(text.data()),
                       text.size(), nullptr, 0);
    return d;
}

// Compares digests, so that neither content nor length shows in the time.
bool token_matches(const http::request& r, const std::string& token) {
    const auto given = http::find(r.headers, "Authorization").value_or("");
    const auto left = digest_of(given);
    const auto right = digest_of("Bearer " + token);
    return sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

operator_refusal refuse(unsigned status, std::string_view why) {
    return {{status,
             {{"Content-Type", "application/json"}},
             boost::json::serialize(
                 boost::json::object{{"outcome", "refused"}, {"why", why}})}};
}

control::change change_of(const http::request& r, control::mutation m) {
    control::change c;
    const auto given = http::find(r.headers, header_command_id);
    c.command =
        base::command_id(given ? std::string(*given)
                               : to_string(boost::uuids::random_generator()()));
    c.author =
        std::string(http::find(r.headers, header_author).value_or("unnamed"));
    c.mutation = std::move(m);
    return c;
}

operator_call read_command(const http::request& r, control::call_id id) {
    auto parsed = language::parse(r.body);
    if (!parsed) {
        return refuse(400, parsed.error().text());
    }
    return std::visit(
        base::overloaded{
            [&](const language::query& q) -> operator_call {
                return control::query_received{id, q};
            },
            [&](const language::change& c) -> operator_call {
                return control::change_received{id, change_of(r, c)};
            },
        },
        parsed.value());
}

operator_call read_declarations(const http::request& r, control::call_id id) {
    auto parsed = declarations::parse_document(r.body);
    if (!parsed) {
        return refuse(400, parsed.error().text());
    }
    return control::change_received{
        id, change_of(r, control::apply_document{std::move(parsed.value())})};
}

operator_call read_plan(const http::request& r, control::call_id id) {
    auto parsed = declarations::parse_document(r.body);
    if (!parsed) {
        return refuse(400, parsed.error().text());
    }
    return control::plan_received{id, std::move(parsed.value())};
}

unsigned http_status(control::answer_status s) {
    switch (s) {
    case control::answer_status::ok:
        return 200;
    case control::answer_status::refused:
        return 422;
    case control::answer_status::lost_race:
        return 409;
    case control::answer_status::undecided:
        return 504;
    }
    return 500;
}

} // namespace

operator_call read_operator_call(const http::request& r, control::call_id id,
                                 const std::string& token) {
    if (!token_matches(r, token)) {
        return refuse(401, "the operators' token is missing or wrong");
    }
    if (r.path == "/v1/command" && r.method == "POST") {
        return read_command(r, id);
    }
    if (r.path == "/v1/declarations" && r.method == "PUT") {
        return read_declarations(r, id);
    }
    if (r.path == "/v1/plan" && r.method == "POST") {
        return read_plan(r, id);
    }
    if (r.path == "/v1/service-levels" && r.method == "GET") {
        return service_levels_call{};
    }
    if (r.path == "/metrics" && r.method == "GET") {
        return metrics_call{};
    }
    return refuse(404, "unknown path or method");
}

http::response to_response(const control::answer_operator& a) {
    return {
        http_status(a.status), {{"Content-Type", "application/json"}}, a.json};
}

} // namespace pollenreel::node
