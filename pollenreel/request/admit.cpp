#include "pollenreel/request/admit.hpp"

namespace pollenreel::request {

filtered<classified> admit(classified c, const load& l) {
    if (l.stopping) {
        return refusal{outcome::not_run, reason::stopping};
    }
    if (l.requests_in_flight >= most_requests_in_flight) {
        return refusal{outcome::not_run, reason::overloaded};
    }
    return c;
}

} // namespace pollenreel::request
