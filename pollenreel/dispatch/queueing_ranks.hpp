// Remembers which ranks of work had to queue lately, so that less urgent work
// does not queue ahead of them: targets work in the order of arrival.
//
// This serves a service whose slots are all in use while requests of several
// ranks arrive.
//
//   queueing_ranks q;
//   q.on_queueing(0, now);
//   const bool yields = q.has_more_urgent(2, 400ms, now);
#pragma once

#include "pollenreel/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace pollenreel::dispatch {

// Does no I/O. Not thread-safe.
class queueing_ranks {
public:
    // A request of this rank arrived and found no free slot.
    void on_queueing(double rank, base::time_point now);
    // Whether one of a more urgent (lower) rank did so within `period`.
    [[nodiscard]] bool has_more_urgent(double rank, base::duration period,
                                       base::time_point now) const;

    [[nodiscard]] std::size_t size() const { return m_last_queueing.size(); }

private:
    // By rank, in steps.
    std::map<std::int64_t, base::time_point> m_last_queueing;
};

} // namespace pollenreel::dispatch
