#include "pollenreel/log/line_writer.hpp"
#include "pollenreel/log/rate_limit.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>

#include <unistd.h>

using namespace pollenreel;
using namespace std::chrono_literals;

TEST_CASE("a reader that takes nothing never blocks the writer") {
    struct row {
        const char* name;
        std::size_t lines; // of 1000 bytes
        bool drops;
    };
    const row rows[] = {
        {"what fits into the pipe and the buffer is kept", 200, false},
        {"what does not is dropped and counted", 2000, true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        std::array<int, 2> ends{};
        REQUIRE(::pipe(ends.data()) == 0);
        log::line_writer out(ends[1]);
        const std::string line = std::string(999, 'x') + "\n";
        for (std::size_t i = 0; i < r.lines; ++i) {
            out.write(line);
        }
        CHECK((out.dropped() > 0) == r.drops);

        // Once the reader takes lines again, each that was kept arrives whole.
        std::size_t bytes = 0;
        const auto expected = (r.lines - out.dropped()) * line.size();
        std::string buffer(4096, ' ');
        while (bytes < expected) {
            const auto got = ::read(ends[0], buffer.data(), buffer.size());
            REQUIRE(got > 0);
            bytes += static_cast<std::size_t>(got);
            out.flush();
        }
        CHECK(bytes == expected);
        ::close(ends[0]);
        ::close(ends[1]);
    }
}

TEST_CASE("a rate limit holds lines back and counts them") {
    log::rate_limit limit(3);
    base::manual_clock clock;
    int allowed = 0;
    for (int i = 0; i < 10; ++i) {
        allowed += limit.allow(clock.now()) ? 1 : 0;
    }
    CHECK(allowed == 3);
    CHECK(limit.take_held_back() == 7);
    clock.advance(1s);
    CHECK(limit.allow(clock.now()));
    CHECK(limit.take_held_back() == 0);
}
