#include "pollenreel/client_block/client_block_benchmark.hpp"

#include "pollenreel/client_block/generate.hpp"
#include "pollenreel/client_block/shard.hpp"

#include <algorithm>
#include <chrono>

namespace pollenreel::client_block {

namespace {

constexpr std::size_t block_count = 2'200'000;
constexpr site_index site_count = 180;
constexpr std::size_t lookups = 1'000'000;
constexpr std::size_t changed_blocks = 1000;
constexpr double memory_budget_bytes = 256e6;
constexpr std::uint64_t seeds = 5;

using microseconds = std::chrono::duration<double, std::micro>;

template <class Work>
double time_us(Work work) {
    const auto start = std::chrono::steady_clock::now();
    work();
    return microseconds(std::chrono::steady_clock::now() - start).count();
}

measure::result row(std::string workload, double value, std::string unit,
                    std::uint64_t seed) {
    measure::result r;
    r.measure = "client_blocks";
    r.workload = std::move(workload);
    r.value = value;
    r.unit = std::move(unit);
    r.seed = seed;
    return r;
}

double lookup_ns(const table& t, base::random& random) {
    std::vector<std::uint32_t> addresses(lookups);
    for (auto& a : addresses) {
        const auto& b = t.blocks()[random.below(t.blocks().size())];
        a = b.first +
            static_cast<std::uint32_t>(random.below(b.last() - b.first + 1));
    }
    std::size_t found = 0;
    const auto us = time_us([&] {
        for (const auto a : addresses) {
            found += t.find(a) ? 1 : 0;
        }
    });
    // Each address was taken from a block.
    return found == lookups ? us * 1000 / lookups : -1;
}

delta some_changes(const table& t, base::random& random) {
    delta d;
    for (std::size_t i = 0; i < changed_blocks; ++i) {
        auto b = t.blocks()[i * (block_count / changed_blocks)];
        b.site = static_cast<site_index>(random.below(site_count));
        d.put.push_back(b);
    }
    return d;
}

void run_seed(std::uint64_t seed, measure::results& out) {
    base::random random(seed);
    auto blocks = generate(block_count, site_count, random);
    table t;
    const auto build =
        time_us([&] { t = table::make(std::move(blocks)).value(); });
    auto memory = row("memory of 2.2 M blocks",
                      static_cast<double>(t.memory_bytes()), "bytes", seed);
    memory.bound = memory_budget_bytes;
    out.push_back(memory);
    std::size_t largest = 0;
    std::size_t total = 0;
    const auto shards = cut(t, 1);
    for (const auto& s : shards) {
        const auto size = encode(s).size();
        largest = std::max(largest, size);
        total += size;
    }
    auto shard_row =
        row("largest shard", static_cast<double>(largest), "bytes", seed);
    shard_row.bound = most_shard_bytes;
    out.push_back(shard_row);
    out.push_back(
        row("shards", static_cast<double>(shards.size()), "count", seed));
    out.push_back(row("all shards", static_cast<double>(total), "bytes", seed));
    const auto change = some_changes(t, random);
    out.push_back(
        row("delta of 1 block",
            static_cast<double>(
                encode(shard_delta{1, 1, 2, {{change.put[0]}, {}}}).size()),
            "bytes", seed));
    out.push_back(row("build, wall-clock", build, "us", seed));
    out.push_back(row("look-up, wall-clock", lookup_ns(t, random), "ns", seed));
    table changed;
    const auto apply = time_us([&] { changed = t.apply(change).value(); });
    out.push_back(row("apply a delta of 1000, wall-clock", apply, "us", seed));
}

} // namespace

measure::results run_client_blocks() {
    measure::results out;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        run_seed(seed, out);
    }
    return out;
}

} // namespace pollenreel::client_block
