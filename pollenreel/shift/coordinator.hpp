// Coordinates caps, limits and headroom with the other instances. Requests
// shares, may act as its region's share holder and load collector, advances the
// region's shifts while it holds the lease, and determines what traffic threads
// may send. Performs no I/O: takes messages and the time, returns effects.
//
//   shift::coordinator c({self, khomas, address, "/pollenreel"});
//   c.set_configuration(configuration);
//   c.set_members(members);
//   for (auto& e : c.tick(now)) run(e);
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/declarations/configuration.hpp"
#include "pollenreel/share/claimant.hpp"
#include "pollenreel/share/holder.hpp"
#include "pollenreel/shift/admission_controller.hpp"
#include "pollenreel/shift/headroom.hpp"
#include "pollenreel/shift/load_book.hpp"
#include "pollenreel/shift/plan.hpp"

#include <deque>
#include <map>
#include <set>
#include <variant>
#include <vector>

namespace pollenreel::shift {

// Number of instances of a region that may hold its lease and collect its load:
// the live ones with the lowest ids. More tolerate more simultaneous failures
// and read the store more often.
constexpr std::size_t collectors_per_region = 2;

struct member {
    base::instance_id instance;
    base::region_id region;
    base::endpoint address;

    friend bool operator==(const member&, const member&) = default;
};

struct coordinator_options {
    share::incarnation_id self;
    base::region_id region;
    base::endpoint address;
    std::string key_prefix;    // of lease keys in the store
    std::uint32_t threads = 1; // traffic threads that share the allowances
};

struct send {
    base::endpoint to;
    shift::message message;
};
using effect = std::variant<store::request, send, allowances_ptr>;
using effects = std::vector<effect>;

class coordinator {
public:
    explicit coordinator(coordinator_options o);

    // Takes effect with the next tick.
    void set_configuration(const declarations::configuration& c);
    // Sets the live instances, including this one.
    void set_members(std::vector<member> live);
    // Records the traffic of one thread since its previous report.
    void on_traffic(const traffic_report& r);

    // Call every 100 ms.
    [[nodiscard]] effects tick(base::time_point now);
    // Handles the reply to the latest store request.
    void on_reply(const store::reply& r, base::time_point now);
    [[nodiscard]] effects on_message(const message& m, base::time_point now);
    // Returns shares and releases the lease with the next ticks.
    void leave();

    // Returns the progress of shifts from this instance's region.
    [[nodiscard]] std::vector<progress> shifts(base::time_point now) const;
    [[nodiscard]] bool holds(base::time_point now) const {
        return m_holder.holds_lease(now);
    }

private:
    // Of one shift, kept by the lease holder.
    struct shift_history {
        std::deque<std::pair<base::time_point, share::ppm>> moved;
        hold_reason reason = hold_reason::none;
    };
    // Of one place, since the latest report.
    struct local_use {
        double slots_sum = 0;
        std::uint32_t samples = 0;
        std::uint64_t started = 0;
        std::uint64_t held_back = 0;
        std::deque<double> reported;
    };

    void on(const share::request& m, base::time_point now, effects& out);
    void on(const share::grant& m, base::time_point now, effects& out);
    void on(const load_report& m, base::time_point now, effects& out);
    void on(const load_summary& m, base::time_point now, effects& out);

    void update_demand();
    void request_shares(base::time_point now, effects& out);
    void report_load(base::time_point now, effects& out);
    void distribute_summaries(base::time_point now, effects& out);
    void advance_shifts(base::time_point now);
    [[nodiscard]] step_input step_input_for(const declarations::shift& s,
                                            const shift_history& t,
                                            base::time_point now) const;
    void update_headroom(base::time_point now);
    void publish(base::time_point now, effects& out);
    [[nodiscard]] usable_rate rate(std::uint64_t cap,
                                   const share::resource_id& r,
                                   base::time_point now) const;
    [[nodiscard]] allowances current_allowances(base::time_point now) const;
    [[nodiscard]] std::vector<member>
    collectors_of(const base::region_id& region) const;
    [[nodiscard]] bool is_collector() const;
    [[nodiscard]] double usable_slots(const place& p) const;

    coordinator_options m_options;
    declarations::configuration m_configuration;
    std::vector<member> m_members;
    share::holder m_holder;
    share::claimant m_claimant;
    load_book m_loads;
    std::map<place, local_use> m_local_uses;
    std::map<place, headroom> m_headroom;
    std::map<base::shift_id, shift_history> m_shift_histories;
    // Latest progress received from the holder.
    std::map<base::shift_id, share::ppm> m_progress;
    std::optional<base::time_point> m_last_report;
    std::optional<base::time_point> m_last_step;
    std::optional<base::time_point> m_last_grant;
    allowances m_published;
    bool m_leaving = false;
};

} // namespace pollenreel::shift
