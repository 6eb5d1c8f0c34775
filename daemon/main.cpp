// pollenreeld: the daemon that runs on every entry instance.
#include "pollenreel/node/control_thread.hpp"
#include "pollenreel/node/traffic_thread.hpp"
#include "pollenreel/peer/curve.hpp"
#include "pollenreel/settings/settings.hpp"

#include <fmt/format.h>
#include <sodium.h>
#include <tclap/CmdLine.h>

#include <cstdlib>
#include <memory>

namespace {

using namespace pollenreel;

constexpr int exit_bad_usage = 64;
constexpr int exit_cannot_listen = 69;
constexpr int exit_bad_settings = 78;

struct command_line {
    std::string settings_path;
    bool check_only = false;
    bool make_keys = false;
};

command_line read_command_line(int argc, char** argv) {
    TCLAP::CmdLine cmd("Traffic steering daemon.\nSettings keys:\n" +
                           settings::describe_keys(),
                       ' ', POLLENREEL_VERSION);
    const TCLAP::ValueArg<std::string> path(
        "s", "settings", "Settings file (INI)", false, "", "FILE", cmd);
    const TCLAP::SwitchArg check("", "check-settings",
                                 "Check the settings file and exit", cmd);
    cmd.setExceptionHandling(false); // the exit codes are ours
    const TCLAP::SwitchArg keys(
        "", "make-curve-keys", "Print a new pair of peers' keys and exit", cmd);
    cmd.parse(argc, argv);
    if (!path.isSet() && !keys.getValue()) {
        throw TCLAP::CmdLineParseException("Required argument missing",
                                           "settings");
    }
    return {path.getValue(), check.getValue(), keys.getValue()};
}

// Grows from one start of an instance to the next.
std::uint64_t incarnation_now(const base::clock& clock) {
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    return static_cast<std::uint64_t>(
        duration_cast<milliseconds>(clock.wall_now().time_since_epoch())
            .count());
}

int serve(const settings::settings& s, const base::clock& clock,
          const log::logger& log) {
    const auto incarnation = incarnation_now(clock);
    std::vector<std::unique_ptr<node::traffic_thread>> traffic;
    std::vector<node::traffic_thread*> pointers;
    for (std::uint32_t i = 0; i < s.traffic.threads; ++i) {
        traffic.push_back(std::make_unique<node::traffic_thread>(
            node::traffic_options{
                s,
                randombytes_random(),
                fmt::format("{}.{}.{}", s.instance.id.str(), incarnation, i),
                {i, static_cast<std::uint32_t>(s.traffic.threads)}},
            clock, log.named("traffic")));
        pointers.push_back(traffic.back().get());
    }
    node::control_thread control(s, incarnation, pointers, clock,
                                 log.named("control"));
    auto started = control.start();
    for (auto* t : pointers) {
        if (started) {
            started = t->start();
        }
    }
    if (!started) {
        log.error("cannot start", {{"problem", started.error().text()}});
        std::_Exit(exit_cannot_listen);
    }
    log.info("started", {{"callers", s.traffic.listen.str()},
                         {"operators", s.operators.listen.str()},
                         {"peers", s.peers.listen.str()}});
    control.run();
    log.info("stopped");
    return EXIT_SUCCESS;
}

int print_new_keys() {
    const auto keys = peer::make_curve_keys();
    if (!keys) {
        return EXIT_FAILURE;
    }
    fmt::print("curve_public_key = {}\ncurve_secret_key = {}\n"
               "curve_fleet_public_key = {}\n",
               keys->public_key, keys->secret_key, keys->fleet_public_key);
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) {
    const base::system_clock clock;
    const log::logger starting(clock, "daemon", log::level::info);
    try {
        const auto line = read_command_line(argc, argv);
        if (line.make_keys) {
            return print_new_keys();
        }
        const auto read = settings::read_file(line.settings_path);
        if (!read) {
            starting.error("bad settings", {{"problem", read.error().text()}});
            return exit_bad_settings;
        }
        if (line.check_only) {
            return EXIT_SUCCESS;
        }
        if (sodium_init() < 0) {
            starting.error("cannot initialise libsodium");
            return EXIT_FAILURE;
        }
        const log::logger log(clock, "daemon", read.value().instance.log_level);
        return serve(read.value(), clock, log);
    } catch (const TCLAP::ExitException& e) { // --help, --version
        return e.getExitStatus();
    } catch (const TCLAP::ArgException& e) {
        starting.error("bad command line", {{"problem", e.error()}});
        return exit_bad_usage;
    } catch (const std::exception& e) {
        starting.error("ended by an error", {{"problem", e.what()}});
        return EXIT_FAILURE;
    }
}
