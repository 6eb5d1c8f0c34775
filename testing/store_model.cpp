#include "testing/store_model.hpp"

#include <algorithm>

namespace pollenreel::testing {

namespace {

bool begins_with(const std::string& key, const std::string& prefix) {
    return key.compare(0, prefix.size(), prefix) == 0;
}

bool covers(const store::watch& w, const std::string& key) {
    return w.prefix ? begins_with(key, w.key) : key == w.key;
}

} // namespace

store::reply store_model::serve(const store::request& r, base::time_point now) {
    expire(now);
    return std::visit([&](const auto& one) { return on(one, now); }, r);
}

std::vector<store::watch_report> store_model::report(store::watch& w,
                                                     base::time_point now) {
    expire(now);
    if (w.from.value != 0 && w.from <= m_compacted) {
        return {store::watch_compacted{{m_compacted.value + 1}}};
    }
    store::watch_changed changed;
    for (const auto& c : m_history) {
        if (c.at >= w.from && covers(w, c.key)) {
            changed.changes.push_back(c);
        }
    }
    w.from = {m_revision.value + 1};
    if (changed.changes.empty()) {
        return {};
    }
    return {changed};
}

void store_model::compact() {
    m_history.clear();
    m_compacted = m_revision;
}

void store_model::lapse_leases() {
    while (!m_leases.empty()) {
        end_lease(m_leases.begin()->first);
    }
}

store::reply store_model::on(const store::read& r, base::time_point) {
    auto value = find(r.key);
    if (value && r.keys_only) {
        value->value.clear();
    }
    return store::found{value, m_revision};
}

store::reply store_model::on(const store::read_prefix& r, base::time_point) {
    store::found_all all{{}, m_revision};
    for (auto i = m_data.lower_bound(r.prefix);
         i != m_data.end() && begins_with(i->first, r.prefix); ++i) {
        all.entries.push_back(i->second);
    }
    return all;
}

store::reply store_model::on(const store::compare_and_swap& r,
                             base::time_point) {
    const auto current = find(r.key);
    if ((current ? current->modified : store::revision{}) != r.expected) {
        return store::conflicting{current};
    }
    if (r.lease != store::lease_id() && !m_leases.contains(r.lease)) {
        return store::lease_gone{};
    }
    ++m_revision.value;
    const store::entry written{r.key, r.value, m_revision, r.lease};
    m_data[r.key] = written;
    m_history.push_back({r.key, m_revision, written});
    return store::swapped{m_revision};
}

store::reply store_model::on(const store::compare_and_remove& r,
                             base::time_point) {
    const auto current = find(r.key);
    if (!current || current->modified != r.expected) {
        return store::conflicting{current};
    }
    remove(r.key);
    return store::removed{m_revision};
}

store::reply store_model::on(const store::grant_lease& r,
                             base::time_point now) {
    m_last_lease = m_last_lease.next();
    m_leases[m_last_lease] = {r.time_to_live, now + r.time_to_live};
    return store::lease_held{m_last_lease, r.time_to_live};
}

store::reply store_model::on(const store::keep_alive& r, base::time_point now) {
    const auto held = m_leases.find(r.lease);
    if (held == m_leases.end()) {
        return store::lease_gone{};
    }
    held->second.ends = now + held->second.time_to_live;
    return store::lease_held{r.lease, held->second.time_to_live};
}

store::reply store_model::on(const store::revoke_lease& r, base::time_point) {
    end_lease(r.lease);
    return store::lease_revoked{};
}

std::optional<store::entry> store_model::find(const std::string& key) const {
    const auto found = m_data.find(key);
    if (found == m_data.end()) {
        return std::nullopt;
    }
    return found->second;
}

void store_model::remove(const std::string& key) {
    ++m_revision.value;
    m_data.erase(key);
    m_history.push_back({key, m_revision, std::nullopt});
}

void store_model::end_lease(store::lease_id id) {
    m_leases.erase(id);
    std::vector<std::string> bound;
    for (const auto& [key, e] : m_data) {
        if (e.lease == id && id != store::lease_id()) {
            bound.push_back(key);
        }
    }
    for (const auto& key : bound) {
        remove(key);
    }
}

void store_model::expire(base::time_point now) {
    std::vector<store::lease_id> ended;
    for (const auto& [id, l] : m_leases) {
        if (l.ends <= now) {
            ended.push_back(id);
        }
    }
    for (const auto id : ended) {
        end_lease(id);
    }
}

} // namespace pollenreel::testing
