#include "cli/instance_client.hpp"

#include "cli/progress.hpp"
#include "pollenreel/http/client.hpp"
#include "pollenreel/http/error.hpp"

#include <boost/json/parse.hpp>
#include <fmt/format.h>

namespace pollenreel::cli {

namespace {

constexpr std::chrono::milliseconds call_timeout{15'000};
// Plans and reports of a large fleet.
constexpr std::uint64_t most_answer_bytes = 64ULL * 1024 * 1024;

exit_code code_of(unsigned status) {
    switch (status) {
    case 200:
        return exit_code::done;
    case 401:
        return exit_code::bad_token;
    case 409:
        return exit_code::lost_race;
    case 504:
        return exit_code::unknown;
    default:
        return exit_code::refused;
    }
}

} // namespace

instance_client::instance_client(std::vector<base::endpoint> to,
                                 credentials who)
    : m_to(std::move(to)), m_who(std::move(who)) {}

reply instance_client::call(std::string method, std::string path,
                            std::string body) const {
    http::request r;
    r.method = std::move(method);
    r.path = std::move(path);
    r.body = std::move(body);
    r.headers = {{"Authorization", "Bearer " + m_who.token},
                 {"Pollenreel-Author", m_who.author},
                 {"Pollenreel-Command-Id", m_who.command_id}};
    reply last;
    for (const auto& to : m_to) {
        last = call_one(to, r);
        if (last.code != exit_code::unreachable) {
            return last;
        }
    }
    return last;
}

reply instance_client::call_one(const base::endpoint& to,
                                const http::request& r) const {
    const progress waiting("waiting for " + to.str());
    const auto answer =
        http::call_and_wait(to, r, call_timeout, {8 * 1024, most_answer_bytes});
    if (!answer) {
        const bool not_received =
            answer.error().code ==
            http::make_error_code(http::error::connect_failed);
        return {not_received ? exit_code::unreachable : exit_code::unknown,
                nullptr, to.str() + ": " + answer.error().text()};
    }
    boost::system::error_code bad;
    auto parsed = boost::json::parse(answer.value().body, bad);
    if (bad) {
        return {exit_code::unknown, nullptr, "the answer is no JSON"};
    }
    return {code_of(answer.value().status), std::move(parsed), {}};
}

} // namespace pollenreel::cli
