// The connections of one traffic thread to targets. Carries attempts: gets a
// connection, writes when told, reports what happened as events of the
// request core. Which connection is reused or given up is decided by
// request::connection_book.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/http/client_connection.hpp"
#include "pollenreel/request/attempt_messages.hpp"
#include "pollenreel/request/connection_tracker.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/unordered/unordered_flat_map.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace pollenreel::egress {

struct target_pool_options {
    http::limits response_limits;
    request::connection_limits connections;
    // A connect that takes longer is given up; within a fleet's longest
    // round trip it takes tens of milliseconds.
    std::chrono::milliseconds connect_timeout{250};
    // Takes answers whose end is the end of their connection.
    bool allow_close_delimited = false;
    // Drops an answer to another request and awaits the next one; else the
    // attempt ends with the wrong answer.
    bool skip_mismatched = false;
};

// What an answer says about itself, to a request that was sent with this id.
using response_reader = std::function<request::response_info(
    const http::response&, std::string_view request_id)>;

// Runs on the io_context's one thread.
class target_pool {
public:
    // Told of each event of an attempt; never from within a member function
    // of the pool.
    using event_handler = std::function<void(const request::attempt_event&)>;

    target_pool(boost::asio::io_context& io, const base::clock& clock,
                target_pool_options options, response_reader reader,
                event_handler on_event);

    // Gets a connection: a reusable one, or a new one. Reports
    // attempt_connected or attempt_connect_failed.
    void open(const request::open_attempt& o);
    // Writes the request. Reports attempt_answered or attempt_lost.
    void send(base::attempt_id attempt, const http::request& r,
              const std::string& request_id, std::chrono::milliseconds limit);
    // Closes the attempt's connection; nothing more is reported of it.
    void abandon(base::attempt_id attempt);
    // The whole answer that was reported; to be taken once.
    [[nodiscard]] http::response take_response(base::attempt_id attempt);
    // Closes connections that were idle for too long; to be called now and
    // then.
    void close_expired();
    [[nodiscard]] std::size_t connections() const {
        return m_connections.size();
    }
    [[nodiscard]] std::uint64_t opened_total() const {
        return m_last_connection.value();
    }

private:
    using connection_ptr = std::shared_ptr<http::client_connection>;
    struct exchange {
        request::connection_id connection;
        base::time_point started_at;
        bool reused = false;
        http::response response;
    };

    // The connection of an exchange that is over but for its answer.
    void release(const exchange& e, const request::response_info& info);
    // Closes the connection of an exchange that got nothing back.
    void close_unanswered(const exchange& e);
    void close(request::connection_id id);
    void on_response(base::attempt_id attempt, const std::string& request_id,
                     base::result<http::response> response);
    void report_lost(base::attempt_id attempt);

    boost::asio::io_context& m_io;
    const base::clock& m_clock;
    target_pool_options m_options;
    response_reader m_reader;
    event_handler m_on_event;
    boost::unordered_flat_map<base::attempt_id, exchange> m_exchanges;
    request::connection_tracker m_tracker;
    boost::unordered_flat_map<request::connection_id, connection_ptr>
        m_connections;
    request::connection_id m_last_connection;
};

} // namespace pollenreel::egress
