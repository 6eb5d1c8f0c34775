// Decides to whom an instance reports in the exchange of counts and loads, and
// whom it asks for the sums of other regions. Every 200 ms each instance
// reports to the hub of its region, which is its first watcher; the hub answers
// its own reports itself and asks the hubs of all other regions.
//
// This serves regions of up to 45 instances whose hub dies, stalls or changes
// with the view, and messages that are lost: news then reaches an instance
// within 1.5 s, after which it would fall back to its static share of quotas.
// Instances report at different phases, so that a hub with a tenth of a core
// receives no bursts.
//
//   fleet::exchange x(self, region);
//   x.on_view(view->instances);
//   for (auto& a : x.tick(now)) run(a); // at least every 100 ms
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/fleet/view.hpp"
#include "pollenreel/quota/limits.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace pollenreel::fleet {

enum class exchange_role {
    none,     // has nobody to report to
    reporter, // reports to a hub
    hub,      // answers reports
};
[[nodiscard]] std::string_view to_string(exchange_role r);

// Does no I/O. Not thread-safe.
class exchange {
public:
    static constexpr std::chrono::milliseconds period = quota::report_interval;
    // For connecting and for an answer, a third of what it would take to lose
    // the news: the second hub is asked in the same period.
    static constexpr std::chrono::milliseconds answer_timeout{400};
    // A call without an answer has failed after this, which covers connecting.
    static constexpr std::chrono::milliseconds call_deadline{600};
    // A hub that failed is not called for this long, if there is another.
    static constexpr std::chrono::milliseconds avoidance{5000};
    // An instance that received no report for this long is not a hub for
    // others: ten reports of each instance were missed.
    static constexpr std::chrono::milliseconds hub_lifetime{2000};

    struct hub {
        base::instance_id id;
        base::endpoint at; // unspecified for this instance itself

        friend bool operator==(const hub&, const hub&) = default;
    };

    // Actions. Each call needs one answer with its number.
    struct send_report {
        std::uint64_t call = 0;
        hub to;
        bool whole = false; // on all tenants, else on those with news
    };
    struct report_to_self {
        std::uint64_t call = 0;
        bool whole = false;
    };
    struct ask_sums {
        std::uint64_t call = 0;
        hub of;
        base::region_id region;
    };
    struct hub_changed {
        base::instance_id from; // empty: there was none
        base::instance_id to;   // empty: there is none
        bool failed = false;    // the previous one gave no answer
    };
    using action =
        std::variant<send_report, report_to_self, ask_sums, hub_changed>;
    using actions = std::vector<action>;

    exchange(base::instance_id self, base::region_id own);

    // `live`: of the latest view; `known`: it is complete.
    void on_view(const std::vector<instance>& live, bool known = true);
    [[nodiscard]] actions tick(base::time_point now);
    // `run`: of the hub that answered, nullopt if there was no usable answer.
    [[nodiscard]] actions on_news(std::uint64_t call,
                                  std::optional<std::uint64_t> run,
                                  base::time_point now);
    [[nodiscard]] actions on_sums(std::uint64_t call, bool answered,
                                  base::time_point now);
    // Another instance reported to this one.
    void on_report_received(base::time_point now) { m_reported_at = now; }

    [[nodiscard]] exchange_role role(base::time_point now) const;

private:
    struct open_call {
        std::uint64_t number = 0;
        hub to;
        base::time_point sent_at;
    };
    // The calls to the hubs of one region, one at a time.
    struct channel {
        std::vector<hub> hubs; // first one first
        std::optional<base::time_point> next_at;
        std::optional<open_call> call;
        bool repeated = false; // in this period, at another hub
    };

    [[nodiscard]] const hub* choose(const channel& c,
                                    base::time_point now) const;
    void call(const base::region_id& region, channel& c, base::time_point now,
              actions& out);
    void fail(const base::region_id& region, channel& c, base::time_point now,
              actions& out);
    void note_hub(const base::instance_id& id, actions& out);
    // The channel with that call in flight.
    [[nodiscard]] std::map<base::region_id, channel>::iterator
    find(std::uint64_t call);

    base::instance_id m_self;
    base::region_id m_own;
    std::map<base::region_id, channel> m_channels;
    // Hubs that failed, and until when they are avoided.
    std::map<base::instance_id, base::time_point> m_avoided;
    base::instance_id m_hub; // of the last report; empty: there is none
    // Who has answered the last report, and in which run: it knows all counts
    // but those since then. Unset after a failure, as the report may be lost.
    std::optional<std::pair<base::instance_id, std::uint64_t>> m_informed;
    std::optional<base::time_point> m_reported_at; // by another instance
    std::uint64_t m_last_call = 0;
};

} // namespace pollenreel::fleet
