// Carries out the exchange of counts and loads between instances, on the
// control thread: calls hubs as fleet::exchange decides, and answers as a hub.
// The counts are the traffic thread's and reach this one by posting. Takes part
// only where a tenant of the configuration has a limit, or loads are shared.
#pragma once

#include "pollenreel/dispatch/shared_loads.hpp"
#include "pollenreel/entry/settings.hpp"
#include "pollenreel/entry/traffic.hpp"
#include "pollenreel/fleet/exchange.hpp"
#include "pollenreel/log/logger.hpp"
#include "pollenreel/relay/exchange_client.hpp"
#include "pollenreel/relay/listener.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace pollenreel::entry {

// The ledger of a hub; called on the control thread. Without one, a hub counts
// nothing and its news name no tenants.
struct ledger_hooks {
    std::function<quota::usage_news(const quota::usage_report&)> on_report =
        [](const auto&) { return quota::usage_news{}; };
    // Of the own region; the driver names it and the run.
    std::function<quota::region_sums()> sums = [] {
        return quota::region_sums{};
    };
    std::function<void(const quota::region_sums&)> on_peer_sums =
        [](const auto&) {};
};

// What the traffic thread counts. `make_report` may call `done` later, on the
// control thread; `whole`: on all tenants, else on those with news.
struct report_hooks {
    std::function<void(bool whole,
                       std::function<void(const fleet::exchange_report&)> done)>
        make_report;
    std::function<void(const fleet::exchange_news&)> on_news;
};

[[nodiscard]] bool needs_exchange(const fleet::view& v,
                                  const dispatch::fleet_limits& l);

class exchange_driver {
public:
    // The references must outlive it.
    exchange_driver(boost::asio::io_context& io, const settings& s,
                    const base::clock& clock, control_counts& counts,
                    const log::logger& log, ledger_hooks ledger,
                    report_hooks reports);
    exchange_driver(const exchange_driver&) = delete;
    exchange_driver& operator=(const exchange_driver&) = delete;
    ~exchange_driver() = default;

    // Answers others there while it takes part. `l` must outlive it.
    void use_listener(relay::listener& l) { m_listener = &l; }
    void on_view(const fleet::view& v);
    // At least every 100 ms.
    void tick();

private:
    void run(const fleet::exchange::actions& actions);
    void run(const fleet::exchange::send_report& a);
    void run(const fleet::exchange::report_to_self& a);
    void run(const fleet::exchange::ask_sums& a);
    void run(const fleet::exchange::hub_changed& a);
    void start();
    void stop();
    void on_news(std::uint64_t call,
                 const std::optional<fleet::exchange_news>& news);
    void on_sums(std::uint64_t call,
                 const std::optional<fleet::exchange_sums>& sums);
    [[nodiscard]] fleet::exchange_news answer(const fleet::exchange_report& r);
    [[nodiscard]] relay::exchange_handlers handlers();
    [[nodiscard]] fleet::exchange_sums
    make_sums(const base::region_id& asked_by);
    // Does nothing if the exchange has ended, or started anew, meanwhile.
    template <class Handler>
    auto while_running(Handler h) {
        return [run = std::weak_ptr(m_exchange),
                h = std::move(h)](const auto& arg) {
            if (run.lock()) {
                h(arg);
            }
        };
    }

    const settings& m_settings; // its limits may change
    const base::clock& m_clock;
    control_counts& m_counts;
    const log::logger& m_log;
    ledger_hooks m_ledger;
    report_hooks m_reports;
    relay::exchange_client m_client;
    relay::listener* m_listener = nullptr; // null: others cannot ask
    bool m_serves = false;
    std::uint64_t m_run; // of this instance as a hub
    // Null while the instance does not take part.
    std::shared_ptr<fleet::exchange> m_exchange;
    dispatch::shared_loads m_loads; // as a hub
};

} // namespace pollenreel::entry
