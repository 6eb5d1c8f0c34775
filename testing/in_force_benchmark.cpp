#include "testing/in_force.hpp"

#include "pollenreel/base/random.hpp"
#include "pollenreel/http/client.hpp"
#include "testing/fleet.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <optional>
#include <sstream>
#include <thread>

namespace pollenreel::testing {

namespace {

namespace json = boost::json;
using clock = std::chrono::system_clock;
using std::chrono::milliseconds;

// The stated targets.
constexpr double in_force_bound_ms = 4000;
constexpr double reversions_bound = 0;

constexpr std::uint64_t seeds = 5;
constexpr std::size_t instances = 12;
constexpr int changes = 200;
constexpr milliseconds between_changes{60};
constexpr int kill_every = 10; // changes
constexpr int restart_after = 5;
constexpr milliseconds settle{5000};
constexpr std::size_t slope_sizes[] = {4, 12, 48};
constexpr int slope_changes = 40;
constexpr milliseconds idle{10'000};

// A version that a daemon took into use.
struct published {
    clock::time_point at;
    std::uint64_t version = 0;
};

// One run of a daemon.
struct life {
    std::size_t instance = 0;
    clock::time_point from;
    std::optional<clock::time_point> until; // killed
    std::vector<published> seen;
};

struct accepted_change {
    std::uint64_t version = 0;
    clock::time_point asked;
};

clock::time_point parse_time(const std::string& text) {
    std::tm tm{};
    std::istringstream in(text);
    char dot = 0;
    int millis = 0;
    in >> std::get_time(&tm, "%Y-%m-%dT%H:%M:%S") >> dot >> millis;
    return clock::from_time_t(::timegm(&tm)) + milliseconds(millis);
}

std::vector<published> parse_log(const std::string& text) {
    std::vector<published> list;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        boost::system::error_code bad;
        const auto parsed = json::parse(line, bad);
        if (bad || parsed.at("event").as_string() != "published") {
            continue;
        }
        list.push_back(
            {parse_time(json::value_to<std::string>(parsed.at("time"))),
             parsed.at("version").to_number<std::uint64_t>()});
    }
    return list;
}

std::uint64_t store_calls(const fleet& f) {
    http::request get;
    get.path = "/standin/calls";
    const auto got =
        http::call_and_wait(f.platform(), get, std::chrono::seconds(5));
    return got ? std::stoull(got.value().body) : 0;
}

// Issues changes, kills and restarts, and remembers what happened when.
class driver {
public:
    driver(fleet& f, std::size_t size, std::uint64_t seed)
        : m_fleet(f), m_random(seed), m_up(size, true) {
        for (std::size_t i = 0; i < size; ++i) {
            m_open.push_back({i, clock::now(), {}, {}});
        }
    }

    void change() {
        const auto asked = clock::now();
        const auto answer = m_fleet.command(
            pick(), fmt::format("drain instance nobody-{}", ++m_number));
        if (answer.status != 200) {
            ++m_refused;
            return;
        }
        const auto body = json::parse(answer.body);
        m_changes.push_back(
            {body.at("version").to_number<std::uint64_t>(), asked});
    }

    void kill() {
        m_down = pick();
        m_up[m_down] = false;
        m_fleet.signal(m_down, SIGKILL);
        (void)m_fleet.wait(m_down);
        m_open[m_down].until = clock::now();
        close(m_down);
    }

    void restart() {
        m_open[m_down] = {m_down, clock::now(), {}, {}};
        m_fleet.start_instance(m_down);
        m_up[m_down] = true;
    }

    std::vector<life> lives() {
        for (std::size_t i = 0; i < m_up.size(); ++i) {
            if (m_up[i]) {
                close(i);
            }
        }
        return m_lives;
    }

    [[nodiscard]] const std::vector<accepted_change>& accepted() const {
        return m_changes;
    }
    [[nodiscard]] int refused() const { return m_refused; }

private:
    std::size_t pick() {
        auto i = m_random.below(m_up.size());
        while (!m_up[i]) {
            i = m_random.below(m_up.size());
        }
        return i;
    }

    void close(std::size_t i) {
        m_open[i].seen = parse_log(m_fleet.log_of(i));
        m_lives.push_back(m_open[i]);
    }

