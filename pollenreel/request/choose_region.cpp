#include "pollenreel/request/choose_region.hpp"

namespace pollenreel::request {

filtered<base::region_id> choose_region(const classified& c,
                                        const routing::snapshot& s) {
    const auto service = s.services.find(c.service);
    const base::region_id* first = nullptr;
    if (service != s.services.end()) {
        for (const auto& t : service->second.targets) {
            if (t.accepts_new_work && t.region == s.region) {
                return t.region;
            }
            if (t.accepts_new_work && first == nullptr) {
                first = &t.region;
            }
        }
    }
    if (first == nullptr) {
        return refusal{outcome::not_run, reason::no_target};
    }
    return *first;
}

} // namespace pollenreel::request
