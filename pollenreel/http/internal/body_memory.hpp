// The memory of one body while it is being received, as accounted for in a
// receive_budget that many share.
//
//   body_memory memory(budget);
//   if (!memory.make_room(body, read_size)) { ... } // before a read
//   if (!memory.count(body, length_known)) { ... }  // after it
#pragma once

#include "pollenreel/http/receive_budget.hpp"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace pollenreel::http::internal {

class body_memory {
public:
    // Null: no bound.
    explicit body_memory(std::shared_ptr<receive_budget> budget)
        : m_budget(std::move(budget)) {}
    body_memory(const body_memory&) = delete;
    body_memory& operator=(const body_memory&) = delete;
    ~body_memory() { release(); }

    // Reserves room for the next read of a body whose length is not known. A
    // string would double its capacity, and hold three times its size while it
    // moves; here both are bounded, and accounted for before they are
    // allocated. False if there is no memory.
    [[nodiscard]] bool make_room(std::string& body, std::size_t read_size) {
        if (body.size() < receive_budget::always_allowed ||
            body.capacity() - body.size() >= read_size) {
            return true;
        }
        // More than the next read needs, or every read would move the body.
        const auto capacity =
            body.size() + read_size + std::max(read_size, body.size() / 4);
        if (m_budget && !m_budget->try_grow(capacity, capacity)) {
            m_budget->release(capacity);
            return false;
        }
        std::string larger;
        larger.reserve(capacity);
        larger.append(body);
        body.swap(larger);
        if (m_budget) {
            m_budget->release(std::exchange(m_counted, capacity));
        }
        return true;
    }

    // Accounts for a body as it was received so far; false if it has to be cut
    // off. A body of known length is allocated at once and counts by what of it
    // has been received.
    [[nodiscard]] bool count(const std::string& body, bool length_known) {
        if (!m_budget) {
            return true;
        }
        const auto now = length_known ? body.size() : body.capacity();
        const auto before = std::exchange(m_counted, std::max(now, m_counted));
        return m_budget->try_grow(m_counted - before, m_counted);
    }

    // What is accounted for, which the caller has to release.
    [[nodiscard]] std::size_t take() { return std::exchange(m_counted, 0); }

    void release() {
        if (m_budget) {
            m_budget->release(take());
        }
    }

private:
    std::shared_ptr<receive_budget> m_budget;
    std::size_t m_counted = 0;
};

} // namespace pollenreel::http::internal
