#include "pollenreel/entry/settings.hpp"

#include "pollenreel/settings/error.hpp"
#include "pollenreel/settings/table.hpp"
#include "pollenreel/settings/values.hpp"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <array>
#include <vector>

namespace pollenreel::entry {

namespace {

using namespace std::chrono_literals;
using pollenreel::settings::store_duration;
using pollenreel::settings::store_endpoint;
using pollenreel::settings::store_name;
using pollenreel::settings::store_number;
using pollenreel::settings::store_real;
using pollenreel::settings::store_switch;
using row = pollenreel::settings::basic_key_row<settings>;
using text = const std::string&;

constexpr std::string_view name_allowed = "1-64 of letters, digits, - _ .";
constexpr std::string_view switch_allowed = "on, off";
constexpr std::string_view endpoint_allowed = "IPv4:port";

// "domain:region, domain:region".
bool store_regions(fleet::region_map& to, const std::string& value) {
    std::vector<std::string> parts;
    boost::split(parts, value, boost::is_any_of(","));
    for (auto& part : parts) {
        boost::trim(part);
        const auto colon = part.find(':');
        base::failure_domain_id domain;
        base::region_id region;
        if (colon == std::string::npos ||
            !store_name(domain, part.substr(0, colon)) ||
            !store_name(region, part.substr(colon + 1))) {
            return false;
        }
        to[domain] = region;
    }
    return true;
}

bool store_level(log::level& to, const std::string& value) {
    const auto parsed = log::parse_level(value);
    if (parsed) {
        to = parsed.value();
    }
    return parsed.has_value();
}

const std::array instance_rows = {
    row{"instance.id", name_allowed, std::nullopt,
        "name of this instance, unique in the fleet",
        [](settings& s, text v) { return store_name(s.id, v); }},
    row{"instance.failure_domain", name_allowed, std::nullopt,
        "failure domain in which this instance runs",
        [](settings& s, text v) { return store_name(s.failure_domain, v); }},
    row{"instance.region", name_allowed, std::nullopt,
        "region of that failure domain",
        [](settings& s, text v) { return store_name(s.region, v); }},
    row{"instance.log_level", "debug, info, warning, error", "info",
        "lowest level that is logged",
        [](settings& s, text v) { return store_level(s.log_level, v); }},
    row{"instance.link_mbps", "0-1000000", "0",
        "bandwidth of the machine's link in Mbit/s, 0 if unknown; the two "
        "instances with the widest links watch the store for their region",
        [](settings& s, text v) {
            return store_real(s.link_mbps, v, 0, 1'000'000);
        }},
    row{"instance.memory_mb", "16-1048576", "256",
        "memory that this process may use, in MB; a quarter of it holds the "
        "bodies of requests, an eighth the responses of targets",
        [](settings& s, text v) {
            return store_number(s.memory_mb, v, std::uint64_t{16},
                                std::uint64_t{1'048'576});
        }},
    row{"listen.callers", endpoint_allowed, std::nullopt,
        "where callers send requests",
        [](settings& s, text v) { return store_endpoint(s.callers, v); }},
    row{"listen.readiness", endpoint_allowed, std::nullopt,
        "where the platform asks whether the instance is ready",
        [](settings& s, text v) { return store_endpoint(s.readiness, v); }},
    row{"listen.directory", endpoint_allowed, std::nullopt,
        "where callers look up entry instances",
        [](settings& s, text v) { return store_endpoint(s.directory, v); }},
    row{"listen.metrics", endpoint_allowed, std::nullopt,
        "where GET /metrics is served",
        [](settings& s, text v) { return store_endpoint(s.metrics, v); }},
    row{"listen.relay", "IPv4:port, or empty", "",
        "where instances of the region ask what the store told this one; "
        "without it every instance watches the store",
        [](settings& s, text v) {
            return v.empty() || store_endpoint(s.relay.emplace(), v);
        }},
};

const std::array fleet_rows = {
    row{"fleet.failure_domains", "domain:region, separated by commas",
        std::nullopt, "all failure domains with their regions",
        [](settings& s, text v) { return store_regions(s.regions, v); }},
    row{"fleet.heartbeat_interval", "100ms-60s", "1500ms",
        "how often a target reports to the store",
        [](settings& s, text v) {
            return store_duration(s.heartbeat_interval, v, 100ms, 60s);
        }},
    row{"fleet.stable_window", "1s-600s", "3s",
        "lifetime of an instance's entry in the store once it is not renewed",
        [](settings& s, text v) {
            std::chrono::milliseconds read{};
            const bool good = store_duration(read, v, 1s, 600s);
            s.stable_window =
                std::chrono::duration_cast<std::chrono::seconds>(read);
            return good;
        }},
    row{"store.endpoint", endpoint_allowed, std::nullopt,
        "the platform's key-value service",
        [](settings& s, text v) { return store_endpoint(s.store, v); }},
    row{"store.key_prefix", name_allowed, "pollenreel",
        "first part of the keys that instances write",
        [](settings& s, text v) {
            s.key_prefix = v;
            return pollenreel::settings::is_name(v);
        }},
    row{"store.call_timeout", "50ms-10s", "1s",
        "longest wait for an answer of the store",
        [](settings& s, text v) {
            return store_duration(s.call_timeout, v, 50ms, 10s);
        }},
    row{"store.departure_bound", "100ms-600s", "2500ms",
        "a target that leaves gets no new work after this",
        [](settings& s, text v) {
            return store_duration(s.departure_bound, v, 100ms, 600s);
        }},
    row{"store.configuration_bound", "100ms-600s", "2500ms",
        "a configuration is in use after this",
        [](settings& s, text v) {
            return store_duration(s.configuration_bound, v, 100ms, 600s);
        }},
};

const std::array limit_rows = {
    row{"limits.repeat_ratio", "0-1", "0.1",
        "attempts beyond the first, as a part of a service's requests",
        [](settings& s, text v) {
            return store_real(s.limits.repeats.ratio, v, 0, 1);
        }},
    row{"limits.repeat_window", "1s-600s", "10s",
        "window over which they are counted",
        [](settings& s, text v) {
            return store_duration(s.limits.repeats.window, v, 1s, 600s);
        }},
    row{"limits.repeat_slack", "0-100000", "0",
        "such attempts that all instances share in a window besides",
        [](settings& s, text v) {
            return store_real(s.limits.repeats.slack, v, 0, 100'000);
        }},
    row{"limits.cold_factor", "0-100", "1",
        "a cold target gets at most this multiple of its service's rate",
        [](settings& s, text v) {
            return store_real(s.limits.cold_factor, v, 0, 100);
        }},
    row{"limits.cold_slack", "0-100000", "0",
        "requests in a second that a cold target gets besides",
        [](settings& s, text v) {
            return store_real(s.limits.cold_slack, v, 0, 100'000);
        }},
    row{"limits.most_shifted", "0-1", "0.1",
        "part of a region's requests that may change the region in which they "
        "run within two seconds",
        [](settings& s, text v) {
            return store_real(s.limits.most_shifted, v, 0, 1);
        }},
    row{"limits.revocation_bound", "0s-600s", "0s",
        "a request sent this long after its key was withdrawn does not run, "
        "even if the instance is out of contact; 0s for no such limit",
        [](settings& s, text v) {
            return store_duration(s.limits.revocation_bound, v, 0ms, 600s);
        }},
    row{"limits.quota_window", "0s-600s", "0s",
        "sliding window over which the quotas of tenants hold for all "
        "instances together; 0s for no quotas",
        [](settings& s, text v) {
            return store_duration(s.limits.quota_window, v, 0ms, 600s);
        }},
    row{"limits.quota_over", "0-1", "0",
        "part of a quota by which a window may exceed it",
        [](settings& s, text v) {
            return store_real(s.limits.quota_over, v, 0, 1);
        }},
    row{"limits.quota_slack", "0-100000", "0",
        "requests by which a window may exceed it besides",
        [](settings& s, text v) {
            return store_real(s.limits.quota_slack, v, 0, 100'000);
        }},
    row{"limits.share_loads", switch_allowed, "off",
        "instances share the loads that targets report to them",
        [](settings& s, text v) {
            return store_switch(s.limits.share_loads, v);
        }},
    row{"limits.hold_connections", switch_allowed, "off",
        "an instance has no more attempts at a target than its part of the "
        "target's connection limit",
        [](settings& s, text v) {
            return store_switch(s.limits.hold_connections, v);
        }},
    row{"limits.avoid_full", switch_allowed, "off",
        "a target that refused a request because it is full is avoided at "
        "once, for the route's target latency",
        [](settings& s, text v) {
            return store_switch(s.limits.avoid_full, v);
        }},
    row{"limits.repeat_to_room", switch_allowed, "off",
        "after such a refusal the request is repeated only at a target that is "
        "expected to have a free slot",
        [](settings& s, text v) {
            return store_switch(s.limits.repeat_to_room, v);
        }},
    row{"limits.shed_late", "0-10", "0",
        "a request that has to queue is refused if its answer is expected "
        "after this many target latencies, sooner the less urgent it is; 0 for "
        "2.5 less 0.5 for each rank",
        [](settings& s, text v) {
            return store_real(s.limits.shed_late, v, 0, 10);
        }},
    row{"limits.queue_by_rank", switch_allowed, "off",
        "a request does not queue within its target latency of more urgent "
        "ones that had to",
        [](settings& s, text v) {
            return store_switch(s.limits.queue_by_rank, v);
        }},
    row{"limits.retry_after_spread", "0-100", "0",
        "refused callers are told to return when a slot is expected to be "
        "free, and a random part of this many target latencies later; 0 for "
        "the wait at the chosen target",
        [](settings& s, text v) {
            return store_real(s.limits.retry_after_spread, v, 0, 100);
        }},
    row{"limits.spill_by_wait", switch_allowed, "off",
        "requests change the region in which they run by the measured times to "
        "answer, within most_shifted, instead of the estimated ones",
        [](settings& s, text v) {
            return store_switch(s.limits.spill_by_wait, v);
        }},
    row{"limits.max_callers", "16-1000000", "2000",
        "most connections of callers",
        [](settings& s, text v) {
            return store_number(s.max_callers, v, 16U, 1'000'000U);
        }},
    row{"limits.target_idle", "100ms-600s", "5s",
        "an idle connection to a target is not used again after this; of a "
        "target that announces how long it keeps one, until 2 s before",
        [](settings& s, text v) {
            return store_duration(s.target_idle, v, 100ms, 600s);
        }},
    row{"limits.proven_idle", "0s-600s", "0s",
        "non-idempotent requests use a connection that was idle for at most "
        "this, as far as recent responses show that to be harmless; below 1s "
        "they use one that was idle for 1s",
        [](settings& s, text v) {
            return store_duration(s.proven_idle, v, 0ms, 600s);
        }},
    row{"limits.lookup_time_to_live", "100ms-600s", "2s",
        "how long callers keep an answer of the directory",
        [](settings& s, text v) {
            return store_duration(s.lookup_time_to_live, v, 100ms, 600s);
        }},
    row{"limits.stop_grace", "500ms-600s", "6s",
        "time from SIGTERM until the process is ended from outside",
        [](settings& s, text v) {
            return store_duration(s.stop_grace, v, 500ms, 600s);
        }},
};

std::span<const row> rows() {
    static const std::vector<row> all = [] {
        std::vector<row> r(instance_rows.begin(), instance_rows.end());
        r.insert(r.end(), fleet_rows.begin(), fleet_rows.end());
        r.insert(r.end(), limit_rows.begin(), limit_rows.end());
        return r;
    }();
    return all;
}

base::failure clash(const std::string& source, std::string detail) {
    return {make_error_code(pollenreel::settings::error::clash),
            source + ": " + std::move(detail)};
}

} // namespace

base::result<settings> read_text(std::string_view text_of,
                                 const std::string& source) {
    BOOST_OUTCOME_TRY(
        auto read, pollenreel::settings::read_table(text_of, source, rows()));
    const auto region = read.regions.find(read.failure_domain);
    if (region == read.regions.end() || region->second != read.region) {
        return clash(source, "instance.failure_domain is not in "
                             "instance.region by fleet.failure_domains");
    }
    return read;
}

base::result<settings> read_file(const std::string& path) {
    BOOST_OUTCOME_TRY(const auto content, pollenreel::settings::read_all(path));
    return read_text(content, path);
}

std::string describe_keys() {
    return pollenreel::settings::describe(rows());
}

} // namespace pollenreel::entry
