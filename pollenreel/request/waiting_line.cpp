#include "pollenreel/request/waiting_line.hpp"

#include <algorithm>
#include <iterator>

namespace pollenreel::request {

std::optional<base::request_id> waiting_line::push(base::request_id id,
                                                   std::uint32_t priority,
                                                   std::size_t limit) {
    const place own{priority, m_sequence++, id};
    m_order.insert(own);
    m_place_of[id] = own;
    if (m_order.size() <= limit) {
        return std::nullopt;
    }
    const auto last = std::get<base::request_id>(*std::prev(m_order.end()));
    remove(last);
    return last;
}

std::optional<base::request_id> waiting_line::first() const {
    if (m_order.empty()) {
        return std::nullopt;
    }
    return std::get<base::request_id>(*m_order.begin());
}

void waiting_line::remove(base::request_id id) {
    const auto found = m_place_of.find(id);
    if (found != m_place_of.end()) {
        m_order.erase(found->second);
        m_place_of.erase(found);
    }
}

std::size_t waiting_line::ahead_of(std::uint32_t priority) const {
    const auto end =
        m_order.lower_bound(place{priority + 1, 0, base::request_id()});
    return static_cast<std::size_t>(std::distance(m_order.begin(), end));
}

} // namespace pollenreel::request
