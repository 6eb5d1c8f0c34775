// Randomness as an input, so that every decision is reproducible by its seed.
//
//   base::random r(seed);
//   auto i = r.below(targets.size());
#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <cstdint>

namespace pollenreel::base {

// A seeded generator. One thread only.
class random {
public:
    explicit random(std::uint64_t seed) : m_engine(seed) {}

    // Uniform in [0, bound); `bound` is at least 1.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound) {
        return boost::random::uniform_int_distribution<std::uint64_t>(
            0, bound - 1)(m_engine);
    }
    // Uniform in [0, 1).
    [[nodiscard]] double unit() {
        return boost::random::uniform_01<double>()(m_engine);
    }
    // For distributions of Boost.Random.
    [[nodiscard]] boost::random::mt19937_64& engine() { return m_engine; }

private:
    boost::random::mt19937_64 m_engine;
};

} // namespace pollenreel::base
