// The traffic thread of an entry instance: listens for callers, for look-ups
// and for questions about readiness, drives dispatch::core and carries its
// attempts to targets.
#pragma once

#include "pollenreel/egress/target_pool.hpp"
#include "pollenreel/entry/loop_delay.hpp"
#include "pollenreel/entry/protocol.hpp"
#include "pollenreel/entry/settings.hpp"
#include "pollenreel/fleet/exchange.hpp"
#include "pollenreel/log/logger.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

namespace pollenreel::entry {

// Counts of the control thread, shown with the traffic's metrics.
struct control_counts {
    std::atomic<std::uint64_t> store_calls{0};
    std::atomic<std::uint64_t> store_failures{0};
    std::atomic<std::uint64_t> store_watch_returns{0};
    std::atomic<std::uint64_t> unreadable_entries{0};
    // Entries and fields of configurations that could not be read.
    std::atomic<std::uint64_t> configuration_problems{0};
    std::atomic<std::uint64_t> relay_asks{0};     // of this instance
    std::atomic<std::uint64_t> relay_failures{0}; // of them, of no use
    std::atomic<std::uint64_t> relay_answers{0};  // to others
    std::atomic<std::uint64_t> relay_answer_bytes{0};
    // Large values that were transferred apart, from relays and the store.
    std::atomic<std::uint64_t> value_transfers{0};
    std::atomic<std::uint64_t> value_transfer_failures{0};
    std::atomic<std::uint64_t> value_bytes{0};       // of those that succeeded
    std::atomic<std::uint64_t> exchange_calls{0};    // to other instances
    std::atomic<std::uint64_t> exchange_failures{0}; // of them, without use
    std::atomic<std::uint64_t> exchange_bytes{0};    // sent and received
    std::atomic<fleet::exchange_role> exchange_role{fleet::exchange_role::none};
    loop_delay control_loop;
};

class traffic {
public:
    // All arguments must outlive it.
    traffic(const settings& s, const protocol& p, const base::clock& clock,
            const log::logger& log, const control_counts& counts);
    traffic(const traffic&) = delete;
    traffic& operator=(const traffic&) = delete;
    ~traffic();

    // Opens the listeners and starts the thread. Fails with cannot_listen.
    [[nodiscard]] base::result<void> start();
    // From any thread.
    void publish(fleet::view_ptr v);
    void set_limits(const dispatch::fleet_limits& l);
    // Calls `done` on the traffic thread with what this instance reports in the
    // exchange. `whole`: on all tenants, else on those with news.
    void make_report(bool whole,
                     std::function<void(fleet::exchange_report)> done);
    void on_news(fleet::exchange_news news);
    // Checks a target for another instance. Calls `done` on the traffic thread,
    // with nullopt if that could not be done.
    void check_target(const request::chosen_target& target,
                      egress::check_handler done);
    // Leaves: is not ready from now on, finishes what is under way until
    // `until`, then ends the thread.
    // `ended` is called on the traffic thread when it does.
    void stop(base::time_point until, std::function<void()> ended);
    void join();

private:
    class loop;
    std::unique_ptr<loop> m_loop;
};

} // namespace pollenreel::entry
