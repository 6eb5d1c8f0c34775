#include "pollenreel/base/random.hpp"
#include "pollenreel/metrics/exposition.hpp"
#include "pollenreel/metrics/recorder.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>

using namespace pollenreel;
using namespace pollenreel::metrics;
using namespace std::chrono_literals;
using std::chrono::nanoseconds;

namespace {

const series answered{base::service_id("web"), base::kind_id("read"),
                      base::region_id("a"), outcome::answered};

} // namespace

TEST_CASE("a bucket holds the latencies below its upper edge") {
    struct row {
        nanoseconds latency;
        std::size_t bucket;
        std::chrono::microseconds edge;
    };
    const row rows[] = {
        {-1ms, 0, 1us},
        {0us, 0, 1us},
        {999ns, 0, 1us},
        {1us, 1, 2us},
        {15us, 15, 16us},
        {16us, 16, 17us},
        {31us, 31, 32us},
        {32us, 32, 34us},
        {33us, 32, 34us},
        {1000us, 111, 1024us},
        {24h * 365, bucket_count - 1, 17179869184us},
    };
    for (const auto& r : rows) {
        CAPTURE(r.latency.count());
        CHECK(bucket_of(r.latency) == r.bucket);
        CHECK(upper_edge(r.bucket) == r.edge);
    }
    for (std::size_t i = 16; i < bucket_count; ++i) {
        CHECK(bucket_of(upper_edge(i - 1)) == i);
        CHECK(upper_edge(i) * 16 <= upper_edge(i - 1) * 17);
    }
}

TEST_CASE("merged quantiles keep their error bound; merging is exact") {
    for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
        CAPTURE(seed);
        base::random random(seed);
        recorder parts[3];
        recorder whole;
        std::vector<nanoseconds> samples;
        for (int i = 0; i < 3000; ++i) {
            const auto power = static_cast<double>(random.below(24'000)) / 1e3;
            const nanoseconds one(
                static_cast<std::int64_t>(1000 * std::exp2(power)));
            samples.push_back(one);
            parts[random.below(3)].record(answered, one, true);
            whole.record(answered, one, true);
        }
        const auto merged =
            merge({parts[0].read(), parts[1].read(), parts[2].read()});
        CHECK(merged == whole.read());
        std::sort(samples.begin(), samples.end());
        for (const double q : {0.0, 0.5, 0.9, 0.99, 0.999, 1.0}) {
            CAPTURE(q);
            const auto rank =
                static_cast<std::size_t>(std::max(1.0, std::ceil(q * 3000)));
            const auto exact = samples[rank - 1];
            const auto read = merged.at(answered).latency.quantile(q);
            CHECK(read >= exact);
            CHECK(read <= exact + std::max<nanoseconds>(1us, exact / 16));
        }
    }
    CHECK(latency_distribution{}.quantile(0.5) == 0ns);
}

TEST_CASE("names made up by callers do not use up memory") {
    recorder r;
    for (std::size_t i = 0; i < most_series + 10; ++i) {
        auto s = answered;
        s.service = base::service_id(std::to_string(i));
        r.record(s, 1ms, true);
    }
    const auto all = r.read();
    CHECK(all.size() == most_series + 1);
    const series other{base::service_id("other"), {}, {}, outcome::answered};
    CHECK(all.at(other).good == 10);
}

TEST_CASE("the text form has units, escapes and cumulative buckets") {
    recorder r;
    auto quoted = answered;
    quoted.service = base::service_id("a\"b\\c\nd");
    r.record(quoted, 20us, true);
    r.record(quoted, 3ms, false);
    exposition e;
    e.counter("x_total", "Help.", 1, {{"of", "1"}});
    e.counter("x_total", "Help.", 2, {{"of", "2"}});
    e.gauge("y_seconds", "Help.", 0.5);
    e.requests(r.read());
    CHECK(e.text().starts_with("# HELP x_total Help.\n# TYPE x_total counter\n"
                               "x_total{of=\"1\"} 1\nx_total{of=\"2\"} 2\n"
                               "# HELP y_seconds Help.\n"
                               "# TYPE y_seconds gauge\ny_seconds 0.5\n"));
    const std::string labels =
        R"(service="a\"b\\c\nd",kind="read",region="a",outcome="answered")";
    const std::string name = "pollenreel_request_latency_seconds";
    const std::string lines[] = {
        name + "_bucket{" + labels + ",le=\"1.6e-05\"} 0\n",
        name + "_bucket{" + labels + ",le=\"3.2e-05\"} 1\n",
        name + "_bucket{" + labels + ",le=\"0.004096\"} 2\n",
        name + "_bucket{" + labels + ",le=\"+Inf\"} 2\n",
        name + "_sum{" + labels + "} 0.00302\n",
        name + "_count{" + labels + "} 2\n",
        "pollenreel_requests_good_total{" + labels + "} 1\n",
    };
    for (const auto& line : lines) {
        CAPTURE(line);
        CHECK(e.text().find(line) != std::string::npos);
    }
}
