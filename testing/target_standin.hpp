// Stand-in for a target: serves requests on a number of slots, each for a
// time that the request asks for, sheds what does not fit in its queue, and
// counts what it ran by the caller's order id.
#pragma once

#include "pollenreel/http/server.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace pollenreel::testing {

struct target_options {
    base::endpoint listen;
    std::uint32_t slots = 6;
    std::uint32_t queue_length = 32;
    std::chrono::milliseconds service_time{5};
};

class target_standin {
public:
    target_standin(boost::asio::io_context& io, target_options options);

    [[nodiscard]] base::result<void> start();

private:
    struct work {
        http::request request;
        http::responder answer;
    };

    void on_request(http::request r, http::responder answer);
    void start_work(work w);
    void finish_work(const work& w);
    [[nodiscard]] std::string counts_json() const;

    boost::asio::io_context& m_io;
    target_options m_options;
    http::server m_server;
    std::deque<work> m_queue;
    std::uint32_t m_busy = 0;
    std::uint64_t m_ran = 0;
    std::uint64_t m_shed = 0;
    std::map<std::string, std::uint64_t> m_orders; // Order-Id: times run
};

} // namespace pollenreel::testing
