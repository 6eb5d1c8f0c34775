#include "pollenreel/dispatch/shared_loads.hpp"

#include <xxhash.h>

#include <algorithm>

namespace pollenreel::dispatch {

namespace {

// A reader that has not asked for this long gets everything again.
constexpr std::chrono::seconds reader_lifetime{10};

} // namespace

std::uint64_t hash_of(const base::target_id& id) {
    return XXH64(id.str().data(), id.str().size(), 0);
}

bool shared_loads::add(const fleet::shared_load& l, source from,
                       const std::string& sender, base::time_point now) {
    if (l.age >= lifetime) {
        return false;
    }
    const auto reported_at = now - l.age;
    const auto found = m_entries.find(l.target);
    if (found != m_entries.end()) {
        const auto& known = found->second;
        const bool later_start = l.incarnation > known.load.incarnation;
        const bool own = from == source::heard && sender.empty();
        const auto margin =
            own ? base::duration::zero() : base::duration(transit_margin);
        if (l.incarnation < known.load.incarnation ||
            (!later_start && reported_at < known.reported_at + margin)) {
            return false;
        }
    } else if (m_entries.size() >= max_targets) {
        return false;
    }
    m_entries[l.target] = {l, reported_at, from, sender, ++m_last_number};
    return true;
}

std::vector<fleet::shared_load>
shared_loads::news_for(const std::string& reader, selection which,
                       base::time_point now) {
    remove_expired(now);
    auto& state = m_readers[reader];
    std::vector<const entry*> news;
    for (const auto& [target, e] : m_entries) {
        const bool selected =
            which == selection::all || e.from == source::heard;
        const bool echoes = !reader.empty() && e.sender == reader;
        if (e.number > state.last_number && selected && !echoes) {
            news.push_back(&e);
        }
    }
    state = {m_last_number, now};
    const auto count = std::min(news.size(), max_news);
    std::partial_sort(news.begin(),
                      news.begin() + static_cast<std::ptrdiff_t>(count),
                      news.end(), [](const auto* a, const auto* b) {
                          return a->reported_at > b->reported_at;
                      });
    std::vector<fleet::shared_load> loads;
    loads.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        loads.push_back(news[i]->load);
        loads.back().age =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now - news[i]->reported_at);
    }
    return loads;
}

void shared_loads::remove_expired(base::time_point now) {
    erase_if(m_entries, [&](const auto& one) {
        return now - one.second.reported_at >= lifetime;
    });
    std::erase_if(m_readers, [&](const auto& one) {
        return now - one.second.read_at >= reader_lifetime;
    });
}

} // namespace pollenreel::dispatch
