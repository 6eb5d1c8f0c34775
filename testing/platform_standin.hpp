// Stand-in for the platform's key-value service: the HTTP/JSON form of etcd's
// v3 API, in memory, with switchable faults and a count of calls.
#pragma once

#include "pollenreel/http/server.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace pollenreel::testing {

struct platform_faults {
    bool down = false;         // no call is served
    bool lose_answers = false; // writes take effect, their answers are lost
    std::chrono::milliseconds delay{0};
};

class platform_standin {
public:
    platform_standin(boost::asio::io_context& io, const base::endpoint& listen);

    [[nodiscard]] base::result<void> start();
    // Switched over HTTP too: POST /standin/faults?down=1&lose_answers=0&
    // delay_ms=5.
    platform_faults faults;
    [[nodiscard]] std::uint64_t calls() const { return m_calls; }

private:
    struct stored {
        std::string value; // base64, as received
        std::int64_t modified = 0;
    };

    void on_request(const http::request& r, const http::responder& answer);
    std::string serve(const http::request& r);
    std::string range(const std::string& body);
    std::string transact(const std::string& body);
    std::string set_faults(const std::string& path);
    [[nodiscard]] std::string entry_json(const std::string& key) const;

    boost::asio::io_context& m_io;
    http::server m_server;
    std::map<std::string, stored> m_data;
    std::int64_t m_revision = 0;
    std::uint64_t m_calls = 0;
};

} // namespace pollenreel::testing
