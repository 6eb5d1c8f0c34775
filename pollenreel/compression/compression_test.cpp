#include "pollenreel/compression/compression.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace pollenreel;

namespace {

constexpr std::size_t max_text_bytes = 1 << 20;

// Some 170 bytes for each route, like a configuration of the platform.
std::string make_routes(int from, int to) {
    std::string text = R"({"hosts":[{"paths":[)";
    for (int i = from; i < to; ++i) {
        const auto n = static_cast<unsigned>(i) * 2'654'435'761U;
        text += R"({"name":"r-)" + std::to_string(n) +
                R"(","path_prefix":"/c)" + std::to_string(n % 99'991U) +
                R"(/","service":"bench-desk","kind":"safe","timeout":"1200ms",)"
                R"("target_latency":"600ms","max_attempts":2,"priority":1},)";
    }
    return text + "{}]}]}";
}

} // namespace

TEST_CASE("a compressed text is restored from it and its base") {
    const auto base = make_routes(0, 1400);
    const auto grown = make_routes(0, 5600);
    auto changed = base;
    changed.replace(changed.find("bench-desk", changed.size() / 2), 10, "else");
    struct row {
        const char* name;
        std::string text;
        std::string base;
        std::size_t max_bytes;
    };
    const row rows[] = {
        {"an empty text", "", "", 40},
        {"an empty text from a base", "", base, 100},
        {"no base", base, "", base.size() / 6},
        {"the same text", base, base, 200},
        {"one changed route", changed, base, 300},
        {"three in four routes are new", grown, base, grown.size() / 8},
        {"another text", "short", base, 100},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto bytes = compression::compress(r.text, r.base);
        CHECK(bytes.size() <= r.max_bytes);
        CHECK(compression::decompress(bytes, r.base, max_text_bytes) == r.text);
    }
}

TEST_CASE("bytes that are not the text of the base are refused") {
    const auto base = make_routes(0, 100);
    const auto text = make_routes(0, 110);
    const auto bytes = compression::compress(text, base);
    auto other_base = base;
    other_base[base.size() / 2] = '#';
    auto damaged = bytes;
    damaged[damaged.size() / 2] ^= 1;
    struct row {
        const char* name;
        std::string bytes;
        std::string base;
        std::size_t max_bytes;
    };
    const row rows[] = {
        {"nothing", "", base, max_text_bytes},
        {"no frame", "text", base, max_text_bytes},
        {"cut off", bytes.substr(0, bytes.size() - 1), base, max_text_bytes},
        {"damaged", damaged, base, max_text_bytes},
        {"no base", bytes, "", max_text_bytes},
        {"another base", bytes, other_base, max_text_bytes},
        {"a text that is too long", bytes, base, text.size() - 1},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        CHECK_FALSE(
            compression::decompress(r.bytes, r.base, r.max_bytes).has_value());
    }
}
