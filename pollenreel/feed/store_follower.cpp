#include "pollenreel/feed/store_follower.hpp"

#include <algorithm>

namespace pollenreel::feed {

store_follower::store_follower(std::string key, std::uint64_t seed)
    : m_key(std::move(key)), m_random(seed) {}

store_follower::step store_follower::start(base::time_point now) {
    step out;
    if (m_phase == phase::off) {
        m_phase = phase::waiting;
        m_try_at = now;
        m_next = {};
        m_backoff = least_backoff;
        return on_tick(now);
    }
    return out;
}

store_follower::step store_follower::stop() {
    step out;
    if (m_phase == phase::watching) {
        out.effects.emplace_back(close_watch{});
    }
    m_phase = phase::off;
    m_confirmed.reset();
    return out;
}

store_follower::step store_follower::on_tick(base::time_point now) {
    step out;
    if (m_asked) {
        return out;
    }
    if (m_phase == phase::waiting && now >= m_try_at) {
        if (m_next == store::revision{}) {
            m_phase = phase::reading;
            read(out, now, false);
        } else {
            open(out, now);
        }
    } else if (m_phase == phase::watching && now >= m_check_at) {
        m_check_at = now + check_period;
        read(out, now, true);
    }
    return out;
}

store_follower::step store_follower::on_reply(const store::reply& r,
                                              base::time_point now) {
    step out;
    m_asked = false;
    const auto* got = std::get_if<store::found>(&r);
    if (m_phase == phase::reading && m_asked_value) {
        if (got == nullptr) {
            back_off(now);
        } else {
            on_read(*got, out, now);
        }
    } else if (m_phase == phase::watching && !m_asked_value && got != nullptr) {
        on_check(*got, out, now);
    }
    return out;
}

store_follower::step store_follower::on_report(const store::watch_report& r,
                                               base::time_point now) {
    step out;
    if (m_phase == phase::watching) {
        std::visit([&](const auto& one) { on(one, out, now); }, r);
    }
    return out;
}

void store_follower::read(step& out, base::time_point now, bool without_value) {
    m_asked = true;
    m_asked_value = !without_value;
    m_asked_at = now;
    out.effects.emplace_back(ask_store{store::read{m_key, without_value}});
}

void store_follower::open(step& out, base::time_point now) {
    m_phase = phase::watching;
    m_check_at = now + check_period;
    out.effects.emplace_back(open_watch{{m_key, false, m_next}});
}

void store_follower::back_off(base::time_point now) {
    m_phase = phase::waiting;
    const auto jitter = 0.5 + m_random.unit() / 2;
    m_try_at =
        now + std::chrono::duration_cast<base::duration>(m_backoff * jitter);
    m_backoff = std::min<base::duration>(m_backoff * 2, most_backoff);
}

void store_follower::on_read(const store::found& r, step& out,
                             base::time_point now) {
    if (r.value) {
        out.values.push_back(r.value->value);
        m_seen = r.value->modified;
    }
    m_confirmed = m_asked_at;
    m_next = {r.at.value + 1};
    open(out, now);
}

void store_follower::on_check(const store::found& r, step& out,
                              base::time_point now) {
    if (r.at.value + 1 < m_next.value) { // the store was set back: begin anew
        out.effects.emplace_back(close_watch{});
        m_next = {};
        m_seen = {};
        return back_off(now);
    }
    const auto stored = r.value ? r.value->modified : store::revision{};
    if (stored <= m_seen) {
        m_confirmed = m_asked_at;
        return;
    }
    // The watch has not brought what the store holds: it may be silent.
    out.effects.emplace_back(close_watch{});
    open(out, now);
}

void store_follower::on(const store::watch_opened&, step&, base::time_point) {
    m_backoff = least_backoff;
}

void store_follower::on(const store::watch_changed& r, step& out,
                        base::time_point) {
    for (const auto& c : r.changes) {
        if (c.value && c.key == m_key) {
            out.values.push_back(c.value->value);
        }
        m_seen = std::max(m_seen, c.at);
        m_next = {std::max(m_next.value, c.at.value + 1)};
    }
}

void store_follower::on(const store::watch_compacted&, step& out,
                        base::time_point now) {
    m_next = {};
    m_phase = phase::waiting;
    m_try_at = now;
    auto again = on_tick(now);
    out.effects.insert(out.effects.end(), again.effects.begin(),
                       again.effects.end());
}

void store_follower::on(const store::watch_closed&, step&,
                        base::time_point now) {
    back_off(now);
}

} // namespace pollenreel::feed
