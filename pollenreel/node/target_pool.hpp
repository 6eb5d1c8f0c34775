// The connections of one traffic thread to targets. Carries attempts: gets a
// connection, writes when told, reports what happened as events of the
// request core.
#pragma once

#include "pollenreel/base/ids.hpp"
#include "pollenreel/http/client_connection.hpp"
#include "pollenreel/request/core.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/unordered/unordered_flat_map.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace pollenreel::node {

// Runs on the io_context's one thread.
class target_pool {
public:
    // Told of each event of an attempt; never from within a member function
    // of the pool.
    using report = std::function<void(const request::event&)>;

    target_pool(boost::asio::io_context& io, http::limits answer_limits,
                report on_event);

    // Gets a connection: a reusable one, or a new one. Reports
    // attempt_connected or attempt_connect_failed.
    void open(const request::open_attempt& o, base::time_point now);
    // Writes the request. Reports attempt_answered or attempt_lost.
    void send(base::attempt_id attempt, const http::request& r,
              const std::string& request_id, std::chrono::milliseconds limit);
    // Closes the attempt's connection; nothing more is reported of it.
    void abandon(base::attempt_id attempt);
    // The whole answer that was reported; to be taken once.
    [[nodiscard]] http::response take_answer(base::attempt_id attempt);

private:
    using connection_ptr = std::shared_ptr<http::client_connection>;
    struct exchange {
        base::endpoint to;
        connection_ptr connection;
        http::response answer;
    };

    void on_answer(base::attempt_id attempt, const std::string& request_id,
                   base::result<http::response> answer);
    void lose(base::attempt_id attempt);

    boost::asio::io_context& m_io;
    http::limits m_limits;
    report m_report;
    boost::unordered_flat_map<base::attempt_id, exchange> m_exchanges;
    std::map<base::endpoint, std::vector<connection_ptr>> m_idle;
};

} // namespace pollenreel::node
