#include "pollenreel/request/attempt.hpp"

namespace pollenreel::request {

attempt::step attempt::fail(outcome o, reason cause) {
    m_phase = phase::finished;
    m_failure = refusal{o, cause};
    return step::fail;
}

attempt::step attempt::on_connected() {
    if (m_phase != phase::connecting) {
        return step::nothing;
    }
    m_phase = phase::sent;
    return step::send;
}

attempt::step attempt::on_connect_failed() {
    if (m_phase != phase::connecting) {
        return step::nothing;
    }
    return fail(outcome::not_run, reason::connect_failed);
}

attempt::step attempt::on_response(const response_info& response) {
    if (m_phase != phase::sent) {
        return step::nothing;
    }
    if (!response.id_matches || !response.intact) {
        return fail(outcome::unknown, reason::wrong_answer);
    }
    if (response.shed) {
        return fail(outcome::not_run, reason::target_shed);
    }
    m_phase = phase::finished;
    return step::forward;
}

attempt::step attempt::on_connection_lost() {
    if (m_phase == phase::connecting) {
        return fail(outcome::not_run, reason::connect_failed);
    }
    if (m_phase == phase::sent) {
        return fail(outcome::unknown, reason::connection_lost);
    }
    return step::nothing;
}

attempt::step attempt::on_cancel(reason cause) {
    if (m_phase == phase::connecting) {
        return fail(outcome::not_run, cause);
    }
    if (m_phase == phase::sent) {
        return fail(outcome::unknown, cause);
    }
    return step::nothing;
}

} // namespace pollenreel::request
