#include "pollenreel/entry/exchange_driver.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace pollenreel::entry {

namespace {

using dispatch::shared_loads;
using fleet::exchange;

std::uint64_t random_run() {
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

// Regions and instances may have equal names.
std::string reader_name(const base::region_id& region) {
    return "region:" + region.str();
}

} // namespace

bool needs_exchange(const fleet::view& v, const dispatch::fleet_limits& l) {
    if (l.share_loads) {
        return true;
    }
    if (l.quota_window.count() == 0 || !v.routes ||
        !v.routes->source().tenants) {
        return false;
    }
    const auto& tenants = *v.routes->source().tenants;
    return std::any_of(tenants.begin(), tenants.end(),
                       [](const auto& t) { return t.requests_per_s > 0; });
}

exchange_driver::exchange_driver(boost::asio::io_context& io, const settings& s,
                                 const base::clock& clock,
                                 control_counts& counts, const log::logger& log,
                                 ledger_hooks ledger, report_hooks reports)
    : m_settings(s), m_clock(clock), m_counts(counts), m_log(log),
      m_ledger(std::move(ledger)), m_reports(std::move(reports)), m_client(io),
      m_run(random_run()) {}

void exchange_driver::on_view(const fleet::view& v) {
    if (needs_exchange(v, m_settings.limits)) {
        start();
        m_exchange->on_view(v.instances, v.instances_known);
    } else {
        stop();
    }
}

void exchange_driver::start() {
    if (m_exchange) {
        return;
    }
    m_exchange = std::make_shared<exchange>(m_settings.id, m_settings.region);
    m_log.info("exchange_started");
    if (m_listener != nullptr && !std::exchange(m_serves, true)) {
        m_listener->serve_exchange(handlers());
    }
}

void exchange_driver::stop() {
    if (!m_exchange) {
        return;
    }
    m_exchange.reset();
    m_loads = {};
    m_counts.exchange_role = fleet::exchange_role::none;
    m_log.info("exchange_stopped");
}

void exchange_driver::tick() {
    if (!m_exchange) {
        return;
    }
    const auto now = m_clock.now();
    run(m_exchange->tick(now));
    m_counts.exchange_role = m_exchange->role(now);
    m_counts.exchange_bytes =
        m_client.bytes() +
        (m_listener == nullptr ? 0 : m_listener->exchange_bytes());
}

void exchange_driver::run(const exchange::actions& actions) {
    for (const auto& a : actions) {
        std::visit([&](const auto& one) { run(one); }, a);
    }
}

void exchange_driver::run(const exchange::send_report& a) {
    ++m_counts.exchange_calls;
    m_reports.make_report(
        a.whole, while_running([this, a](const fleet::exchange_report& r) {
            m_client.report(a.to.at, r, exchange::answer_timeout,
                            while_running([this, a](const auto& news) {
                                on_news(a.call, news);
                            }));
        }));
}

void exchange_driver::run(const exchange::report_to_self& a) {
    m_reports.make_report(
        a.whole, while_running([this, a](const fleet::exchange_report& r) {
            on_news(a.call, answer(r));
        }));
}

void exchange_driver::run(const exchange::ask_sums& a) {
    ++m_counts.exchange_calls;
    m_client.ask_sums(a.of.at, m_settings.region, exchange::answer_timeout,
                      while_running([this, a](const auto& sums) {
                          // Another instance may have the address by now.
                          const bool is_expected =
                              sums && sums->usage.region == a.region;
                          on_sums(a.call, is_expected ? sums : std::nullopt);
                      }));
}

void exchange_driver::run(const exchange::hub_changed& a) {
    m_log.info("exchange_hub_changed",
               {{"hub", a.to.str()},
                {"previous", a.from.str()},
                {"cause", a.failed ? "no answer" : "view"}});
}

void exchange_driver::on_news(std::uint64_t call,
                              const std::optional<fleet::exchange_news>& news) {
    if (news) {
        m_reports.on_news(*news);
    } else {
        ++m_counts.exchange_failures;
    }
    run(m_exchange->on_news(
        call, news ? std::optional(news->run) : std::nullopt, m_clock.now()));
}

void exchange_driver::on_sums(std::uint64_t call,
                              const std::optional<fleet::exchange_sums>& sums) {
    const auto now = m_clock.now();
    if (sums) {
        m_ledger.on_peer_sums(sums->usage);
        for (const auto& l : sums->loads) {
            m_loads.add(l, shared_loads::source::relayed, "", now);
        }
    } else {
        ++m_counts.exchange_failures;
    }
    run(m_exchange->on_sums(call, sums.has_value(), now));
}

fleet::exchange_news exchange_driver::answer(const fleet::exchange_report& r) {
    const auto now = m_clock.now();
    const auto& sender = r.usage.instance.str();
    for (const auto& l : r.loads) {
        m_loads.add(l, shared_loads::source::heard, sender, now);
    }
    return {m_ledger.on_report(r.usage),
            m_loads.news_for(sender, shared_loads::selection::all, now), m_run};
}

fleet::exchange_sums
exchange_driver::make_sums(const base::region_id& asked_by) {
    auto sums = m_ledger.sums();
    sums.region = m_settings.region;
    sums.run = m_run;
    return {std::move(sums),
            m_loads.news_for(reader_name(asked_by),
                             shared_loads::selection::heard, m_clock.now())};
}

relay::exchange_handlers exchange_driver::handlers() {
    return {[this](const fleet::exchange_report& r)
                -> std::optional<fleet::exchange_news> {
                if (!m_exchange) {
                    return std::nullopt;
                }
                m_exchange->on_report_received(m_clock.now());
                return answer(r);
            },
            [this](const base::region_id& asked_by)
                -> std::optional<fleet::exchange_sums> {
                // The sums of an instance that is not the hub are too low.
                if (!m_exchange || m_exchange->role(m_clock.now()) !=
                                       fleet::exchange_role::hub) {
                    return std::nullopt;
                }
                return make_sums(asked_by);
            }};
}

} // namespace pollenreel::entry
