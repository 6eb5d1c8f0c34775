// What the clients take for a response and what the server writes as one,
// against RFC 9110 and RFC 9112.
#include "pollenreel/base/random.hpp"
#include "pollenreel/http/client_connection.hpp"
#include "pollenreel/http/client_stream.hpp"
#include "pollenreel/http/error.hpp"
#include "testing/held_server.hpp"
#include "testing/raw_server.hpp"
#include "testing/response_forms.hpp"
#include "testing/response_reader.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <string>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using testing::after_reply;
using testing::raw_reply;
using testing::raw_server;

constexpr auto no_time_out = 5s;

struct ended_exchange {
    std::optional<http::response> response; // nullopt: a failure
    bool reusable = false;
};

ended_exchange exchange(const base::endpoint& to, http::request r) {
    boost::asio::io_context io;
    http::client_connection c(io);
    ended_exchange out;
    c.connect(to, 1s, [&](const base::result<void>& up) {
        REQUIRE(up.has_value());
        http::answer_terms terms;
        terms.allow_close_delimited = true;
        c.exchange(
            std::move(r), {}, no_time_out,
            [&](base::result<http::response> a) {
                if (a) {
                    out.response = std::move(a.value());
                }
                out.reusable = c.reusable();
                c.close();
            },
            terms);
    });
    io.run();
    return out;
}

// What a stream delivered until it ended.
std::string stream(const base::endpoint& to) {
    boost::asio::io_context io;
    http::client_stream s(io);
    std::string got;
    s.open(to, {}, 1s,
           {[&](std::string_view bytes) { got += bytes; },
            [](const base::failure&) {}});
    io.run_for(no_time_out);
    return got;
}

bool has_sound_head(const testing::response_form& f) {
    const auto bytes = testing::with_fields(f.bytes, "");
    const auto head = bytes.substr(0, bytes.find("\r\n\r\n") + 4);
    const auto r =
        testing::read_response(head, "GET", testing::stream_state::open);
    return !std::holds_alternative<testing::invalid_response>(r);
}

} // namespace

TEST_CASE("a connection delivers what HTTP calls a whole response") {
    for (const auto& f : testing::response_forms()) {
        CAPTURE(f.name);
        const raw_server target([&](const std::string&) {
            return raw_reply{testing::with_fields(f.bytes, "X-Id: 1\r\n"),
                             f.then};
        });
        const auto got = exchange(target.at(), {"POST", "/", {}, "body"});
        CHECK(got.response.has_value() == f.expected.has_value());
        if (got.response && f.expected) {
            CHECK(got.response->status == f.expected->status);
            CHECK(got.response->body == f.expected->body);
            CHECK(http::find(got.response->headers, "X-Id") == "1");
            // Of a trailer, and of an interim response.
            CHECK_FALSE(http::find(got.response->headers, "X-Trailer"));
            CHECK_FALSE(http::find(got.response->headers, "Link"));
        } else {
            CHECK_FALSE(got.reusable);
        }
    }
}

