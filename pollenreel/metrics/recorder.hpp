// Counts what became of requests and how long they took, by service, kind of
// work, outcome and region of the target. One recorder per traffic thread;
// what they hold is merged when somebody asks.
//
//   recorder.record({service, kind, region, outcome::answered}, 3ms, true);
//   auto all = metrics::merge({a.read(), b.read()});
#pragma once

#include "pollenreel/base/ids.hpp"
#include "pollenreel/metrics/latency_distribution.hpp"

#include <compare>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace pollenreel::metrics {

enum class outcome {
    answered,     // by a target, without a server error
    target_error, // by a target, with a server error
    not_run,      // refused by the system; provably no target ran it
    unknown,      // refused by the system; a target may have run it
};
// "answered", "target-error", "not-run", "unknown".
[[nodiscard]] std::string_view to_string(outcome o);

struct series {
    base::service_id service;
    base::kind_id kind;     // empty: none was found
    base::region_id region; // of the target; empty: none was tried
    metrics::outcome outcome = outcome::answered;

    friend auto operator<=>(const series&, const series&) = default;
};

struct series_counts {
    latency_distribution latency;
    std::uint64_t good = 0; // met the kind's objective

    friend bool operator==(const series_counts&,
                           const series_counts&) = default;
};

// Since the start of the instance.
using readings = std::map<series, series_counts>;

[[nodiscard]] readings merge(const std::vector<readings>& parts);

// All members may be called from any thread; `record` contends only with a
// `read` under way.
class recorder {
public:
    recorder();
    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;
    ~recorder();

    // Series beyond `most_series` are counted under the service "other", so
    // that names made up by callers do not use up memory.
    void record(const series& s, std::chrono::nanoseconds latency, bool good);
    [[nodiscard]] readings read() const;

private:
    class sets;
    std::unique_ptr<sets> m_sets;
};

// Of one recorder. About 4 KB each.
constexpr std::size_t most_series = 2048;

} // namespace pollenreel::metrics
