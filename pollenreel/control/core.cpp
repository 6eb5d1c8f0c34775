#include "pollenreel/control/core.hpp"

#include "pollenreel/base/overloaded.hpp"
#include "pollenreel/control/answers.hpp"
#include "pollenreel/control/explain.hpp"

#include <algorithm>
#include <set>

namespace pollenreel::control {

namespace {

// Trades bytes between instances against how soon a death is noticed.
constexpr std::chrono::milliseconds heartbeat_period{500};
// A seed of its own for each start of each instance.
std::uint64_t seed_of(const peer::member& self) {
    return feed::checksum(self.instance.str()) ^ self.incarnation;
}

base::region_id region_of(const declarations::document& d,
                          const base::failure_domain_id& domain) {
    for (const auto& r : d.regions) {
        if (std::find(r.failure_domains.begin(), r.failure_domains.end(),
                      domain) != r.failure_domains.end()) {
            return r.id;
        }
    }
    return base::region_id(domain.str()); // nothing is declared yet
}

feed::member as_feed_member(const declarations::document& d,
                            const peer::member& m) {
    return {m.instance, region_of(d, m.failure_domain), m.peer_address};
}

bool due(std::optional<base::time_point>& last, base::duration period,
         base::time_point now) {
    if (last && now - *last < period) {
        return false;
    }
    last = now;
    return true;
}

routing::instance as_instance(const peer::member& m) {
    return {m.instance, m.failure_domain, m.caller_address};
}

// Look-ups do not name drained instances; were all of them drained, an answer
// without any would help no caller.
void leave_out_drained(const declarations::steering& commanded,
                       std::vector<routing::instance>& usable) {
    auto kept = usable;
    std::erase_if(kept, [&](const auto& i) {
        return commanded.drained_instances.contains(i.id);
    });
    if (!kept.empty()) {
        usable = std::move(kept);
    }
}

} // namespace

core::core(identity who)
    : m_who(std::move(who)), m_committer(m_who.configuration_key),
      m_members(m_who.self.instance),
      m_feed(as_feed_member({}, m_who.self), m_who.seeds,
             m_who.configuration_key, seed_of(m_who.self)) {}

effects core::handle(const event& e, base::time_point now) {
    effects out;
    std::visit([&](const auto& one) { on(one, now, out); }, e);
    return out;
}

void core::on(const tick&, base::time_point now, effects& out) {
    if (due(m_last_heartbeat, heartbeat_period, now)) {
        send_heartbeats(out);
    }
    tell_feed_members(now, out);
    run(m_feed.on_tick(now), now, out);
    if (m_coordinator) {
        run(m_coordinator->tick(now), out);
    }
    republish(now, out);
}

void core::on(const store_replied& e, base::time_point now, effects& out) {
    if (e.user == store_user::committer) {
        return take_step(m_committer.on_reply(e.reply), now, out);
    }
    if (e.user == store_user::shares) {
        if (m_coordinator) {
            m_coordinator->on_reply(e.reply, now);
        }
        return;
    }
    run(m_feed.on_reply(e.reply, now), now, out);
}

void core::on(const watch_reported& e, base::time_point now, effects& out) {
    run(m_feed.on_report(e.report, now), now, out);
}

void core::on(const peer_received& e, base::time_point now, effects& out) {
    std::visit([&](const auto& m) { on(m, now, out); }, e.message);
}

void core::on(const peer::heartbeat& m, base::time_point now, effects& out) {
    m_members.on_heartbeat(m, now);
    m_feed.on_applied(m.sender.instance, m.applied);
    tell_feed_members(now, out);
    republish(now, out);
}

void core::on(const query_received& e, base::time_point now, effects& out) {
    std::visit(
        base::overloaded{
            [&](const language::status&) {
                out.emplace_back(
                    answer_operator{e.call, answer_status::ok,
                                    status_json(m_configuration, m_who.self,
                                                m_members.all(), now, m_feed)});
            },
            [&](const language::where& q) {
                out.emplace_back(
                    explain(e.call, q, m_configuration, *m_snapshot));
            },
            [&](const language::why& q) {
                out.emplace_back(
                    explain(e.call, q, m_configuration, *m_snapshot));
            },
            [&](const language::list_shifts&) {
                out.emplace_back(shifts_answer(e.call, m_configuration));
            },
            [&](const language::history&) {
                out.emplace_back(history_answer(e.call, m_configuration));
            },
            [&](const language::report_burn&) {
                out.emplace_back(answer(
                    e.call, refused{"each instance answers its own counts at "
                                    "/v1/service-levels"}));
            },
        },
        e.query);
}

void core::on(const change_received& e, base::time_point now, effects& out) {
    const bool first = m_waiting.emplace(e.change.command, e.call).second;
    if (!first) {
        out.emplace_back(answer(
            e.call, refused{"this command id is being worked on already"}));
        return;
    }
    take_step(m_committer.submit(e.change), now, out);
}

void core::on(const plan_received& e, base::time_point, effects& out) {
    out.emplace_back(plan_answer(e.call, e.document, m_configuration));
}

void core::on(const stop_requested&, base::time_point, effects& out) {
    m_who.self.leaving = true;
    if (m_coordinator) {
        m_coordinator->leave();
    }
    send_heartbeats(out);
}

void core::take_step(committer::step s, base::time_point now, effects& out) {
    for (const auto& text : s.seen) {
        run(m_feed.offer(text, now), now, out);
    }
    for (const auto& d : s.finished) {
        const auto waiting = m_waiting.find(d.command);
        if (waiting != m_waiting.end()) {
            out.emplace_back(answer(waiting->second, d.verdict));
            m_waiting.erase(waiting);
        }
    }
    if (s.call) {
        out.emplace_back(call_store{store_user::committer, std::move(*s.call)});
    }
}

void core::run(feed::effects from, base::time_point now, effects& out) {
    for (auto& e : from) {
        std::visit(base::overloaded{
                       [&](feed::send& one) {
                           auto m = std::visit(
                               [](auto& part) {
                                   return peer::message(std::move(part));
                               },
                               one.message);
                           out.emplace_back(send_peer{one.to, std::move(m)});
                       },
                       [&](feed::take& one) {
                           apply(std::move(one.configuration), now, out);
                       },
                       [&](feed::ask_store& one) {
                           out.emplace_back(call_store{store_user::feed,
                                                       std::move(one.request)});
                       },
                       [&](auto& watch) { out.emplace_back(watch); },
                   },
                   e);
    }
}

void core::apply(declarations::configuration c, base::time_point now,
                 effects& out) {
    m_configuration = std::move(c);
    m_committer.learn(m_configuration);
    tell_coordinator(now, out); // before targets that its caps hold for
    m_published.clear();
    republish(now, out);
    tell_feed_members(now, out); // regions may have changed
}

void core::tell_feed_members(base::time_point now, effects& out) {
    std::vector<feed::member> live;
    if (!m_who.self.leaving) {
        live.push_back(as_feed_member(m_configuration.declared, m_who.self));
    }
    for (const auto& m : m_members.usable(now)) {
        live.push_back(as_feed_member(m_configuration.declared, m.member));
    }
    if (live != m_live) {
        m_live = live;
        tell_coordinator(now, out);
        run(m_feed.on_members(std::move(live), now), now, out);
    }
}

void core::send_heartbeats(effects& out) {
    peer::heartbeat h{m_who.self, m_configuration.version, {}};
    for (const auto& [id, m] : m_members.all()) {
        h.known.push_back(m.member);
    }
    std::set<base::endpoint> to(m_who.seeds.begin(), m_who.seeds.end());
    for (const auto& address : m_members.addresses()) {
        to.insert(address);
    }
    to.erase(m_who.self.peer_address);
    for (const auto& address : to) {
        out.emplace_back(send_peer{address, h});
    }
}

void core::republish(base::time_point now, effects& out) {
    std::vector<routing::instance> usable;
    if (!m_who.self.leaving) {
        usable.push_back(as_instance(m_who.self));
    }
    for (const auto& m : m_members.usable(now)) {
        usable.push_back(as_instance(m.member));
    }
    leave_out_drained(m_configuration.commanded, usable);
    if (usable == m_published) {
        return;
    }
    m_published = usable;
    m_snapshot = routing::compile(m_configuration, as_instance(m_who.self),
                                  std::move(usable));
    out.emplace_back(publish{m_snapshot});
}

} // namespace pollenreel::control
