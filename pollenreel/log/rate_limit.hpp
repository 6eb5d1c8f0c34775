// Bounds the lines of one sort a second; counts what it held back.
#pragma once

#include "pollenreel/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <utility>

namespace pollenreel::log {

// One thread only.
class rate_limit {
public:
    explicit rate_limit(std::uint32_t per_second) : m_per_second(per_second) {}

    [[nodiscard]] bool allow(base::time_point now) {
        if (now - m_second >= std::chrono::seconds(1)) {
            m_second = now;
            m_used = 0;
        }
        if (m_used < m_per_second) {
            ++m_used;
            return true;
        }
        ++m_held_back;
        return false;
    }
    // Lines held back since the previous call.
    [[nodiscard]] std::uint64_t take_held_back() {
        return std::exchange(m_held_back, 0);
    }

private:
    std::uint32_t m_per_second;
    base::time_point m_second{};
    std::uint32_t m_used = 0;
    std::uint64_t m_held_back = 0;
};

} // namespace pollenreel::log