TEST_CASE("what a response may hold depends on the request's method") {
    struct row {
        std::string name;
        const char* method;
        std::string bytes;
        std::optional<std::string> expected; // the body
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const row rows[] = {
        {"HEAD, with a length", "HEAD", ok + "Content-Length: 9\r\n\r\n", ""},
        {"HEAD, with chunks announced", "HEAD",
         ok + "Transfer-Encoding: chunked\r\n\r\n", ""},
        {"HEAD, with a coding that is not spoken", "HEAD",
         ok + "Transfer-Encoding: gzip, chunked\r\n\r\n", ""},
        {"HEAD, without a length", "HEAD", ok + "\r\n", ""},
        {"CONNECT, a tunnel", "CONNECT", ok + "\r\n", {}},
        {"CONNECT, a tunnel with a length",
         "CONNECT",
         ok + "Content-Length: 2\r\n\r\nok",
         {}},
        {"CONNECT, refused", "CONNECT",
         "HTTP/1.1 405 No\r\nContent-Length: 2\r\n\r\nno", "no"},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const raw_server target([&](const std::string&) {
            return raw_reply{r.bytes, after_reply::keeps};
        });
        const auto got = exchange(target.at(), {r.method, "/", {}, ""});
        CHECK(got.response.has_value() == r.expected.has_value());
        if (got.response && r.expected) {
            CHECK(got.response->body == *r.expected);
        }
    }
}

TEST_CASE("interim responses without end are cut off") {
    std::string many;
    while (many.size() < 100'000) {
        many += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    const raw_server target([&](const std::string&) {
        return raw_reply{many + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                         after_reply::closes};
    });
    CHECK_FALSE(exchange(target.at(), {}).response.has_value());
}

// The reset was reported to the write that was under way, and the read that
// followed took the end of the connection for an orderly one.
TEST_CASE("a response during an upload is whole or a failure") {
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    struct row {
        std::string name;
        std::string bytes;
        after_reply then;
        std::optional<std::string> expected; // the body
    };
    const row rows[] = {
        {"no length, then a reset", ok + "\r\npart", after_reply::resets, {}},
        {"no length and no body, then a reset",
         ok + "\r\n",
         after_reply::resets,
         {}},
        {"HTTP/1.0, then a reset",
         "HTTP/1.0 200 OK\r\n\r\npart",
         after_reply::resets,
         {}},
        {"part of a length, then a reset",
         ok + "Content-Length: 9\r\n\r\npart",
         after_reply::resets,
         {}},
        {"part of the chunks, then a reset",
         ok + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
         after_reply::resets,
         {}},
        {"no length, then an orderly end", ok + "\r\nwhole",
         after_reply::half_closes, "whole"},
        {"a length", ok + "Content-Length: 5\r\n\r\nwhole", after_reply::keeps,
         "whole"},
        {"a length, then a reset", ok + "Content-Length: 5\r\n\r\nwhole",
         after_reply::resets, "whole"},
        {"chunks",
         ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
         after_reply::keeps, "whole"},
    };
    constexpr std::size_t upload_bytes = 12'000'000;
    constexpr int times = 10;
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const raw_server target([&](const std::string&) {
            return raw_reply{r.bytes, r.then, true, 30ms};
        });
        for (int i = 0; i < times; ++i) {
            const auto got = exchange(
                target.at(), {"POST", "/", {}, std::string(upload_bytes, 'u')});
            CHECK(got.response.has_value() == r.expected.has_value());
            if (got.response && r.expected) {
                CHECK(got.response->body == *r.expected);
            }
            CHECK_FALSE(got.reusable);
        }
    }
}

// What drips for ever would hold its exchange for ever.
TEST_CASE("a body that keeps coming is given up after its total time") {
    const raw_server server([](const std::string&) {
        raw_reply reply{"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n"};
        reply.parts.assign(30, "x");
        reply.part_gap = 50ms;
        return reply;
    });
    boost::asio::io_context io;
    http::client_connection c(io);
    std::optional<base::result<http::response>> got;
    int parts = 0;
    c.connect(server.at(), 1s, [&](const base::result<void>& up) {
        REQUIRE(up.has_value());
        http::answer_terms terms;
        terms.body_time = {no_time_out, 400ms};
        terms.on_progress = [&] { ++parts; };
        c.exchange(
            {}, {}, no_time_out,
            [&](base::result<http::response> a) { got = std::move(a); }, terms);
    });
    io.run();
    REQUIRE(got.has_value());
    REQUIRE_FALSE(got->has_value());
    CHECK(got->error().code == http::make_error_code(http::error::timed_out));
    CHECK(parts > 0);
}

TEST_CASE("a stream delivers nothing of what has no response's head") {
    for (const auto& f : testing::response_forms()) {
        CAPTURE(f.name);
        const raw_server server([&](const std::string&) {
            const auto then =
                f.then == after_reply::keeps ? after_reply::closes : f.then;
            return raw_reply{testing::with_fields(f.bytes, ""), then};
        });
        const auto got = stream(server.at());
        if (f.expected && f.expected->status == 200) {
            CHECK(got == f.expected->body);
        } else if (f.expected || !has_sound_head(f)) {
            CHECK(got == "");
        }
    }
}

TEST_CASE("the server names no length where the status allows no body") {
    struct row {
        std::string name;
        const char* method;
        unsigned status;
        const char* length; // "": not named
    };
    const row rows[] = {
        {"a response with a body", "GET", 200, "2"},
        {"204", "GET", 204, ""},
        {"304", "GET", 304, ""},
        {"a response to HEAD", "HEAD", 200, ""},
        {"204 to HEAD", "HEAD", 204, ""},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        testing::held_server s;
        s.send(std::string(r.method) + " / HTTP/1.1\r\nHost: a\r\n\r\n");
        s.run_until([&] { return s.answers.size() == 1; });
        s.answers[0]({r.status, {}, r.status == 200 ? "ok" : ""});
        const auto bytes = s.receive(1);
        const auto read = testing::read_response(bytes, r.method,
                                                 testing::stream_state::open);
        const auto* whole = std::get_if<testing::whole_response>(&read);
        REQUIRE(whole != nullptr);
        CHECK(whole->status == r.status);
        CHECK(whole->field("Content-Length") == r.length);
        CHECK(whole->size == bytes.size());
        // The connection serves on.
        s.send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
        s.run_until([&] { return s.answers.size() == 2; });
    }
}

namespace {

// Responses with a few bytes changed, dropped, added, or taken from another
// one.
std::string mutate(std::string bytes, base::random& r) {
    const std::string alphabet = "\r\n\t :;,=\"01289aAfFxX-+.\x01\x7f\xc3"
                                 "chunked";
    const auto& forms = testing::response_forms();
    const auto times = 1 + r.below(3);
    for (std::uint64_t i = 0; i < times && !bytes.empty(); ++i) {
        const auto at = r.below(bytes.size());
        switch (r.below(4)) {
        case 0:
            bytes[at] = alphabet[r.below(alphabet.size())];
            break;
        case 1:
            bytes.erase(at, 1 + r.below(3));
            break;
        case 2:
            bytes.insert(at, 1, alphabet[r.below(alphabet.size())]);
            break;
        default:
            const auto other =
                testing::with_fields(forms[r.below(forms.size())].bytes, "");
            const auto from = r.below(other.size());
            bytes.insert(at, other.substr(from, 1 + r.below(30)));
            break;
        }
    }
    return bytes;
}

} // namespace

TEST_CASE("what a connection delivers of changed responses is one by HTTP") {
    constexpr std::uint64_t seeds = 8;
    constexpr int times = 500;
    const auto& forms = testing::response_forms();
    int delivered = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        base::random random(seed);
        std::string bytes;
        const raw_server target([&](const std::string&) {
            return raw_reply{bytes, after_reply::closes};
        });
        for (int i = 0; i < times; ++i) {
            bytes = mutate(testing::with_fields(
                               forms[random.below(forms.size())].bytes, ""),
                           random);
            CAPTURE(bytes);
            const auto got = exchange(target.at(), {"POST", "/", {}, "body"});
            const auto read = testing::read_response(
                bytes, "POST", testing::stream_state::closed);
            const auto* whole = std::get_if<testing::whole_response>(&read);
            if (!got.response) {
                continue;
            }
            ++delivered;
            CHECK(whole != nullptr);
            if (whole != nullptr) {
                CHECK(got.response->status == whole->status);
                CHECK(got.response->body == whole->body);
            }
        }
    }
    CHECK(delivered > static_cast<int>(seeds) * times / 20);
}
