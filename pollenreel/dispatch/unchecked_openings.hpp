// Lets an instance use a few of the connections that it opens to distant
// targets without a check of the target, which would take another round trip.
//
// This serves instances that send each of many distant targets a request every
// few seconds: most of these requests open a connection. A target that
// restarted unnoticed gets what all instances send it unchecked, so that this
// has to stay far below the bound for a cold target, however many they are.
//
//   unchecked_openings o;
//   if (o.allows({bound, instances, targets}, now, random.unit())) ...
//   o.on_opened(now);
#pragma once

#include "pollenreel/base/clock.hpp"

#include <cstddef>
#include <optional>

namespace pollenreel::dispatch {

struct unchecked_query {
    double bound = 0;          // requests a second that a cold target may get
    std::size_t instances = 0; // of the fleet; 0 if unknown
    std::size_t targets = 0;   // distant ones of the service
};

// Of the connections that one instance opens to the targets of one service.
// Does no I/O. Not thread-safe.
class unchecked_openings {
public:
    // `draw`: a random number of at least 0 and below 1. Thins out what is
    // opened (a Poisson process thinned stays one): all instances together use
    // a fixed part of the bound for each target, also in a burst.
    [[nodiscard]] bool allows(const unchecked_query& q, base::time_point now,
                              double draw) const;
    // A connection was opened, with or without a check.
    void on_opened(base::time_point now) { m_opened_at = now; }

private:
    std::optional<base::time_point> m_opened_at;
};

// For so long after one, an instance opens no further connection to the same
// target unchecked, so that popular targets get no more than twice their part.
[[nodiscard]] base::duration unchecked_interval(const unchecked_query& q);

} // namespace pollenreel::dispatch
