// Boost.Accumulators statistic that counts latencies (in nanoseconds) into
// the fixed buckets of a latency_distribution.
#pragma once

#include "pollenreel/metrics/latency_distribution.hpp"

#include <boost/accumulators/framework/accumulator_base.hpp>
#include <boost/accumulators/framework/depends_on.hpp>
#include <boost/accumulators/framework/extractor.hpp>
#include <boost/accumulators/framework/parameters/sample.hpp>
#include <boost/mpl/placeholders.hpp>

namespace pollenreel::metrics::internal {

class log_buckets_impl : public boost::accumulators::accumulator_base {
public:
    using result_type = latency_buckets;

    template <class Arguments>
    explicit log_buckets_impl(const Arguments&) {}

    template <class Arguments>
    void operator()(const Arguments& arguments) {
        const std::int64_t sample = arguments[boost::accumulators::sample];
        ++m_buckets[bucket_of(std::chrono::nanoseconds(sample))];
    }

    [[nodiscard]] result_type result(boost::accumulators::dont_care) const {
        return m_buckets;
    }

private:
    latency_buckets m_buckets{};
};

struct log_buckets : boost::accumulators::depends_on<> {
    using impl = boost::mpl::always<log_buckets_impl>;
};

} // namespace pollenreel::metrics::internal
