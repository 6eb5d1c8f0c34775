// A budget for extra attempts that grows with traffic, so that extra attempts
// stay a fixed percentage of requests whatever fails (a retry budget, as in
// Finagle).
//
//   attempt_budget retries(10);
//   retries.deposit(5);                   // 5% of one attempt
//   if (retries.try_withdraw()) { ... }   // one extra attempt
#pragma once

#include <algorithm>
#include <cstdint>

namespace pollenreel::request {

class attempt_budget {
public:
    // Starts with `reserve` attempts, which is also its capacity.
    explicit attempt_budget(std::uint32_t reserve)
        : m_capacity(std::uint64_t{reserve} * attempt_cost),
          m_balance(m_capacity) {}

    // Adds `percent` of one attempt; call once per request.
    void deposit(std::uint32_t percent) {
        m_balance = std::min(m_capacity, m_balance + percent);
    }
    // Takes one attempt; false if the balance is too low.
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
