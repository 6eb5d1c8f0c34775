// Stand-in for a target: serves requests on a number of slots, sheds what does
// not fit in its queue, and counts what it ran by request id and by the
// caller's order id. Its behaviour can be switched while it runs:
//
//   POST /standin/behaviour?mode=truncated&slow_percent=1000
//
// GET /standin/counts tells what it ran, GET /load its load as it was
// `report_lag_ms` ago, GET /healthz its health.
#pragma once

#include "pollenreel/http/server.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace pollenreel::testing {

enum class target_mode {
    normal,
    shed_all,  // refuses everything as not run
    crossed,   // runs, answers with another request's id
    silent,    // runs, never answers, keeps the connection
    closing,   // runs, closes the connection without an answer
    truncated, // runs, closes the connection within the answer
    draining,  // refuses new work, finishes the rest
    endless,   // runs, answers in chunks without end
};

struct target_options {
    base::endpoint listen;
    std::uint32_t slots = 6;
    std::uint32_t queue_length = 32;
    std::chrono::milliseconds service_time{5};
};

struct target_behaviour {
    target_mode mode = target_mode::normal;
    std::uint32_t slow_percent = 100;        // of the service time
    std::chrono::milliseconds report_lag{0}; // of /load
    std::uint32_t report_percent = 100;      // of the true load
};

class target_standin {
public:
    target_standin(boost::asio::io_context& io, target_options options);

    [[nodiscard]] base::result<void> start();
    target_behaviour behaviour;

private:
    struct work {
        http::request request;
        http::responder answer;
        std::string id;
    };
    struct load_report {
        std::chrono::steady_clock::time_point at;
        std::size_t load = 0;
    };

    void on_request(http::request r, http::responder answer);
    void on_work(http::request r, http::responder answer);
    void refuse(const http::request& r, const http::responder& answer);
    void start_work(work w);
    void finish_work(const work& w);
    void answer(const work& w);
    void note_load();
    [[nodiscard]] std::string reported_load();
    [[nodiscard]] std::string counts_json() const;
    std::string set_behaviour(std::string_view path);

    boost::asio::io_context& m_io;
    target_options m_options;
    http::server m_server;
    std::deque<work> m_queue;
    std::deque<load_report> m_loads;
    std::uint32_t m_busy = 0;
    std::uint64_t m_ran = 0;
    std::uint64_t m_shed = 0;
    std::uint64_t m_cancelled = 0; // the sender left before it began
    std::map<std::string, std::uint64_t> m_requests; // request id: times run
    std::map<std::string, std::uint64_t> m_orders;   // Order-Id: times run
};

} // namespace pollenreel::testing
