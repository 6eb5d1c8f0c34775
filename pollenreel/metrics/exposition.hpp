// Writes metrics in the text form that monitoring systems scrape
// (Prometheus exposition format, version 0.0.4).
//
//   metrics::exposition e;
//   e.counter("pollenreel_lookups_total", "Look-ups answered.", 12);
//   e.requests(readings);
//   return e.text();
#pragma once

#include "pollenreel/metrics/recorder.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pollenreel::metrics {

struct label {
    std::string_view name;
    std::string_view value;
};

class exposition {
public:
    // The first call with a name also writes its help and type; calls with
    // the same name follow one another.
    void counter(std::string_view name, std::string_view help,
                 std::uint64_t value, const std::vector<label>& labels = {});
    void gauge(std::string_view name, std::string_view help, double value,
               const std::vector<label>& labels = {});

    // pollenreel_request_latency_seconds (a histogram by service, kind,
    // region and outcome, with a bucket edge at each power of two) and
    // pollenreel_requests_good_total.
    void requests(const readings& all);

    [[nodiscard]] const std::string& text() const { return m_text; }

private:
    void head(std::string_view name, std::string_view help,
              std::string_view type);
    void line(std::string_view name, const std::vector<label>& labels,
              std::string_view value);
    void histogram(const series& s, const latency_distribution& d);

    std::string m_text;
    std::string m_last_name;
};

} // namespace pollenreel::metrics
