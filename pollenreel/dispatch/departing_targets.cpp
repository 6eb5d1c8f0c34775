#include "pollenreel/dispatch/departing_targets.hpp"

namespace pollenreel::dispatch {

namespace {

// Longer than an evacuation hides the targets of a failure domain.
constexpr std::chrono::hours max_absence{1};

} // namespace

bool departing_targets::add(const base::target_id& id, std::int64_t incarnation,
                            base::time_point now) {
    const auto [known, is_new] =
        m_departing.try_emplace(id, departure{incarnation, now});
    if (!is_new && known->second.incarnation >= incarnation) {
        return false;
    }
    known->second = {incarnation, now};
    return true;
}

bool departing_targets::contains(const fleet::target& t) const {
    const auto found = m_departing.find(t.id);
    return found != m_departing.end() &&
           found->second.incarnation == t.incarnation;
}

void departing_targets::update(const std::vector<fleet::target>& listed,
                               base::time_point now) {
    if (m_departing.empty()) {
        return;
    }
    for (const auto& t : listed) {
        const auto found = m_departing.find(t.id);
        if (found == m_departing.end()) {
            continue;
        }
        if (found->second.incarnation == t.incarnation) {
            found->second.last_listed_at = now;
        } else {
            m_departing.erase(found);
        }
    }
    std::erase_if(m_departing, [&](const auto& one) {
        return now - one.second.last_listed_at > max_absence;
    });
}

} // namespace pollenreel::dispatch
