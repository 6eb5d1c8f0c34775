#include "testing/response_reader.hpp"

#include "testing/response_forms.hpp"

#include <doctest/doctest.h>

using namespace pollenreel::testing;

namespace {

stream_state state_after(after_reply then) {
    switch (then) {
    case after_reply::keeps:
        return stream_state::open;
    case after_reply::closes:
    case after_reply::half_closes:
        return stream_state::closed;
    case after_reply::resets:
        break;
    }
    return stream_state::reset;
}

} // namespace

TEST_CASE("the reader takes exactly what HTTP calls a whole response") {
    for (const auto& f : response_forms()) {
        CAPTURE(f.name);
        const auto bytes = with_fields(f.bytes, "X-Id: 1\r\n");
        const auto r = read_response(bytes, "GET", state_after(f.then));
        const auto* whole = std::get_if<whole_response>(&r);
        REQUIRE((whole != nullptr) == f.expected.has_value());
        if (whole != nullptr) {
            CHECK(whole->status == f.expected->status);
            CHECK(whole->body == f.expected->body);
            CHECK(whole->size == bytes.size());
            CHECK(whole->field("x-id") == "1");
        }
    }
}

// A caller that reads on would wait for its time-out.
TEST_CASE("the reader says as early as it can that bytes are no response") {
    struct row {
        const char* name;
        std::string bytes;
        bool invalid;
    };
    const row rows[] = {
        {"nothing", "", false},
        {"half a version", "HTTP/", false},
        {"another protocol", "ICY ", true},
        {"half a status line", "HTTP/1.1 2", false},
        {"half a head", "HTTP/1.1 200 OK\r\nA: b\r\n", false},
        {"a wrong name in half a head", "HTTP/1.1 200 OK\r\nA b: c\r\n", true},
        {"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", false},
        {"half a body until the end", "HTTP/1.1 200 OK\r\n\r\no", false},
        {"a wrong chunk size",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto got = read_response(r.bytes, "GET", stream_state::open);
        CHECK(std::holds_alternative<invalid_response>(got) == r.invalid);
        CHECK(std::holds_alternative<unfinished_response>(got) != r.invalid);
    }
}

TEST_CASE("the reader takes no body where the request allows none") {
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
    const auto r = read_response(head, "HEAD", stream_state::open);
    REQUIRE(std::holds_alternative<whole_response>(r));
    CHECK(std::get<whole_response>(r).body.empty());
}
