// Remembers the targets that announced their departure in a response. The store
// may tell it later, or not at all while it cannot be reached.
//
//   departing_targets d;
//   d.add(id, incarnation, now);
//   if (d.contains(target)) { ... } // gets no further request
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/fleet/view.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace pollenreel::dispatch {

// Does no I/O. Not thread-safe.
class departing_targets {
public:
    // Returns whether that is new. `incarnation` is the target's when the
    // request was sent; a late response may be of an earlier one.
    bool add(const base::target_id& id, std::int64_t incarnation,
             base::time_point now);
    // Whether this start of the target announced its departure.
    [[nodiscard]] bool contains(const fleet::target& t) const;
    // Forgets targets that have started anew or have long been gone. A target
    // that is missing may return: those of an evacuated failure domain do.
    void update(const std::vector<fleet::target>& listed, base::time_point now);
    [[nodiscard]] std::size_t size() const { return m_departing.size(); }

private:
    struct departure {
        std::int64_t incarnation = 0;
        base::time_point last_listed_at{};
    };
    std::map<base::target_id, departure> m_departing;
};

} // namespace pollenreel::dispatch
