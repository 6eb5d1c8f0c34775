// Targets of the daemon that send what HTTP does not call a response.
#include "testing/fleet.hpp"
#include "testing/raw_caller.hpp"
#include "testing/response_forms.hpp"
#include "testing/scripted_target.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using testing::after_reply;

// Requests are counted by their paths.
testing::target_protocol protocol() {
    return {[](const std::string& head) {
                const auto from = head.find(' ') + 1;
                return head.substr(from, head.find(' ', from) - from);
            },
            [](const std::string& head) {
                const std::string name = "Pollenreel-Request-Id";
                return fmt::format("{}: {}\r\n", name,
                                   testing::field_in(head, name));
            }};
}

testing::raw_answer call(const base::endpoint& to, const std::string& method,
                         const std::string& path, const std::string& body) {
    return testing::call_raw(to,
                             fmt::format("{} /svc/{}{} HTTP/1.1\r\nHost: a\r\n"
                                         "Content-Length: {}\r\n\r\n{}",
                                         method, testing::fleet::service, path,
                                         body.size(), body),
                             method, 10s);
}

// The daemon takes no body that ends with its connection.
bool ends_with_connection(const testing::response_form& f) {
    return !std::holds_alternative<testing::whole_response>(
        testing::read_response(testing::with_fields(f.bytes, ""), "GET",
                               testing::stream_state::open));
}

} // namespace

TEST_CASE("the daemon's callers get what HTTP calls a whole response") {
    testing::scripted_target target(protocol());
    // A target that failed is used less; there are always others left.
    testing::fleet_options o{1, 400};
    o.shared_target = target.at();
    testing::fleet f(o);
    REQUIRE(f.start());
    int number = 0;
    for (const auto& form : testing::response_forms()) {
        CAPTURE(form.name);
        target.send({form.bytes, form.then});
        for (const std::string method : {"GET", "POST"}) {
            CAPTURE(method);
            const auto path = fmt::format("/{}", ++number);
            const auto a = call(f.callers()[0], method, path,
                                method == "GET" ? "" : "order");
            const auto* r = std::get_if<testing::whole_response>(&a.reading);
            CHECK(r != nullptr);
            if (r == nullptr) {
                continue;
            }
            CHECK(target.times_run(path) >= 1);
            CHECK((target.times_run(path) == 1 || method == "GET"));
            CHECK(r->field("X-Trailer").empty());
            if (form.expected && !ends_with_connection(form)) {
                CHECK(r->status == form.expected->status);
                CHECK(r->body == form.expected->body);
                CHECK(r->field("Pollenreel-Outcome").empty());
            } else {
                CHECK((r->status == 502 || r->status == 504));
                CHECK(r->field("Pollenreel-Outcome") == "unknown");
            }
        }
    }
}

TEST_CASE("the daemon's callers get whole responses to uploads") {
    const std::string ok = "HTTP/1.1 200 OK\r\n@";
    struct row {
        std::string name;
        std::string bytes;
        after_reply then;
        unsigned expected; // status
    };
    const row rows[] = {
        {"no length, then a reset", ok + "\r\npart", after_reply::resets, 502},
        {"part of a length, then a reset", ok + "Content-Length: 9\r\n\r\npart",
         after_reply::resets, 502},
        {"a length", ok + "Content-Length: 5\r\n\r\nwhole", after_reply::keeps,
         200},
    };
    constexpr std::size_t upload_bytes = 4'000'000;
    testing::scripted_target target(protocol());
    testing::fleet_options o{1, 400};
    o.shared_target = target.at();
    testing::fleet f(o);
    REQUIRE(f.start());
    int number = 0;
    for (const auto& r : rows) {
        CAPTURE(r.name);
        target.send({r.bytes, r.then, true, 30ms});
        const auto path = fmt::format("/{}", ++number);
        const auto a =
            call(f.callers()[0], "POST", path, std::string(upload_bytes, 'u'));
        const auto* answer = std::get_if<testing::whole_response>(&a.reading);
        REQUIRE(answer != nullptr);
        CHECK(answer->status == r.expected);
        CHECK(target.times_run(path) == 1);
    }
}
