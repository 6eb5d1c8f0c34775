// The daemon as its users meet it: real processes on loopback.
#include "pollenreel/http/client.hpp"
#include "testing/caller_load.hpp"
#include "testing/fleet.hpp"
#include "testing/raw_exchange.hpp"

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>
#include <zmq.hpp>

#include <atomic>
#include <csignal>
#include <fstream>
#include <thread>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using testing::raw_exchange;

http::request get(std::string path) {
    http::request r;
    r.path = std::move(path);
    return r;
}

void send_peer_frame(const base::endpoint& to, const std::string& bytes) {
    zmq::context_t context;
    zmq::socket_t push(context, zmq::socket_type::push);
    push.set(zmq::sockopt::linger, 1000);
    push.connect("tcp://" + to.str());
    push.send(zmq::buffer(bytes), zmq::send_flags::none);
}

std::string metrics(const testing::fleet& f) {
    auto r = get("/metrics");
    r.headers = {
        {"Authorization", std::string("Bearer ") + testing::fleet::token}};
    return http::call_and_wait(f.operators()[0], r, 2s).value().body;
}

int count(const base::endpoint& target, const char* what) {
    const auto answer = http::call_and_wait(target, get("/standin/counts"), 2s);
    return boost::json::parse(answer.value().body).at(what).to_number<int>();
}

int run_daemon(const std::vector<std::string>& words) {
    testing::process p(POLLENREELD, words, "/dev/null");
    return p.wait();
}

} // namespace

TEST_CASE("the daemon's exit codes") {
    const auto folder = std::filesystem::temp_directory_path();
    const auto path =
        (folder / ("pollenreel-" + std::to_string(::getpid()) + ".ini"))
            .string();
    std::ofstream(path) << "[instance]\nid = a\ncolour = red\n";
    struct row {
        const char* name;
        std::vector<std::string> words;
        int expected;
    };
    const row rows[] = {
        {"no arguments", {}, 64},
        {"an unknown option", {"--colour"}, 64},
        {"no such settings file", {"--settings", "/nonexistent.ini"}, 78},
        {"an unknown settings key", {"--settings", path}, 78},
        {"help", {"--help"}, 0},
        {"version", {"--version"}, 0},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        CHECK(run_daemon(r.words) == r.expected);
    }
    std::filesystem::remove(path);
}

TEST_CASE("callers carry on when an instance is killed under load") {
    testing::fleet f({3, 3, 2ms});
    REQUIRE(f.start());
    testing::caller_load load(
        {testing::fleet::service, f.callers(), "kill", ""});
    std::thread killer([&] {
        std::this_thread::sleep_for(300ms);
        f.signal(1, SIGKILL);
    });
    load.run(400);
    killer.join();
    CHECK(f.wait(1) == 128 + SIGKILL);
    const auto a = testing::account(load.result(), "kill", f.targets());
    CHECK(load.result().lost == 0);
    CHECK(load.result().crossed == 0);
    CHECK(a.doubled == 0);
    CHECK(a.vanished == 0);
    CHECK(a.phantom == 0);
}

TEST_CASE("a shift moves traffic to the other region") {
    testing::fleet f({4, 4, 2ms, true});
    REQUIRE(f.start());
    CHECK(f.command(0, "shift catalogue khomas -> erongo 50% cap "
                       "400Mbit/s over 1s")
              .status == 200);
    const auto ran_in_erongo = [&] {
        return count(f.targets()[1], "ran") + count(f.targets()[3], "ran");
    };
    int sent = 0;
    for (; sent < 20'000 && ran_in_erongo() == 0; ++sent) {
        const auto answer = http::call_and_wait(
            f.callers()[0], get("/svc/catalogue/" + std::to_string(sent)), 5s);
        REQUIRE(answer.has_value());
        CHECK(answer.value().status == 200);
    }
    CAPTURE(f.command(0, "shifts").body);
    CHECK(ran_in_erongo() > 0);
    CHECK(count(f.targets()[0], "ran") + count(f.targets()[2], "ran") +
              ran_in_erongo() >=
          sent);
    CHECK(f.command(0, "shifts").body.find("moved_percent") !=
          std::string::npos);
}

TEST_CASE("a planned stop cuts no request") {
    testing::fleet f({2, 2, 400ms});
    REQUIRE(f.start());
    std::vector<unsigned> statuses(4);
    std::vector<std::thread> callers;
    callers.reserve(statuses.size());
    for (auto& status : statuses) {
        callers.emplace_back([&status, &f] {
            const auto answer = http::call_and_wait(
                f.callers()[0], get("/svc/catalogue/slow"), 5s);
            status = answer ? answer.value().status : 0;
        });
    }
    std::this_thread::sleep_for(100ms);
    f.signal(0, SIGTERM);
    CHECK(f.wait(0) == 0);
    for (auto& c : callers) {
        c.join();
    }
    CHECK(statuses == std::vector<unsigned>(4, 200));
    const auto answer = http::call_and_wait(
        f.callers()[1], get("/lookup?service=catalogue"), 2s);
    REQUIRE(answer.has_value());
    CHECK(answer.value().body.find(f.callers()[0].str()) == std::string::npos);
    CHECK(answer.value().body.find(f.callers()[1].str()) != std::string::npos);
}

