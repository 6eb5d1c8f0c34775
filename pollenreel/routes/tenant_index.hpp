// Finds the tenant that holds a key. Immutable and therefore thread-safe.
#pragma once

#include "pollenreel/routes/configuration.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace pollenreel::routes {

// Refers to the tenants that it is built from.
class tenant_index {
public:
    tenant_index() = default;
    // `tenants` must outlive the index and not change.
    explicit tenant_index(const std::vector<tenant>& tenants);

    struct result {
        const tenant* holder = nullptr; // null if the key is not usable
        // Several tenants have the key, so that it names none of them.
        bool is_ambiguous = false;
    };
    // Compares keys in a time that does not depend on where they differ.
    [[nodiscard]] result find(std::string_view key) const;
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }
    // Memory of the index without the configuration, in bytes.
    [[nodiscard]] std::size_t memory_bytes() const {
        return m_entries.capacity() * sizeof(entry);
    }

private:
    struct entry {
        std::uint64_t hash;
        std::uint32_t tenant;
        std::uint32_t key; // position among the tenant's keys
    };
    [[nodiscard]] std::string_view key_of(const entry& e) const;

    const std::vector<tenant>* m_tenants = nullptr;
    std::vector<entry> m_entries; // ordered by hash
};

} // namespace pollenreel::routes
