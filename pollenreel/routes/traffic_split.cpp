#include "pollenreel/routes/traffic_split.hpp"

namespace pollenreel::routes {

const base::service_id& select_service(const route& r, double draw) {
    double total_weight = 0;
    for (const auto& part : r.services) {
        total_weight += part.weight;
    }
    double left = draw * total_weight;
    // Rounding may leave a rest behind the last part.
    const weighted_service* last = nullptr;
    for (const auto& part : r.services) {
        if (part.weight <= 0) {
            continue;
        }
        last = &part;
        left -= part.weight;
        if (left < 0) {
            break;
        }
    }
    return last->service;
}

} // namespace pollenreel::routes
