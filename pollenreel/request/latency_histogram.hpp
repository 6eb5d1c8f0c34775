// Quantiles of recent latencies. Old samples decay: all counts are halved each
// time a fixed number of samples has been added.
//
//   latency_histogram h;
//   h.add(12ms);
//   auto p95 = h.quantile(0.95);
#pragma once

#include "pollenreel/base/clock.hpp"

#include <boost/histogram.hpp>

#include <cstddef>
#include <optional>
#include <tuple>

namespace pollenreel::request {

class latency_histogram {
public:
    latency_histogram();

    void add(base::duration latency);
    // Upper edge of the bin that contains quantile `q` in [0, 1], within 5%;
    // empty while there are too few samples.
    [[nodiscard]] std::optional<base::duration> quantile(double q) const;

private:
    using axis =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;

    using counts = boost::histogram::dense_storage<double>;

    boost::histogram::histogram<std::tuple<axis>, counts> m_counts;
    std::size_t m_samples_since_decay = 0;
    double m_total = 0;
};

} // namespace pollenreel::request
