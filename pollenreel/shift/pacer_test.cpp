#include "pollenreel/shift/pacer.hpp"

#include "pollenreel/base/random.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;

constexpr base::time_point start{1h};
constexpr std::uint64_t rate = 1'000'000; // bytes per second: 100 kB per window
constexpr shift::cost page{1'000, 20'000};

struct crossing {
    base::time_point at;
    std::uint64_t bytes = 0;
};

// Returns the most bytes that crossed in any 100 ms.
std::uint64_t worst_window(std::vector<crossing> all) {
    std::sort(all.begin(), all.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
    std::uint64_t worst = 0;
    std::uint64_t sum = 0;
    std::size_t first = 0;
    for (const auto& c : all) {
        sum += c.bytes;
        while (c.at - all[first].at >= shift::cap_window) {
            sum -= all[first++].bytes;
        }
        worst = std::max(worst, sum);
    }
    return worst;
}

} // namespace

TEST_CASE("no window exceeds the rate, even when answers are delayed") {
    struct row {
        const char* name;
        base::duration min_round_trip;
        base::duration jitter;
        bool stall; // answers due in the first 300 ms of a second arrive
                    // together
    };
    const row rows[] = {
        {"steady", 75ms, 10ms, false},
        {"near targets", 2ms, 30ms, false},
        {"delayed and released together", 75ms, 10ms, true},
        {"far targets", 150ms, 50ms, false},
    };
    for (const auto& r : rows) {
        CAPTURE(std::string(r.name));
        shift::pacer p;
        base::random random(1);
        std::vector<crossing> answers;
        std::vector<std::pair<base::time_point, base::duration>> open;
        for (auto now = start; now < start + 10s; now += 1ms) {
            std::erase_if(open, [&](const auto& o) {
                const bool in = o.first <= now;
                if (in) {
                    p.finish(page, page.answer_bytes, o.second, now);
                    answers.push_back({now, page.answer_bytes});
                }
                return in;
            });
            while (p.fits(page, rate, now)) {
                p.start(page, now);
                auto at =
                    now + r.min_round_trip +
                    std::chrono::nanoseconds(random.below(r.jitter.count()));
                const auto in_second = (at - start) % 1s;
                if (r.stall && in_second < 300ms) {
                    at += 300ms - in_second;
                }
                open.emplace_back(at, at - now);
            }
        }
        CHECK(worst_window(answers) <= rate / 10);
        CHECK(answers.size() > 100);
    }
}

TEST_CASE("requests are limited to the rate") {
    shift::pacer p;
    const shift::cost upload{40'000, 100};
    CHECK(p.fits(upload, rate, start));
    p.start(upload, start);
    p.start(upload, start + 10ms);
    CHECK(!p.fits(upload, rate, start + 20ms));
    CHECK(p.fits(upload, rate, start + 100ms));
}

TEST_CASE("an attempt larger than one window is never possible") {
    CHECK(shift::pacer::is_possible({1, 100'000}, rate));
    CHECK(!shift::pacer::is_possible({1, 100'001}, rate));
}
