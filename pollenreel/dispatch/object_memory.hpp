// The objects that one target has handled lately for this instance: it is
// faster on them.
#pragma once

#include "pollenreel/base/clock.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pollenreel::dispatch {

// One thread only.
class object_memory {
public:
    // Targets remember a few dozen objects; other instances bring further
    // ones.
    static constexpr std::size_t most_objects = 128;
    // Long unasked objects have likely left the target's cache.
    static constexpr std::chrono::seconds remembered_for{30};

    void add(std::uint64_t object, base::time_point now) {
        if (m_seen.size() >= most_objects && !m_seen.contains(object)) {
            drop_oldest();
        }
        m_seen[object] = now;
    }
    [[nodiscard]] bool holds(std::uint64_t object, base::time_point now) const {
        const auto found = m_seen.find(object);
        return found != m_seen.end() && now - found->second < remembered_for;
    }
    // The target started anew.
    void clear() { m_seen.clear(); }

private:
    void drop_oldest() {
        auto oldest = m_seen.begin();
        for (auto i = m_seen.begin(); i != m_seen.end(); ++i) {
            oldest = i->second < oldest->second ? i : oldest;
        }
        m_seen.erase(oldest);
    }

    boost::unordered_flat_map<std::uint64_t, base::time_point> m_seen;
};

} // namespace pollenreel::dispatch
