// Bounds the memory of messages that are being received at once. Beyond it the
// large ones are cut off, which leaves room for the others.
//
//   auto budget = std::make_shared<http::receive_budget>(32 << 20);
//   if (!budget->try_grow(received, size)) { ... } // cut it off
//   budget->release(size);
#pragma once

#include <cstddef>

namespace pollenreel::http {

// Not thread-safe.
class receive_budget {
public:
    explicit receive_budget(std::size_t limit) : m_limit(limit) {}

    // A message grew by `bytes` to `size`. Returns whether it may grow on.
    [[nodiscard]] bool try_grow(std::size_t bytes, std::size_t size) {
        m_used += bytes;
        return m_used <= m_limit || size <= always_allowed;
    }
    // Whether a message of that size can be received whole now.
    [[nodiscard]] bool has_room(std::size_t size) const {
        return size <= always_allowed || m_used + size <= m_limit;
    }
    // A message of that size has been handed on, or cut off.
    void release(std::size_t size) { m_used -= size; }
    [[nodiscard]] std::size_t used() const { return m_used; }

    // A message up to this size is never cut off.
    static constexpr std::size_t always_allowed = 65'536;

private:
    std::size_t m_limit;
    std::size_t m_used = 0;
};

} // namespace pollenreel::http
