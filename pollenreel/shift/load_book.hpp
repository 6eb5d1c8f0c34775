// Aggregates load: the reports of a region's entries into one summary, and the
// summaries of all regions into the load of each place. Performs no I/O.
//
//   shift::load_book b;
//   b.on_report(report, now);
//   auto own = b.summary(khomas, now);
//   b.on_summary(from_erongo, now);
//   auto used = b.used({catalogue, erongo}, now);
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/shift/messages.hpp"

#include <chrono>
#include <optional>
#include <vector>

namespace pollenreel::shift {

// A shorter period gives fresher load figures and costs more traffic between
// instances.
constexpr std::chrono::seconds report_period{2};
// A report that is not followed by another expires after this.
constexpr std::chrono::seconds report_lifetime{10};

class load_book {
public:
    void on_report(const load_report& r, base::time_point now);
    void on_summary(const load_summary& s, base::time_point now);

    [[nodiscard]] load_summary summary(const base::region_id& region,
                                       base::time_point now) const;
    // Returns the slots held at `p` by all regions except `excluded`.
    [[nodiscard]] double used(const place& p,
                              const base::region_id& excluded = {}) const;
    // Returns the use of `p` by the entries of `region`.
    [[nodiscard]] place_use use_of(const base::region_id& region,
                                   const place& p) const;
    [[nodiscard]] std::uint32_t entries_of(const base::region_id& region) const;
    // Returns the latest summaries received within `d`.
    [[nodiscard]] std::vector<load_summary>
    received_within(base::duration d, base::time_point now) const;
    // Returns the age of the latest summary of `region`, if there is one.
    [[nodiscard]] std::optional<base::duration>
    age(const base::region_id& region, base::time_point now) const;
    // Counts regions other than `p`'s and `excluded` whose entries use `p`.
    [[nodiscard]] std::uint32_t
    other_regions_at(const place& p, const base::region_id& excluded) const;

private:
    template <class T>
    struct received {
        T value;
        base::time_point at;
    };
    std::map<base::instance_id, received<load_report>> m_reports;
    std::map<base::region_id, received<load_summary>> m_summaries;
};

} // namespace pollenreel::shift
