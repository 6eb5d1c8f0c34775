#include "pollenreel/request/types.hpp"

namespace pollenreel::request {

std::string_view to_string(outcome value) {
    return value == outcome::not_run ? "not-run" : "unknown";
}

std::string_view to_string(reason value) {
    switch (value) {
    case reason::unknown_service:
        return "unknown-service";
    case reason::unknown_route:
        return "unknown-route";
    case reason::unreadable_route:
        return "unreadable-route";
    case reason::no_configuration:
        return "no-configuration";
    case reason::unknown_kind:
        return "unknown-kind";
    case reason::bad_deadline:
        return "bad-deadline";
    case reason::no_target:
        return "no-target";
    case reason::overloaded:
        return "overloaded";
    case reason::deadline_expired:
        return "deadline-expired";
    case reason::connect_failed:
        return "connect-failed";
    case reason::connection_lost:
        return "connection-lost";
    case reason::wrong_answer:
        return "wrong-answer";
    case reason::target_shed:
        return "target-shed";
    case reason::target_error:
        return "target-error";
    case reason::stopping:
        return "stopping";
    case reason::missing_key:
        return "missing-key";
    case reason::unknown_key:
        return "unknown-key";
    case reason::unreadable_key:
        return "unreadable-key";
    case reason::keys_unconfirmed:
        return "keys-unconfirmed";
    case reason::no_home:
        return "no-home";
    case reason::over_quota:
        return "over-quota";
    }
    return "unknown-reason";
}

} // namespace pollenreel::request
