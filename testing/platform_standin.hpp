// Stand-in for the platform's key-value service: the HTTP/JSON form of etcd's
// v3 API over store_model, with switchable faults and a count of calls, of
// which an opened watch is one.
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "testing/platform_session.hpp"
#include "testing/store_model.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pollenreel::testing {

struct platform_faults {
    bool down = false;           // no call is served, watches bring nothing
    bool lose_answers = false;   // writes take effect, their answers are lost
    std::uint32_t lose_next = 0; // as many writes lose their answers
    bool silent_watches = false; // open watches bring nothing
    std::chrono::milliseconds delay{0};
};

class platform_standin {
public:
    platform_standin(boost::asio::io_context& io, const base::endpoint& listen);

    // Fails with the system's error.
    [[nodiscard]] base::result<void> start();

    // Switched over HTTP too: POST /standin/faults?down=1&lose_answers=0&
    // lose_next=3&silent_watches=1&delay_ms=5, and what is done at once:
    // cut_watches=1, lapse_leases=1, compact=1.
    platform_faults faults;
    void cut_watches();
    // Also GET /standin/calls, and per path with the number of watches that
    // wait now as JSON at GET /standin/counts.
    [[nodiscard]] std::uint64_t calls() const { return m_calls; }

private:
    struct open_watch {
        store::watch rest; // what is still to be told
        session_ptr to;
    };

    void accept();
    void on_request(const http::request& r, const session_ptr& s);
    void serve(const http::request& r, const session_ptr& s);
    void open(const http::request& r, const session_ptr& s);
    void answer(const session_ptr& s, unsigned status, std::string body);
    void tell_watches();
    void tick();
    [[nodiscard]] bool loses_answer(const http::request& r);
    std::string set_faults(const std::string& path);
    [[nodiscard]] std::string counts() const;

    boost::asio::io_context& m_io;
    base::endpoint m_listen;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_tick;
    store_model m_model;
    std::vector<open_watch> m_watches;
    std::map<std::string, std::uint64_t> m_calls_by_path;
    std::uint64_t m_calls = 0;
};

} // namespace pollenreel::testing
