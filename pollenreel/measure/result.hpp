// What a benchmark with a regression bound reports: one value, the bound that
// the stated target sets, and the project's own simplest policy on the same
// seed. `scripts/bench` prints one JSON object a line.
//
//   measure::result r{"tail", "bench-desk p99", 1.31, "x clean", 1.5};
//   r.baseline = 9.7; r.seed = 3;
//   fmt::print("{}\n", measure::to_json_line(r));
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pollenreel::measure {

enum class direction { at_most, at_least };

struct result {
    std::string measure;
    std::string workload;
    double value = 0;
    std::string unit;
    // Absent: the value is reported, not judged.
    std::optional<double> bound;
    measure::direction direction = measure::direction::at_most;
    std::optional<double> baseline;
    std::uint64_t seed = 0;
};
using results = std::vector<result>;

// Whether the value keeps its bound; true without one.
[[nodiscard]] bool ok(const result& r);

// {"measure","workload","value","unit","bound","baseline","seed","ok"}.
[[nodiscard]] std::string to_json_line(const result& r);

} // namespace pollenreel::measure