    fleet& m_fleet;
    base::random m_random;
    std::vector<bool> m_up;
    std::vector<life> m_open;
    std::vector<life> m_lives; // over
    std::vector<accepted_change> m_changes;
    std::size_t m_down = 0;
    int m_number = 0;
    int m_refused = 0;
};

double in_ms(clock::duration d) {
    return std::chrono::duration<double, std::milli>(d).count();
}

// When `l` first applied `version` or a later one.
std::optional<clock::time_point> applied(const life& l, std::uint64_t version) {
    for (const auto& p : l.seen) {
        if (p.version >= version) {
            return p.at;
        }
    }
    return std::nullopt;
}

// Time from the command, or from the start of the daemon if that came later,
// until `l` applied it; empty if it was killed before it could be in force.
std::optional<double> delay(const life& l, const accepted_change& c) {
    const auto begin = std::max(l.from, c.asked);
    const auto at = applied(l, c.version);
    if (at) {
        return in_ms(*at - begin);
    }
    const milliseconds bound(static_cast<int>(in_force_bound_ms));
    if (l.until && *l.until < begin + bound) {
        return std::nullopt;
    }
    return in_ms(l.until.value_or(clock::now()) - begin);
}

// Times that a daemon took a smaller version than itself before, also before
// its restart.
double reversions(std::vector<life> lives) {
    std::stable_sort(
        lives.begin(), lives.end(),
        [](const auto& a, const auto& b) { return a.instance < b.instance; });
    double count = 0;
    std::size_t instance = lives.size();
    std::uint64_t last = 0;
    for (const auto& l : lives) {
        last = l.instance == instance ? last : 0;
        instance = l.instance;
        for (const auto& p : l.seen) {
            const bool nothing_yet = p.version == 0; // serves nothing
            count += !nothing_yet && p.version < last ? 1 : 0;
            last = std::max(last, p.version);
        }
    }
    return count;
}

measure::result row(std::string workload, double value, std::string unit,
                    std::uint64_t seed) {
    measure::result r;
    r.measure = "in_force";
    r.workload = std::move(workload);
    r.value = value;
    r.unit = std::move(unit);
    r.seed = seed;
    return r;
}

measure::results run_faults(std::uint64_t seed) {
    fleet f({.instances = instances, .targets = 1});
    if (!f.start()) {
        auto failed = row("fleet did not start", 1, "failures", seed);
        failed.bound = 0;
        return {failed};
    }
    driver d(f, instances, seed);
    for (int i = 1; i <= changes; ++i) {
        d.change();
        if (i % kill_every == 0) {
            d.kill();
        } else if (i % kill_every == restart_after && i > kill_every) {
            d.restart();
        }
        std::this_thread::sleep_for(between_changes);
    }
    std::this_thread::sleep_for(settle);
    const auto lives = d.lives();
    std::vector<double> delays;
    for (const auto& c : d.accepted()) {
        for (const auto& l : lives) {
            const bool over = l.until && *l.until < c.asked;
            if (const auto took = delay(l, c); took && !over) {
                delays.push_back(*took);
            }
        }
    }
    std::sort(delays.begin(), delays.end());
    const auto name = fmt::format("{} changes, {} daemons, kills and restarts",
                                  changes, instances);
    auto slowest = row(name + ", slowest", delays.back(), "ms", seed);
    slowest.bound = in_force_bound_ms;
    auto back = row(name, reversions(lives), "reversions", seed);
    back.bound = reversions_bound;
    return {slowest,
            row(name + ", median", delays[delays.size() / 2], "ms", seed), back,
            row(name, d.refused(), "refused", seed)};
}

measure::results run_slope(std::size_t size) {
    fleet f({.instances = size, .targets = 1});
    if (!f.start()) {
        auto failed = row(fmt::format("{} daemons did not start", size), 1,
                          "failures", 1);
        failed.bound = 0;
        return {failed};
    }
    std::this_thread::sleep_for(settle);
    const auto before = store_calls(f);
    std::this_thread::sleep_for(idle);
    const auto after = store_calls(f);
    const auto idle_s = std::chrono::duration<double>(idle).count();
    const auto idle_rate = static_cast<double>(after - before) / idle_s;
    driver d(f, size, 1);
    const auto begin = clock::now();
    for (int i = 0; i < slope_changes; ++i) {
        d.change();
        std::this_thread::sleep_for(between_changes);
    }
    const auto more = static_cast<double>(store_calls(f) - after) -
                      idle_rate * in_ms(clock::now() - begin) / 1000;
    auto idle_row = row(fmt::format("{} daemons, store when idle", size),
                        idle_rate, "calls/s", 1);
    idle_row.baseline = static_cast<double>(size);
    return {idle_row, row(fmt::format("{} daemons, store", size),
                          more / slope_changes, "calls/change", 1)};
}

} // namespace

measure::results measure_in_force() {
    measure::results all;
    const auto add = [&](const measure::results& more) {
        all.insert(all.end(), more.begin(), more.end());
    };
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        add(run_faults(seed));
    }
    for (const auto size : slope_sizes) {
        add(run_slope(size));
    }
    return all;
}

} // namespace pollenreel::testing
