// A fleet of entries in three regions in virtual time, each with the real
// coordinator and spender, with fake targets, links, messages and store that
// fail as told. Deterministic by its seed.
//
//   testing::virtual_regions f(options);
//   f.command_shift(...);
//   f.run_until(120s);
#pragma once

#include "pollenreel/base/random.hpp"
#include "pollenreel/shift/coordinator.hpp"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace testing {

using pollenreel::base::duration;
using pollenreel::base::time_point;

constexpr std::size_t regions = 3;
constexpr std::size_t kinds = 2; // 0: look-ups and orders; 1: browsing

struct regions_options {
    std::uint64_t seed = 1;
    std::size_t entries_per_region = 4;
    double slots_per_region = 48;
    // Of each region's callers, for each kind of work.
    std::array<double, kinds> requests_per_second{100, 100};
    // Of them, what callers in each of the other regions ask for.
    double elsewhere = 1;
    std::array<std::uint32_t, kinds> priority{0, 3};
    duration service_time = std::chrono::milliseconds(8);
    duration cold_for = std::chrono::seconds(30);
    double cold_factor = 3;
    std::uint64_t answer_bytes = 20'000;
    std::uint64_t link_megabits = 4'000;
    std::uint64_t shift_cap_megabits = 400;
    bool paced = true;         // false: a moved request goes whatever the cap
    bool static_split = false; // each entry has its part of the cap, no more
    bool split_spill = true;   // false: a failed region's work goes at random
    // Faults.
    double message_loss = 0;
    double lost_answers = 0; // of the store
    double pauses_per_minute = 0;
    duration longest_pause = std::chrono::minutes(3);
    double deaths_per_minute = 0;
    duration store_down_from{};
    duration store_down_for{};
};

struct kind_counts {
    std::uint64_t arrived = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
};

class virtual_regions {
public:
    explicit virtual_regions(regions_options o);

    // All catalogue work from region 0 to region 1.
    void command_shift(std::chrono::seconds over);
    // No target of the region takes work any more.
    void fail_targets(std::size_t region);
    void run_until(duration t);

    [[nodiscard]] duration now() const { return m_now; }
    // Of the shift, as the first region's entries use it.
    [[nodiscard]] double moved() const;
    // 100 ms windows, one starting at each ms, in which more than `bytes`
    // crossed from region 0 to 1 or back.
    [[nodiscard]] std::uint64_t windows_over(std::uint64_t bytes) const;
    [[nodiscard]] std::uint64_t bytes_moved() const { return m_bytes_moved; }
    // The most of a region's slots in use over any second, 1 for all.
    [[nodiscard]] double peak_fill(std::size_t region) const {
        return m_peak[region];
    }
    [[nodiscard]] const kind_counts& counts(std::size_t region,
                                            std::size_t kind) const {
        return m_counts[region][kind];
    }
    [[nodiscard]] std::uint64_t store_calls() const { return m_store_calls; }
    [[nodiscard]] std::uint64_t messages() const { return m_message_count; }

private:
    struct entry {
        std::size_t region = 0;
        std::uint64_t incarnation = 0;
        std::unique_ptr<pollenreel::shift::coordinator> coordinator;
        std::unique_ptr<pollenreel::shift::admission_controller> spender;
        duration paused_until{};
        duration absent_since{}; // paused or dead
        bool dead = false;
    };
    struct task {
        std::size_t entry;
        std::uint64_t incarnation;
        std::function<void()> run;
    };

    void start(std::size_t i);
    [[nodiscard]] bool awake(const entry& e) const;
    void note_fill();
    void break_entries();
    void announce_members();
    void announce_configuration();
    void at(duration when, std::size_t of, std::function<void()> run);
    void run_tasks();
    void control_tick(std::size_t i);
    void carry_out(std::size_t i, pollenreel::shift::effects out);
    void call_store(std::size_t i, const pollenreel::store::request& r);
    [[nodiscard]] pollenreel::store::reply
    apply(const pollenreel::store::request& r);
    void arrivals();
    void arrive(std::size_t i, std::size_t kind);
    void serve(std::size_t i, std::size_t kind,
               const pollenreel::shift::admission& g);
    [[nodiscard]] duration service_time(std::size_t region,
                                        std::uint64_t request, bool foreign);
    void cross(std::size_t from, std::size_t to, std::uint64_t bytes);
    [[nodiscard]] pollenreel::shift::allowances_ptr
    policy(pollenreel::shift::allowances_ptr a) const;
    [[nodiscard]] time_point clock() const {
        return time_point(std::chrono::hours(1)) + m_now;
    }

    regions_options m_options;
    pollenreel::base::random m_random;
    duration m_now{};
    pollenreel::declarations::configuration m_configuration;
    std::vector<entry> m_entries;
    std::multimap<duration, task> m_tasks;
    std::map<std::string, pollenreel::store::entry> m_store;
    std::int64_t m_revision = 0;
    std::uint64_t m_store_calls = 0;
    std::uint64_t m_message_count = 0;
    std::uint64_t m_last_request = 0;
    std::array<bool, regions> m_failed{};
    std::array<std::uint32_t, regions> m_in_flight{};
    std::array<double, regions> m_peak{};
    std::array<double, regions> m_fill_sum{};
    std::array<std::array<kind_counts, kinds>, regions> m_counts{};
    // When each hundredth of the requests first came from another region.
    std::array<std::map<std::uint64_t, duration>, regions> m_first_seen;
    std::array<std::vector<std::uint64_t>, 2> m_crossed; // each ms, each way
    std::uint64_t m_bytes_moved = 0;
};

} // namespace testing
