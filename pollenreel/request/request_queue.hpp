// A bounded queue of requests that wait at the entry for capacity, ordered by
// priority, then by arrival; a lower number is a higher priority. When it is
// full, a request of higher priority evicts the last one.
//
//   request_queue queue;
//   auto evicted = queue.push(id, priority, 200);
//   while (auto next = queue.front()) { queue.remove(*next); ... }
#pragma once

#include "pollenreel/base/ids.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <tuple>

namespace pollenreel::request {

class request_queue {
public:
    // Adds `id`. Returns the request evicted to stay within `limit`, which may
    // be `id` itself; empty if there was room.
    std::optional<base::request_id>
    push(base::request_id id, std::uint32_t priority, std::size_t limit);
    // The request of highest priority that has waited longest.
    [[nodiscard]] std::optional<base::request_id> front() const;
    // Removes `id` if it is queued.
    void remove(base::request_id id);

    [[nodiscard]] std::size_t size() const { return m_queue.size(); }
    // Number of requests ahead of a new one of `priority`.
    [[nodiscard]] std::size_t count_ahead(std::uint32_t priority) const;

private:
    using position = std::tuple<std::uint32_t, std::uint64_t, base::request_id>;

    std::set<position> m_queue;
    boost::unordered_flat_map<base::request_id, position> m_positions;
    std::uint64_t m_sequence = 0;
};

} // namespace pollenreel::request
