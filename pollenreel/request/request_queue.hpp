// Requests that wait at the entry for room: a bounded queue in order of
// priority, then of arrival. When it is full, the least urgent is put out in
// favour of a more urgent one.
//
//   waiting_line line;
//   auto put_out = line.push(id, priority, 200);
//   while (auto next = line.first()) { line.remove(*next); ... }
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
    // Takes `id` in; returns who has no place then: `id` itself, a less
    // urgent one, or nobody.
    std::optional<base::request_id>
    push(base::request_id id, std::uint32_t priority, std::size_t limit);
    // The most urgent, the longest waiting among equals.
    [[nodiscard]] std::optional<base::request_id> front() const;
    // Removes `id` if it is there.
    void remove(base::request_id id);

    [[nodiscard]] std::size_t size() const { return m_queue.size(); }
    // How many would be served before a newcomer of `priority`.
    [[nodiscard]] std::size_t count_ahead(std::uint32_t priority) const;

private:
    using position = std::tuple<std::uint32_t, std::uint64_t, base::request_id>;

    std::set<position> m_queue;
    boost::unordered_flat_map<base::request_id, position> m_positions;
    std::uint64_t m_sequence = 0;
};

} // namespace pollenreel::request
