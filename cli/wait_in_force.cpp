#include "cli/wait_in_force.hpp"

#include <fmt/format.h>

#include <thread>

namespace pollenreel::cli {

namespace {

constexpr std::chrono::milliseconds ask_period{200};
constexpr std::chrono::seconds tell_period{1};

struct state {
    bool in_force = false;
    std::string missing;
};

state read_state(const reply& r, std::uint64_t version) {
    if (!r.problem.empty()) {
        return {false, r.problem};
    }
    const auto at = r.body.at("version").to_number<std::uint64_t>();
    if (at < version) {
        return {false,
                "the asked instance applies version " + std::to_string(at)};
    }
    std::string missing;
    for (const auto& m : r.body.at("members").as_array()) {
        if (m.at("state") == "live" && !m.at("current").as_bool()) {
            missing += std::string(missing.empty() ? "" : ", ") +
                       m.at("instance").as_string().c_str();
        }
    }
    return {r.body.at("in_force").as_bool(), missing};
}

} // namespace

exit_code wait_in_force(const instance_client& of, std::uint64_t version,
                        std::chrono::seconds at_most) {
    using clock = std::chrono::steady_clock;
    const auto started = clock::now();
    auto told = started;
    while (clock::now() - started < at_most) {
        const auto now =
            read_state(of.call("POST", "/v1/command", "status"), version);
        if (now.in_force) {
            fmt::print(stderr, "version {} is in force\n", version);
            return exit_code::done;
        }
        if (clock::now() - told >= tell_period) {
            told = clock::now();
            fmt::print(stderr, "waiting for version {}: {}\n", version,
                       now.missing);
        }
        std::this_thread::sleep_for(ask_period);
    }
    fmt::print(stderr,
               "version {} is accepted but not in force yet; ask "
               "'status' who is missing\n",
               version);
    return exit_code::not_in_force;
}

} // namespace pollenreel::cli
