#include "pollenreel/routes/tenant_index_benchmark.hpp"

#include "pollenreel/base/random.hpp"
#include "pollenreel/routes/tenant_index.hpp"

#include <chrono>
#include <string>

namespace pollenreel::routes {

namespace {

constexpr std::size_t keys_per_tenant = 2;
constexpr std::size_t lookups = 200'000;

std::vector<tenant> make_tenants(std::size_t keys, base::random& random) {
    std::vector<tenant> all(keys / keys_per_tenant);
    for (std::size_t i = 0; i < all.size(); ++i) {
        all[i].name = "tenant-" + std::to_string(i);
        for (std::size_t k = 0; k < keys_per_tenant; ++k) {
            all[i].keys.push_back(std::to_string(random.below(UINT64_MAX)));
        }
    }
    return all;
}

double lookup_ns(const tenant_index& index, const std::vector<tenant>& tenants,
                 base::random& random) {
    const auto start = std::chrono::steady_clock::now();
    std::size_t found = 0;
    for (std::size_t i = 0; i < lookups; ++i) {
        const auto& t = tenants[random.below(tenants.size())];
        found += index.find(t.keys[i % keys_per_tenant]).holder == &t ? 1 : 0;
    }
    const std::chrono::duration<double, std::nano> took =
        std::chrono::steady_clock::now() - start;
    return found == lookups ? took.count() / lookups : -1;
}

} // namespace

measure::results measure_tenant_keys() {
    measure::results out;
    for (const std::size_t keys : {80U, 10'000U, 200'000U}) {
        base::random random(keys);
        const auto tenants = make_tenants(keys, random);
        const tenant_index index(tenants);
        const auto add = [&](const char* what, double value, const char* unit) {
            measure::result r;
            r.measure = "tenant_keys";
            r.workload = std::to_string(keys) + " keys, " + what;
            r.value = value;
            r.unit = unit;
            r.seed = keys;
            out.push_back(r);
        };
        add("index", static_cast<double>(index.memory_bytes()), "bytes");
        add("look-up, wall-clock", lookup_ns(index, tenants, random), "ns");
    }
    return out;
}

} // namespace pollenreel::routes
