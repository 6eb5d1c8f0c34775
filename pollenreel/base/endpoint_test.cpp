#include "pollenreel/base/endpoint.hpp"

#include <doctest/doctest.h>

using pollenreel::base::parse_endpoint;

TEST_CASE("parse_endpoint") {
    struct row {
        const char* name;
        const char* text;
        bool accepted;
    };
    const row rows[] = {
        {"accepts an address and port", "127.0.0.1:80", true},
        {"refuses a missing port", "127.0.0.1", false},
        {"refuses port zero", "127.0.0.1:0", false},
        {"refuses a port beyond 65535", "127.0.0.1:65536", false},
        {"refuses text after the port", "127.0.0.1:80x", false},
        {"refuses a host name", "localhost:80", false},
        {"refuses an empty text", "", false},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto parsed = parse_endpoint(r.text);
        CHECK(parsed.has_value() == r.accepted);
        if (parsed) {
            CHECK(parsed.value().str() == r.text);
        }
    }
}
