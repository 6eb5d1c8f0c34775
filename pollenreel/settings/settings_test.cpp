#include "pollenreel/settings/settings.hpp"

#include "pollenreel/settings/error.hpp"

#include <doctest/doctest.h>

namespace {

using pollenreel::settings::error;

const std::string good = R"([instance]
id = khomas-a-1
failure_domain = khomas-a
[traffic]
listen = 127.0.0.1:7000
[operators]
listen = 127.0.0.1:7100
token = 0123456789abcdef
[peers]
listen = 127.0.0.1:7200
[store]
endpoints = 127.0.0.1:7900
)";

std::string replaced(std::string text, const std::string& from,
                     const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("read_text refuses what the table does not allow") {
    struct row {
        const char* name;
        std::string text;
        error expected;
        const char* mentions;
    };
    const row rows[] = {
        {"an unknown key", good + "colour = red\n", error::unknown_key,
         "store.colour"},
        {"a missing key", replaced(good, "id = khomas-a-1\n", ""),
         error::missing_key, "instance.id"},
        {"a number out of range",
         replaced(good, "[operators]", "threads = 0\n[operators]"),
         error::bad_value, "traffic.threads = '0'; allowed: 1-64"},
        {"a short token without printing it",
         replaced(good, "0123456789abcdef", "hunter2"), error::bad_value,
         "(hidden)"},
        {"two listeners on one port",
         replaced(good, "127.0.0.1:7200", "127.0.0.1:7100"), error::clash,
         "must differ"},
        {"a lone CURVE key",
         replaced(good, "[store]",
                  "curve_public_key = " + std::string(40, 'a') + "\n[store]"),
         error::clash, "go together"},
        {"a pair that is not the fleet's",
         replaced(good, "[store]",
                  "curve_public_key = " + std::string(40, 'a') +
                      "\ncurve_secret_key = " + std::string(40, 'b') +
                      "\ncurve_fleet_public_key = " + std::string(40, 'c') +
                      "\n[store]"),
         error::clash, "the same pair"},
        {"a line that is not INI", good + "what is this\n", error::bad_value,
         "line"},
        {"a key outside any section", "id = x\n" + good, error::unknown_key,
         "outside a section"},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto read = pollenreel::settings::read_text(r.text, "test.ini");
        REQUIRE(!read.has_value());
        CHECK(read.error().code == make_error_code(r.expected));
        CHECK(read.error().detail.find(r.mentions) != std::string::npos);
        CHECK(read.error().detail.find("test.ini") != std::string::npos);
        CHECK(read.error().detail.find("hunter2") == std::string::npos);
    }
}

TEST_CASE("read_text fills in defaults") {
    const auto read = pollenreel::settings::read_text(good, "test.ini");
    REQUIRE(read.has_value());
    CHECK(read.value().traffic.threads == 1);
    CHECK(read.value().store.key_prefix == "pollenreel");
    CHECK(read.value().instance.failure_domain.str() == "khomas-a");
}
