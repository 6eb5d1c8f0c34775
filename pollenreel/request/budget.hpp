// A budget for extra attempts that is earned by traffic, so that they stay a
// fixed share of it whatever fails (retry budget, as in Finagle).
//
//   budget retries(10);
//   retries.earn(5);               // 5% of one attempt
//   if (retries.spend()) { ... }   // one extra attempt
#pragma once

#include <algorithm>
#include <cstdint>

namespace pollenreel::request {

class budget {
public:
    // Starts with `reserve` attempts and never holds more.
    explicit budget(std::uint32_t reserve)
        : m_most(std::uint64_t{reserve} * one), m_held(m_most) {}

    // Called once a request with the declared share.
    void earn(std::uint32_t percent) {
        m_held = std::min(m_most, m_held + percent);
    }
    // Takes one attempt; false when there is none.
    bool spend() {
        if (m_held < one) {
            return false;
        }
        m_held -= one;
        return true;
    }

private:
    static constexpr std::uint64_t one = 100; // percent
    std::uint64_t m_most;
    std::uint64_t m_held;
};

} // namespace pollenreel::request
