#include "pollenreel/measure/result.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace pollenreel::measure {

namespace {

boost::json::value or_null(const std::optional<double>& v) {
    return v ? boost::json::value(*v) : boost::json::value(nullptr);
}

} // namespace

bool ok(const result& r) {
    if (!r.bound) {
        return true;
    }
    return r.direction == direction::at_most ? r.value <= *r.bound
                                             : r.value >= *r.bound;
}

std::string to_json_line(const result& r) {
    return boost::json::serialize(
        boost::json::object{{"measure", r.measure},
                            {"workload", r.workload},
                            {"value", r.value},
                            {"unit", r.unit},
                            {"bound", or_null(r.bound)},
                            {"baseline", or_null(r.baseline)},
                            {"seed", r.seed},
                            {"ok", ok(r)}});
}

} // namespace pollenreel::measure