// Responses that were being received took up to three times what counted.
TEST_CASE("an instance bears targets whose responses do not end") {
    constexpr int callers = 48;
    constexpr int allowed_mb = 128; // half of what an instance may take
    testing::fleet f({1, 2, 2ms});
    REQUIRE(f.start());
    const auto set_mode = [&](const std::string& mode) {
        for (const auto& t : f.targets()) {
            const auto set = http::call_and_wait(
                t, get("/standin/behaviour?mode=" + mode), 2s);
            REQUIRE(set.has_value());
        }
    };
    set_mode("endless");
    std::vector<std::thread> all;
    all.reserve(callers);
    std::atomic<int> succeeded{0};
    for (int i = 0; i < callers; ++i) {
        all.emplace_back([&] {
            for (int n = 0; n < 5; ++n) {
                const auto a = http::call_and_wait(f.callers()[0],
                                                   get("/svc/catalogue/x"), 5s);
                succeeded += a && a.value().status == 200 ? 1 : 0;
            }
        });
    }
    for (auto& t : all) {
        t.join();
    }
    CHECK(succeeded == 0);
    const auto peak = f.peak_memory_mb(0);
    MESSAGE("peak of " << peak << " MB");
    CHECK(peak > 0);
    CHECK(peak <= allowed_mb);
    set_mode("normal");
    const auto serves = [&] {
        const auto a =
            http::call_and_wait(f.callers()[0], get("/svc/catalogue/y"), 5s);
        return a && a.value().status == 200;
    };
    bool served = serves();
    for (int i = 0; i < 100 && !served; ++i) {
        std::this_thread::sleep_for(100ms);
        served = serves();
    }
    CHECK(served);
}

TEST_CASE("bad input on any listener is refused and the instance serves on") {
    testing::fleet f({1, 1, 2ms});
    REQUIRE(f.start());
    struct row {
        const char* name;
        base::endpoint to;
        std::string bytes;
        const char* answered; // part of the answer
    };
    const auto callers = f.callers()[0];
    const auto operators = f.operators()[0];
    const std::string token = testing::fleet::token;
    const row rows[] = {
        {"a caller that speaks no HTTP", callers, "hello\r\n\r\n", " 400 "},
        {"an oversized header", callers,
         "GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n",
         " 431 "},
        {"an unknown path", callers, "GET /x HTTP/1.1\r\n\r\n", " 404 "},
        {"an unknown service", callers, "GET /svc/x/ HTTP/1.1\r\n\r\n",
         "Pollenreel-Outcome: not-run"},
        {"a look-up without a service", callers, "GET /lookup HTTP/1.1\r\n\r\n",
         " 400 "},
        {"a broken escape", callers, "GET /lookup?service=%zz HTTP/1.1\r\n\r\n",
         " 400 "},
        {"a deadline that is no number", callers,
         "GET /svc/catalogue/ HTTP/1.1\r\nPollenreel-Deadline-Ms: "
         "soon\r\n\r\n",
         " 400 "},
        {"TRACE with a body", callers,
         "TRACE /svc/catalogue/ HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi",
         " 405 "},
        {"an operator without a token", operators,
         "POST /v1/command HTTP/1.1\r\nContent-Length: 6\r\n\r\nstatus",
         " 401 "},
        {"an operator with a wrong token", operators,
         "POST /v1/command HTTP/1.1\r\nAuthorization: Bearer no\r\n"
         "Content-Length: 6\r\n\r\nstatus",
         " 401 "},
        {"a command that is none", operators,
         "POST /v1/command HTTP/1.1\r\nAuthorization: Bearer " + token +
             "\r\nContent-Length: 5\r\n\r\nstaus",
         "column 1"},
        {"declarations that are no JSON", operators,
         "PUT /v1/declarations HTTP/1.1\r\nAuthorization: Bearer " + token +
             "\r\nContent-Length: 1\r\n\r\n{",
         "not JSON"},
        {"a peer that speaks no ZMTP", f.peers()[0], std::string(5000, '\xff'),
         ""},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto got = raw_exchange(r.to, r.bytes);
        CHECK(got.find(r.answered) != std::string::npos);
    }
    send_peer_frame(f.peers()[0], "\xff\xff\xff\xff");
    const std::string counted =
        "pollenreel_malformed_messages_total{listener=\"peers\"} 1";
    for (int i = 0; i < 100 && metrics(f).find(counted) == std::string::npos;
         ++i) {
        std::this_thread::sleep_for(50ms);
    }
    CHECK(metrics(f).find(counted) != std::string::npos);
    const auto answer =
        http::call_and_wait(callers, get("/svc/catalogue/x"), 2s);
    REQUIRE(answer.has_value());
    CHECK(answer.value().body == "/x\n");
}
