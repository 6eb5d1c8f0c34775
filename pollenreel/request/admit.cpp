#include "pollenreel/request/admit.hpp"

namespace pollenreel::request {

filter_result<classified_request> admit(classified_request c,
                                        const thread_load& l) {
    if (l.stopping) {
        return refusal{outcome::not_run, reason::stopping};
    }
    if (l.requests_in_flight >= max_requests_in_flight) {
        return refusal{outcome::not_run, reason::overloaded};
    }
    return c;
}

} // namespace pollenreel::request
