#include "pollenreel/store/etcd_codec.hpp"

#include <doctest/doctest.h>

namespace {
namespace store = pollenreel::store;
namespace etcd = store::etcd;
} // namespace

TEST_CASE("responses of the key-value API are decoded or rejected") {
    const store::request read_request = store::read{"k"};
    const store::request write_request = store::compare_and_swap{"k", "v", {3}};
    struct row {
        const char* name;
        const store::request& request;
        const char* body;
        std::optional<std::size_t> alternative; // of reply
    };
    const row rows[] = {
        {"a key", read_request,
         R"({"kvs":[{"key":"aw==","value":"dg==","mod_revision":"7"}]})", 0},
        {"no such key", read_request, R"({"header":{"revision":"9"}})", 0},
        {"a successful write", write_request,
         R"({"header":{"revision":"8"},"succeeded":true})", 1},
        {"a write that lost a race", write_request,
         R"({"responses":[{"response_range":{"kvs":[]}}]})", 2},
        {"text that is not JSON", read_request, "oops", {}},
        {"a value that is not base64",
         read_request,
         R"({"kvs":[{"key":"aw==","value":"??","mod_revision":"7"}]})",
         {}},
        {"a conflict without the current value", write_request, R"({})", {}},
        {"an array", write_request, "[]", {}},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto decoded = etcd::decode(r.request, r.body);
        REQUIRE(decoded.has_value() == r.alternative.has_value());
        if (decoded) {
            CHECK(decoded->index() == *r.alternative);
        }
    }
    const auto decoded = etcd::decode(read_request, rows[0].body);
    const auto& value = std::get<store::found>(*decoded).value;
    REQUIRE(value.has_value());
    CHECK(value->key == "k");
    CHECK(value->value == "v");
    CHECK(value->modified == store::revision{7});
}

TEST_CASE("lines of a watch are decoded or rejected") {
    struct row {
        const char* name;
        const char* line;
        std::optional<std::size_t> alternative; // of watch_report
    };
    const row rows[] = {
        {"the watch is created",
         R"({"result":{"header":{"revision":"3"},"created":true}})", 0},
        {"a write and a removal",
         R"({"result":{"events":[
            {"kv":{"key":"aw==","value":"dg==","mod_revision":"7"}},
            {"type":"DELETE","kv":{"key":"aw==","mod_revision":"8"}}]}})",
         1},
        {"a progress notification", R"({"result":{"header":{"revision":"3"}}})",
         1},
        {"a compacted start revision",
         R"({"result":{"canceled":true,"compact_revision":"9"}})", 2},
        {"a cancellation", R"({"result":{"canceled":true}})", 3},
        {"an error", R"({"error":{"message":"no leader"}})", {}},
        {"a truncated line", R"({"result":{"crea)", {}},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto decoded = etcd::decode_watch_line(r.line);
        REQUIRE(decoded.has_value() == r.alternative.has_value());
        if (decoded) {
            CHECK(decoded->index() == *r.alternative);
        }
    }
    const auto decoded = etcd::decode_watch_line(rows[1].line);
    const auto& changes = std::get<store::watch_changed>(*decoded).changes;
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].value->value == "v");
    CHECK(changes[1].at == store::revision{8});
    CHECK(!changes[1].value.has_value());
}

TEST_CASE("an error status is decoded only as far as it is conclusive") {
    const store::lease_id lease(7);
    struct row {
        const char* name;
        store::request request;
        unsigned status;
        std::size_t alternative; // of reply
    };
    const row rows[] = {
        {"renewing an expired lease", store::keep_alive{lease}, 404, 8},
        {"a write with an expired lease",
         store::compare_and_swap{"k", "v", {}, lease}, 404, 8},
        {"revoking an expired lease", store::revoke_lease{lease}, 404, 9},
        {"a write without a lease", store::compare_and_swap{"k", "v", {}}, 404,
         4},
        {"an unavailable store", store::compare_and_swap{"k", "v", {}, lease},
         503, 4},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        CHECK(etcd::decode_error_status(r.request, r.status).index() ==
              r.alternative);
    }
}

TEST_CASE("a prefix ends before the first later key without it") {
    CHECK(etcd::prefix_range_end("a/") == "a0");
    CHECK(etcd::prefix_range_end("a\xff") == "b");
    CHECK(etcd::prefix_range_end("\xff") == std::string(1, '\0'));
}
