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

class attempt_budget {
public:
    // Starts with `reserve` attempts and never holds more.
    explicit attempt_budget(std::uint32_t reserve)
        : m_capacity(std::uint64_t{reserve} * attempt_cost),
          m_balance(m_capacity) {}

    // Called once a request with the declared share.
    void deposit(std::uint32_t percent) {
        m_balance = std::min(m_capacity, m_balance + percent);
    }
    // Takes one attempt; false when there is none.
    bool try_withdraw() {
        if (m_balance < attempt_cost) {
            return false;
        }
        m_balance -= attempt_cost;
        return true;
    }

private:
    static constexpr std::uint64_t attempt_cost = 100; // percent
    std::uint64_t m_capacity;
    std::uint64_t m_balance;
};

} // namespace pollenreel::request
