#include "pollenreel/store/etcd_codec.hpp"

#include <doctest/doctest.h>

namespace {
namespace store = pollenreel::store;
namespace etcd = store::etcd;
} // namespace

TEST_CASE("answers of the key-value API are decoded or refused") {
    const store::request reading = store::read{"k"};
    const store::request writing = store::compare_and_swap{"k", "v", {3}};
    struct row {
        const char* name;
        const store::request& asked;
        const char* body;
        std::optional<std::size_t> alternative; // of reply
    };
    const row rows[] = {
        {"a key", reading,
         R"({"kvs":[{"key":"aw==","value":"dg==","mod_revision":"7"}]})", 0},
        {"no such key", reading, R"({"header":{"revision":"9"}})", 0},
        {"a write that took effect", writing,
         R"({"header":{"revision":"8"},"succeeded":true})", 1},
        {"a lost race", writing,
         R"({"responses":[{"response_range":{"kvs":[]}}]})", 2},
        {"text that is not JSON", reading, "oops", {}},
        {"a value that is not base64",
         reading,
         R"({"kvs":[{"key":"aw==","value":"??","mod_revision":"7"}]})",
         {}},
        {"a refusal without the current value", writing, R"({})", {}},
        {"an array", writing, "[]", {}},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto got = etcd::decode(r.asked, r.body);
        REQUIRE(got.has_value() == r.alternative.has_value());
        if (got) {
            CHECK(got->index() == *r.alternative);
        }
    }
    const auto got = etcd::decode(reading, rows[0].body);
    const auto& value = std::get<store::found>(*got).value;
    REQUIRE(value.has_value());
    CHECK(value->key == "k");
    CHECK(value->value == "v");
    CHECK(value->modified == store::revision{7});
}
