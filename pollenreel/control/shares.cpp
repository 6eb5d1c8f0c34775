// The control core's dealings with its coordinator of shares and shifts.
#include "pollenreel/base/overloaded.hpp"
#include "pollenreel/control/core.hpp"

#include <algorithm>

namespace pollenreel::control {

namespace {

// "/pollenreel" of "/pollenreel/configuration".
std::string prefix_of(const std::string& configuration_key) {
    return configuration_key.substr(0, configuration_key.rfind('/'));
}

base::region_id declared_region(const declarations::document& d,
                                const base::failure_domain_id& domain) {
    for (const auto& r : d.regions) {
        const auto& all = r.failure_domains;
        if (std::find(all.begin(), all.end(), domain) != all.end()) {
            return r.id;
        }
    }
    return {};
}

} // namespace

void core::tell_coordinator(base::time_point now, effects& out) {
    const auto region =
        declared_region(m_configuration.declared, m_who.self.failure_domain);
    if (region.empty()) {
        return;
    }
    if (!m_coordinator || region != m_coordinated) {
        m_coordinated = region;
        m_coordinator.emplace(shift::coordinator_options{
            {m_who.self.instance, m_who.self.incarnation},
            region,
            m_who.self.peer_address,
            prefix_of(m_who.configuration_key),
            m_who.traffic_threads});
    }
    std::vector<shift::member> live;
    for (const auto& m : m_live) {
        live.push_back({m.instance, m.region, m.address});
    }
    m_coordinator->set_members(std::move(live));
    m_coordinator->set_configuration(m_configuration);
    run(m_coordinator->tick(now), out);
}

void core::run(shift::effects from, effects& out) {
    for (auto& e : from) {
        std::visit(
            base::overloaded{
                [&](store::request& r) {
                    out.emplace_back(
                        call_store{store_user::shares, std::move(r)});
                },
                [&](shift::send& s) {
                    auto m = std::visit(
                        [](auto& one) { return peer::message(std::move(one)); },
                        s.message);
                    out.emplace_back(send_peer{s.to, std::move(m)});
                },
                [&](shift::allowances_ptr& a) {
                    out.emplace_back(publish_allowances{std::move(a)});
                },
            },
            e);
    }
}

void core::on(const traffic_reported& e, base::time_point, effects&) {
    if (m_coordinator) {
        m_coordinator->on_traffic(e.report);
    }
}

std::vector<shift::progress> core::shifts(base::time_point now) const {
    return m_coordinator ? m_coordinator->shifts(now)
                         : std::vector<shift::progress>();
}

} // namespace pollenreel::control
