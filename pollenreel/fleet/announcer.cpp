#include "pollenreel/fleet/announcer.hpp"

#include "pollenreel/base/overloaded.hpp"

namespace pollenreel::fleet {

std::optional<store::request> announcer::next_request(base::time_point now) {
    if (m_awaiting_reply || m_state == state::withdrawn) {
        return std::nullopt;
    }
    if (m_withdraw_requested) {
        m_state = state::withdrawn;
        if (m_lease.value() == 0) {
            return std::nullopt;
        }
        m_awaiting_reply = true;
        return store::revoke_lease{m_lease};
    }
    if (now < m_next_request_at) {
        return std::nullopt;
    }
    m_awaiting_reply = true;
    switch (m_state) {
    case state::absent:
        return store::grant_lease{m_options.time_to_live};
    case state::leased:
        return store::compare_and_swap{m_options.key, m_options.value,
                                       m_expected_revision, m_lease};
    case state::announced:
    case state::withdrawn:
        break;
    }
    return store::keep_alive{m_lease};
}

void announcer::restart(base::time_point now) {
    m_state = state::absent;
    m_lease = {};
    m_next_request_at = now;
}

void announcer::on_reply(const store::reply& r, base::time_point now) {
    m_awaiting_reply = false;
    if (m_state == state::withdrawn) {
        return;
    }
    std::visit(base::overloaded{
                   [&](const store::lease_held& held) {
                       m_backoff.reset();
                       if (m_state == state::absent) {
                           m_lease = held.lease;
                           m_state = state::leased;
                           m_next_request_at = now;
                       } else {
                           m_next_request_at = now + m_options.renew_interval();
                       }
                   },
                   [&](const store::swapped&) {
                       m_backoff.reset();
                       m_state = state::announced;
                       m_next_request_at = now + m_options.renew_interval();
                   },
                   [&](const store::conflicting& c) {
                       m_expected_revision =
                           c.current ? c.current->modified : store::revision{};
                       m_next_request_at = now;
                   },
                   [&](const store::lease_gone&) { restart(now); },
                   [&](const auto&) {
                       m_next_request_at = now + m_backoff.next_delay();
                   },
               },
               r);
}

void announcer::on_key_removed(base::time_point now) {
    if (m_state == state::announced) {
        m_expected_revision = {};
        restart(now);
    }
}

void announcer::withdraw() {
    m_withdraw_requested = true;
}

} // namespace pollenreel::fleet
