#include "pollenreel/routes/tenant_index.hpp"

#include <xxhash.h>

#include <algorithm>

namespace pollenreel::routes {

namespace {

// The length of a key is not secret.
bool equal_in_constant_time(std::string_view a, std::string_view b) {
    if (a.size() != b.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i) {
        difference |=
            static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    }
    return difference == 0;
}

std::uint64_t hash_of(std::string_view key) {
    return XXH64(key.data(), key.size(), 0);
}

} // namespace

tenant_index::tenant_index(const std::vector<tenant>& tenants)
    : m_tenants(&tenants) {
    std::size_t count = 0;
    for (const auto& t : tenants) {
        count += t.keys.size();
    }
    m_entries.reserve(count);
    for (std::uint32_t t = 0; t < tenants.size(); ++t) {
        for (std::uint32_t k = 0; k < tenants[t].keys.size(); ++k) {
            m_entries.push_back({hash_of(tenants[t].keys[k]), t, k});
        }
    }
    std::sort(m_entries.begin(), m_entries.end(),
              [](const auto& a, const auto& b) { return a.hash < b.hash; });
}

std::string_view tenant_index::key_of(const entry& e) const {
    return (*m_tenants)[e.tenant].keys[e.key];
}

tenant_index::result tenant_index::find(std::string_view key) const {
    const auto hash = hash_of(key);
    auto e = std::lower_bound(
        m_entries.begin(), m_entries.end(), hash,
        [](const auto& one, std::uint64_t h) { return one.hash < h; });
    result found;
    for (; e != m_entries.end() && e->hash == hash; ++e) {
        if (!equal_in_constant_time(key_of(*e), key)) {
            continue;
        }
        const auto* holder = &(*m_tenants)[e->tenant];
        if (found.holder != nullptr && found.holder != holder) {
            return {nullptr, true};
        }
        found.holder = holder;
    }
    return found;
}

} // namespace pollenreel::routes
