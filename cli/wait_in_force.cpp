#include "cli/wait_in_force.hpp"

#include "cli/render.hpp"

#include <fmt/format.h>

#include <thread>

namespace pollenreel::cli {

namespace {

constexpr std::chrono::milliseconds ask_period{200};
constexpr std::chrono::seconds tell_period{1};

struct state {
    bool in_force = false;
    std::string text;
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
    return {r.body.at("in_force").as_bool(), render_in_force(r.body)};
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
            fmt::print(stderr, "version {}: {}\n", version, now.text);
            return exit_code::done;
        }
        if (clock::now() - told >= tell_period) {
            told = clock::now();
            fmt::print(stderr, "waiting for version {}: {}\n", version,
                       now.text);
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
