#include "pollenreel/control/core.hpp"

#include "pollenreel/base/overloaded.hpp"
#include "pollenreel/control/answers.hpp"
#include "pollenreel/control/explain.hpp"

#include <algorithm>

namespace pollenreel::control {

namespace {

// A seed of its own for each start of each instance.
std::uint64_t seed_of(const peer::member& self) {
    return feed::checksum(self.instance.str()) ^ self.incarnation;
}

// By the failure domain itself as long as its region is not declared.
feed::member as_feed_member(const routing::snapshot& s, const peer::member& m) {
    const auto region = s.region_of.find(m.failure_domain);
    return {m.instance,
            region == s.region_of.end()
                ? base::region_id(m.failure_domain.str())
                : region->second,
            m.peer_address};
}

routing::instance as_instance(const peer::member& m) {
    return {m.instance, m.failure_domain, m.caller_address};
}

void send_all(membership::outbox messages, effects& out) {
    for (auto& m : messages) {
        out.emplace_back(send_peer{m.to, std::move(m.message)});
    }
}

membership::region_map regions_of(const declarations::document& d) {
    membership::region_map regions;
    for (const auto& r : d.regions) {
        for (const auto& domain : r.failure_domains) {
            regions.emplace(domain, r.id);
        }
    }
    return regions;
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

core::core(identity who, base::time_point now)
    : m_who(std::move(who)), m_committer(m_who.configuration_key),
      m_membership(m_who.self, m_who.seeds, ~seed_of(m_who.self), now),
      m_feed(as_feed_member(*m_snapshot, m_who.self), m_who.seeds,
             m_who.configuration_key, seed_of(m_who.self)) {}

effects core::handle(const event& e, base::time_point now) {
    effects out;
    std::visit([&](const auto& one) { on(one, now, out); }, e);
    return out;
}

void core::on(const tick&, base::time_point now, effects& out) {
    tick_membership(now, out);
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

template <class Message>
void core::on_message(const Message& m, base::time_point now, effects& out) {
    membership::outbox to_send;
    if constexpr (requires { m_membership.receive(m, now, to_send); }) {
        m_membership.receive(m, now, to_send);
        send_all(std::move(to_send), out);
        if constexpr (requires { m.gossip; }) {
            m_feed.on_applied(m.sender, m.gossip.applied);
        }
        tell_feed_members(now, out);
        republish(now, out);
    } else if constexpr (std::is_constructible_v<shift::message, Message>) {
        if (m_coordinator) {
            run(m_coordinator->on_message(m, now), out);
        }
    } else {
        run(m_feed.on_message(m, now), now, out);
    }
}

void core::on(const peer_received& e, base::time_point now, effects& out) {
    std::visit([&](const auto& m) { on_message(m, now, out); }, e.message);
}

void core::on(const platform_list_changed& e, base::time_point, effects&) {
    m_membership.on_platform_list_changed(e.instances);
}

void core::tick_membership(base::time_point now, effects& out) {
    membership::outbox to_send;
    m_membership.tick(now, to_send);
    send_all(std::move(to_send), out);
}

void core::on(const query_received& e, base::time_point now, effects& out) {
    std::visit(
        base::overloaded{
            [&](const language::status&) {
                out.emplace_back(answer_operator{
                    e.call, answer_status::ok,
                    status_json(m_configuration, m_who.self,
                                m_membership.members(), now, m_feed)});
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
                out.emplace_back(
                    shifts_answer(e.call, m_configuration, shifts(now)));
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

void core::on(const stop_requested&, base::time_point now, effects& out) {
    m_stopping = true;
    if (m_coordinator) {
        m_coordinator->leave();
    }
    m_membership.set_leaving(true, now);
    tick_membership(now, out);
    tell_feed_members(now, out);
    republish(now, out);
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
    const bool starting = m_configuration.version == base::config_version();
    m_configuration = std::move(c);
    m_committer.learn(m_configuration);
    m_membership.set_regions(regions_of(m_configuration.declared));
    m_membership.set_applied(m_configuration.version);
    obey_drains(now, starting, out);
    tell_coordinator(now, out); // before targets that its caps hold for
    m_published_generation = 0;
    republish(now, out);
    m_told_generation = 0; // regions may have changed
    tell_feed_members(now, out);
}

void core::tell_feed_members(base::time_point now, effects& out) {
    const auto generation = m_membership.members().usable_generation();
    if (generation == m_told_generation) {
        return;
    }
    m_told_generation = generation;
    std::vector<feed::member> live;
    for (const auto& m : m_membership.usable_members()) {
        live.push_back(as_feed_member(*m_snapshot, m));
    }
    if (live != m_live) {
        m_live = live;
        tell_coordinator(now, out);
        run(m_feed.on_members(std::move(live), now), now, out);
    }
}

// A drained instance stops as if told to end. One that finds itself drained
// when it starts stays up without being named, so that a supervisor does not
// start it again and again, and an undrain brings it back. While all members
// are drained, none of them obeys: callers would be left without any.
void core::obey_drains(base::time_point now, bool starting, effects& out) {
    if (m_stopping) {
        return;
    }
    const auto& drains = m_configuration.commanded.drained_instances;
    const auto usable = m_membership.usable_members();
    const bool others_remain =
        std::any_of(usable.begin(), usable.end(), [&](const auto& m) {
            return !drains.contains(m.instance);
        });
    const bool drained = drains.contains(m_who.self.instance) && others_remain;
    m_membership.set_leaving(drained, now);
    if (drained && !starting) {
        m_stopping = true;
        out.emplace_back(stop_instance{});
    }
}

void core::republish(base::time_point now, effects& out) {
    const auto generation = m_membership.members().usable_generation();
    if (generation == m_published_generation) {
        return;
    }
    if (m_published_generation != 0) {
        obey_drains(now, true, out); // others may have joined
    }
    m_published_generation = m_membership.members().usable_generation();
    std::vector<routing::instance> named;
    for (const auto& m : m_membership.usable_members()) {
        named.push_back(as_instance(m));
    }
    leave_out_drained(m_configuration.commanded, named);
    m_snapshot = routing::compile(m_configuration, as_instance(m_who.self),
                                  std::move(named));
    out.emplace_back(publish{m_snapshot});
}

} // namespace pollenreel::control
