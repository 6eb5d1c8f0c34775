#include "pollenreel/metrics/recorder.hpp"

#include "pollenreel/metrics/internal/log_buckets.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <mutex>

namespace pollenreel::metrics {

namespace {

namespace acc = boost::accumulators;

// Samples are nanoseconds.
using latency_set =
    acc::accumulator_set<std::int64_t,
                         acc::stats<acc::tag::count, acc::tag::sum,
                                    acc::tag::max, internal::log_buckets>>;

latency_distribution distribution(const latency_set& s) {
    latency_distribution d;
    d.count = acc::count(s);
    d.sum = std::chrono::nanoseconds(acc::sum(s));
    if (d.count > 0) {
        d.greatest = std::chrono::nanoseconds(acc::max(s));
    }
    d.buckets = acc::extract_result<internal::log_buckets>(s);
    return d;
}

} // namespace

std::string_view to_string(outcome o) {
    switch (o) {
    case outcome::answered:
        return "answered";
    case outcome::target_error:
        return "target-error";
    case outcome::not_run:
        return "not-run";
    case outcome::unknown:
        return "unknown";
    }
    return "";
}

readings merge(const std::vector<readings>& parts) {
    readings all;
    for (const auto& part : parts) {
        for (const auto& [key, counts] : part) {
            auto& sum = all[key];
            sum.latency.merge(counts.latency);
            sum.good += counts.good;
        }
    }
    return all;
}

class recorder::sets {
public:
    void record(const series& s, std::chrono::nanoseconds latency, bool good) {
        const std::lock_guard guard(m_mutex);
        auto found = m_by_series.find(s);
        if (found == m_by_series.end()) {
            const bool full = m_by_series.size() >= most_series;
            found = m_by_series.try_emplace(full ? overflow(s) : s).first;
        }
        found->second.latency(std::max<std::int64_t>(0, latency.count()));
        found->second.good += good ? 1 : 0;
    }

    readings read() const {
        const std::lock_guard guard(m_mutex);
        readings all;
        for (const auto& [key, one] : m_by_series) {
            all[key] = {distribution(one.latency), one.good};
        }
        return all;
    }

private:
    struct counted {
        latency_set latency;
        std::uint64_t good = 0;
    };

    static series overflow(const series& s) {
        return {base::service_id("other"), {}, {}, s.outcome};
    }

    mutable std::mutex m_mutex;
    std::map<series, counted> m_by_series;
};

recorder::recorder() : m_sets(std::make_unique<sets>()) {}

recorder::~recorder() = default;

void recorder::record(const series& s, std::chrono::nanoseconds latency,
                      bool good) {
    m_sets->record(s, latency, good);
}

readings recorder::read() const {
    return m_sets->read();
}

} // namespace pollenreel::metrics
