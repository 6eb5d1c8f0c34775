#include "pollenreel/measure/result.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <fmt/format.h>

namespace pollenreel::measure {

namespace {

std::string number(double v) {
    return fmt::format("{:.6g}", v);
}

std::string or_null(const std::optional<double>& v) {
    return v ? number(*v) : "null";
}

std::string quoted(const std::string& text) {
    return boost::json::serialize(boost::json::value(text));
}

} // namespace

bool ok(const result& r) {
    if (!r.bound) {
        return true;
    }
    return r.direction == direction::at_most ? r.value <= *r.bound
                                             : r.value >= *r.bound;
}

// Boost.JSON writes every double in scientific form; people read these lines.
std::string to_json_line(const result& r) {
    return fmt::format(R"({{"measure":{},"workload":{},"value":{},"unit":{},)"
                       R"("bound":{},"baseline":{},"seed":{},"ok":{}}})",
                       quoted(r.measure), quoted(r.workload), number(r.value),
                       quoted(r.unit), or_null(r.bound), or_null(r.baseline),
                       r.seed, ok(r));
}

} // namespace pollenreel::measure
