// Objects that a target has recently handled for this instance and therefore
// likely holds in its cache.
#pragma once

#include "pollenreel/base/clock.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pollenreel::dispatch {

// Not thread-safe.
class recent_objects {
public:
    // Targets cache a few dozen objects, some of them for other instances.
    static constexpr std::size_t max_objects = 128;
    // Objects not requested for this long have likely been evicted from the
    // target's cache.
    static constexpr std::chrono::seconds retention{30};

    void add(std::uint64_t object, base::time_point now) {
        if (m_last_handled.size() >= max_objects &&
            !m_last_handled.contains(object)) {
            evict_oldest();
        }
        m_last_handled[object] = now;
    }
    [[nodiscard]] bool contains(std::uint64_t object,
                                base::time_point now) const {
        const auto found = m_last_handled.find(object);
        return found != m_last_handled.end() && now - found->second < retention;
    }
    // Call this when the target has restarted.
    void clear() { m_last_handled.clear(); }

private:
    void evict_oldest() {
        auto oldest = m_last_handled.begin();
        for (auto i = m_last_handled.begin(); i != m_last_handled.end(); ++i) {
            oldest = i->second < oldest->second ? i : oldest;
        }
        m_last_handled.erase(oldest);
    }

    boost::unordered_flat_map<std::uint64_t, base::time_point> m_last_handled;
};

} // namespace pollenreel::dispatch
