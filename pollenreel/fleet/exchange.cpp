#include "pollenreel/fleet/exchange.hpp"

#include "pollenreel/fleet/relay_choice.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pollenreel::fleet {

namespace {

// Where in the period an instance makes its calls.
std::chrono::milliseconds phase_of(const base::instance_id& id) {
    const auto hash = XXH64(id.str().data(), id.str().size(), 0);
    return std::chrono::milliseconds(
        hash % static_cast<std::uint64_t>(exchange::period.count()));
}

} // namespace

std::string_view to_string(exchange_role r) {
    switch (r) {
    case exchange_role::none:
        return "none";
    case exchange_role::reporter:
        return "reporter";
    case exchange_role::hub:
        break;
    }
    return "hub";
}

exchange::exchange(base::instance_id self, base::region_id own)
    : m_self(std::move(self)), m_own(std::move(own)) {
    m_channels[m_own];
}

void exchange::on_view(const std::vector<instance>& live, bool known) {
    std::erase_if(m_channels, [&](const auto& one) {
        return one.first != m_own &&
               std::none_of(live.begin(), live.end(), [&](const auto& i) {
                   return i.region == one.first;
               });
    });
    for (const auto& i : live) {
        m_channels[i.region];
    }
    for (auto& [region, c] : m_channels) {
        c.hubs.clear();
        for (const auto& w : watchers_of(live, region)) {
            c.hubs.push_back({w.id, *w.relay_endpoint});
        }
    }
    // An instance that the others do not know, or cannot reach, must not act
    // as a hub: the shares of the others would not allow for its requests.
    const bool is_only_one =
        known && std::all_of(live.begin(), live.end(),
                             [&](const auto& i) { return i.id == m_self; });
    if (is_only_one) {
        m_channels[m_own].hubs = {{m_self, {}}};
    }
}

const exchange::hub* exchange::choose(const channel& c,
                                      base::time_point now) const {
    // Of hubs that all failed, the one that failed first is tried again.
    const auto avoided_until = [&](const hub& h) {
        const auto found = m_avoided.find(h.id);
        return found == m_avoided.end() || now >= found->second
                   ? base::time_point{}
                   : found->second;
    };
    const auto best = std::min_element(
        c.hubs.begin(), c.hubs.end(), [&](const hub& a, const hub& b) {
            return avoided_until(a) < avoided_until(b);
        });
    return best == c.hubs.end() ? nullptr : &*best;
}

exchange::actions exchange::tick(base::time_point now) {
    actions out;
    std::erase_if(m_avoided,
                  [&](const auto& one) { return now >= one.second; });
    const bool is_hub = role(now) == exchange_role::hub;
    for (auto& [region, c] : m_channels) {
        if (c.call && now - c.call->sent_at >= call_deadline) {
            fail(region, c, now, out);
        }
        if (!c.next_at) {
            c.next_at = now + phase_of(m_self);
        }
        if (now < *c.next_at) {
            continue;
        }
        *c.next_at += period;
        if (*c.next_at <= now) { // the thread was suspended
            c.next_at = now + period;
        }
        c.repeated = false;
        if (!c.call && (region == m_own || is_hub)) {
            call(region, c, now, out);
        }
    }
    return out;
}

void exchange::call(const base::region_id& region, channel& c,
                    base::time_point now, actions& out) {
    const auto* chosen = choose(c, now);
    if (region == m_own) {
        note_hub(chosen == nullptr ? base::instance_id() : chosen->id, out);
    }
    if (chosen == nullptr) {
        return;
    }
    c.call = open_call{++m_last_call, *chosen, now};
    if (region != m_own) {
        out.emplace_back(ask_sums{m_last_call, *chosen, region});
        return;
    }
    const bool whole = !m_informed || m_informed->first != chosen->id;
    if (chosen->id == m_self) {
        out.emplace_back(report_to_self{m_last_call, whole});
    } else {
        out.emplace_back(send_report{m_last_call, *chosen, whole});
    }
}

void exchange::note_hub(const base::instance_id& id, actions& out) {
    if (id == m_hub) {
        return;
    }
    const auto previous = std::exchange(m_hub, id);
    out.emplace_back(hub_changed{previous, id, m_avoided.contains(previous)});
}

void exchange::fail(const base::region_id& region, channel& c,
                    base::time_point now, actions& out) {
    const auto failed = c.call->to;
    c.call.reset();
    m_avoided[failed.id] = now + avoidance;
    if (region == m_own) {
        m_informed.reset();
    }
    const auto* next = choose(c, now);
    if (!std::exchange(c.repeated, true) && next != nullptr &&
        next->id != failed.id) {
        call(region, c, now, out);
    }
}

exchange::actions exchange::on_news(std::uint64_t call,
                                    std::optional<std::uint64_t> run,
                                    base::time_point now) {
    actions out;
    const auto found = find(call);
    if (found == m_channels.end()) {
        return out;
    }
    if (!run) {
        fail(found->first, found->second, now, out);
        return out;
    }
    const auto answered_by = found->second.call->to.id;
    found->second.call.reset();
    m_avoided.erase(answered_by);
    // A hub in another run has lost the counts of earlier reports.
    const bool restarted = m_informed && m_informed->first == answered_by &&
                           m_informed->second != *run;
    m_informed =
        restarted ? std::nullopt : std::optional(std::pair(answered_by, *run));
    return out;
}

exchange::actions exchange::on_sums(std::uint64_t call, bool answered,
                                    base::time_point now) {
    actions out;
    const auto found = find(call);
    if (found == m_channels.end()) {
        return out;
    }
    if (!answered) {
        fail(found->first, found->second, now, out);
        return out;
    }
    m_avoided.erase(found->second.call->to.id);
    found->second.call.reset();
    return out;
}

exchange_role exchange::role(base::time_point now) const {
    const auto* chosen = choose(m_channels.at(m_own), now);
    const bool answers_itself = chosen != nullptr && chosen->id == m_self;
    if (answers_itself ||
        (m_reported_at && now - *m_reported_at < hub_lifetime)) {
        return exchange_role::hub;
    }
    return chosen == nullptr ? exchange_role::none : exchange_role::reporter;
}

std::map<base::region_id, exchange::channel>::iterator
exchange::find(std::uint64_t call) {
    return std::find_if(
        m_channels.begin(), m_channels.end(), [&](const auto& one) {
            return one.second.call && one.second.call->number == call;
        });
}

} // namespace pollenreel::fleet
