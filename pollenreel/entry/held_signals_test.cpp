#include "pollenreel/entry/held_signals.hpp"

#include <doctest/doctest.h>

#include <csignal>
#include <initializer_list>

using namespace pollenreel;

namespace {

volatile std::sig_atomic_t handled = 0;

} // namespace

// Found by the soak: a reload that came while an instance started ended it
// (exit 129).
TEST_CASE("a signal that comes before its handler stands is delivered to it") {
    for (const int number : {SIGHUP, SIGTERM, SIGINT}) {
        CAPTURE(number);
        handled = 0;
        entry::held_signals signals;
        REQUIRE(std::raise(number) == 0); // would end the test otherwise
        CHECK(handled == 0);
        auto* before = std::signal(number, [](int n) { handled = n; });
        signals.release();
        CHECK(handled == number);
        std::signal(number, before);
    }
}
