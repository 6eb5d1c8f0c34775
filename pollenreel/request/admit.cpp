#include "pollenreel/request/admit.hpp"

namespace pollenreel::request {

filter_result<classified_request> admit(classified_request request,
                                        const thread_load& load) {
    if (load.stopping) {
        return refusal{outcome::not_run, reason::stopping};
    }
    if (load.requests_in_flight >= max_requests_in_flight) {
        return refusal{outcome::not_run, reason::overloaded};
    }
    return request;
}

} // namespace pollenreel::request
