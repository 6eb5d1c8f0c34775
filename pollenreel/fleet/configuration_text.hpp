// Writes configurations of the size and kind that operators write, for tests.
#pragma once

#include "pollenreel/base/random.hpp"

#include <cstdint>
#include <string>

namespace pollenreel::fleet::testing {

// A configuration that grows and changes by routes of some 175 bytes, of which
// the names and prefixes are random.
class configuration_text {
public:
    explicit configuration_text(std::uint64_t seed) : m_random(seed) {}

    void add_routes(int count) {
        for (int i = 0; i < count; ++i) {
            m_routes += R"({"name":"r-)" + name() + R"(","path_prefix":"/)" +
                        name() +
                        R"(/","service":"bench-desk","kind":"safe",)"
                        R"("max_attempts":2,"timeout":"1200ms",)"
                        R"("target_latency":"600ms","priority":2,)"
                        R"("sticky_sessions":true},)";
        }
    }
    // Changes the time-out of one route.
    void change_route() {
        const auto from = m_random.below(m_routes.size());
        const auto digits = m_routes.find("00ms", m_routes.rfind('{', from));
        auto& digit = m_routes[digits - 1];
        digit = digit == '9' ? '1' : static_cast<char>(digit + 1);
    }
    [[nodiscard]] std::string text() const {
        return R"({"version":"r1","hosts":[{"host":"a.example","paths":[)" +
               m_routes + "{}]}]}";
    }

private:
    std::string name() {
        std::string made;
        for (int i = 0; i < 8; ++i) {
            made += static_cast<char>('a' + m_random.below(26));
        }
        return made;
    }

    base::random m_random;
    std::string m_routes;
};

} // namespace pollenreel::fleet::testing
