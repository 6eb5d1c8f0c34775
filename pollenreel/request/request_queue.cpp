#include "pollenreel/request/request_queue.hpp"

#include <algorithm>
#include <iterator>

namespace pollenreel::request {

std::optional<base::request_id> request_queue::push(base::request_id id,
                                                    std::uint32_t priority,
                                                    std::size_t limit) {
    const position entry{priority, m_sequence++, id};
    m_queue.insert(entry);
    m_positions[id] = entry;
    if (m_queue.size() <= limit) {
        return std::nullopt;
    }
    const auto evicted = std::get<base::request_id>(*std::prev(m_queue.end()));
    remove(evicted);
    return evicted;
}

std::optional<base::request_id> request_queue::front() const {
    if (m_queue.empty()) {
        return std::nullopt;
    }
    return std::get<base::request_id>(*m_queue.begin());
}

void request_queue::remove(base::request_id id) {
    const auto found = m_positions.find(id);
    if (found != m_positions.end()) {
        m_queue.erase(found->second);
        m_positions.erase(found);
    }
}

std::size_t request_queue::count_ahead(std::uint32_t priority) const {
    const auto end =
        m_queue.lower_bound(position{priority + 1, 0, base::request_id()});
    return static_cast<std::size_t>(std::distance(m_queue.begin(), end));
}

} // namespace pollenreel::request
