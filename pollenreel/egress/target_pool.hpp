// The connections of one traffic thread to targets. Executes attempts: obtains
// a connection, writes the request, and reports the result as events of the
// request core. request::connection_tracker decides which connections are
// reused and which are closed.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/http/client_connection.hpp"
#include "pollenreel/request/attempt_messages.hpp"
#include "pollenreel/request/connection_tracker.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/unordered/unordered_flat_map.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenreel::egress {

struct target_pool_options {
    http::limits response_limits;
    request::connection_limits connections;
    // Even between the most distant hosts of a fleet, connecting takes only
    // tens of milliseconds.
    std::chrono::milliseconds connect_timeout{250};
    // A new connection to a busy target waits for one of its slots before its
    // first request is read, as long as that would take without a check.
    std::chrono::milliseconds check_timeout{600};
    // A peer is told after this time that there is no answer yet, so that it
    // can check the target itself. The check goes on.
    std::chrono::milliseconds peer_check_timeout{40};
    // Accepts responses whose end is marked by the end of the connection.
    bool allow_close_delimited = false;
    // Drops a response to another request and waits for the next one. If false,
    // such a response ends the attempt as a wrong answer.
    bool skip_mismatched = false;
    // Memory for the bodies of responses that are being received.
    std::size_t max_receiving_bytes = std::size_t{32} * 1024 * 1024;
};

// What became of the bytes of an attempt that was abandoned.
struct abandoned_attempt {
    base::duration age{};
    // nullopt if the connection had ended before.
    std::optional<http::unanswered_bytes> bytes;
};

// Extracts the properties of a response to the request with this id.
using response_reader = std::function<request::response_info(
    const http::response&, std::string_view request_id)>;

// Reads the answer of a target to the check of a new connection. `expected`:
// the target that the connection was opened for.
using check_reader = std::function<request::target_check(
    const http::response&, const base::target_id& expected)>;

// Receives nullopt if the target could not be checked.
using check_handler =
    std::function<void(const std::optional<request::target_check>&)>;

// Has a target checked by one of `peers`; calls `done` once, later.
using peer_check = std::function<void(const request::chosen_target&,
                                      const std::vector<base::endpoint>& peers,
                                      check_handler done)>;

// Not thread-safe; runs on the single thread of the io_context.
class target_pool {
public:
    // Called for each event of an attempt; never from within a member function
    // of the pool.
    using event_handler = std::function<void(const request::attempt_event&)>;

    target_pool(boost::asio::io_context& io, const base::clock& clock,
                target_pool_options options, response_reader reader,
                event_handler on_event, check_reader read_check = {},
                peer_check ask_peer = {});

    // Obtains a connection, reusing an idle one if possible, and checks a new
    // one if that is asked for. Reports attempt_connected, or
    // attempt_connect_failed, also if the check is not answered in time.
    void open(const request::open_attempt& o);
    // Writes the request. Reports attempt_answered or attempt_lost.
    void send(base::attempt_id attempt, http::request r,
              const std::string& request_id, std::chrono::milliseconds limit);
    // Checks a target by a GET of `path` on a new connection, for an instance
    // that is far from the target. The answer may be that of another such check
    // just before.
    void check_for_peer(const request::chosen_target& target,
                        const std::string& path, check_handler done);
    // Closes the attempt's connection; what the target has not acknowledged of
    // the request is never delivered. No further events are reported for it.
    // nullopt if the attempt had ended.
    std::optional<abandoned_attempt> abandon(base::attempt_id attempt);
    // Whether attempts are to be expired only after the io_context has run what
    // is ready: part of a response to one that is due has come. Says so a
    // bounded number of times in a row.
    [[nodiscard]] bool must_read_first();
    // Moves out the response of an attempt; valid once, while attempt_answered
    // is being handled.
    [[nodiscard]] http::response take_response(base::attempt_id attempt);
    // Closes connections that have been idle for too long, and ends attempts
    // whose request the target does not acknowledge; call a few times a second.
    void close_expired();
    [[nodiscard]] std::size_t connections() const {
        return m_connections.size();
    }
    [[nodiscard]] std::uint64_t opened_total() const {
        return m_last_connection.value();
    }
    // Memory of the bodies that are being received, in bytes.
    [[nodiscard]] std::size_t receiving_bytes() const {
        return m_budget->used();
    }
    // New connections that a peer's check allowed to use.
    [[nodiscard]] std::uint64_t checked_by_peers_total() const {
        return m_checked_by_peers;
    }
    // Responses that were larger than the limits or than the memory left.
    [[nodiscard]] std::uint64_t cut_off_total() const { return m_cut_off; }

private:
    using connection_ptr = std::shared_ptr<http::client_connection>;
    // What is left to do after a connect.
    struct pending_check {
        request::chosen_target target;
        std::string path;
        // The target may close the connection with its answer to the check.
        bool may_reconnect = true;
        // Of a check on an earlier connection, which could not be kept.
        std::optional<request::target_check> result{};
    };
    // The check that a peer makes for an attempt.
    struct asked_check {
        bool is_pending;
        std::optional<request::target_check> answer;
        base::time_point answered_at;
        // The check to be made if there is no answer; set once connected.
        std::optional<pending_check> waiting;
    };
    struct exchange {
        request::connection_id connection;
        base::time_point started_at;
        base::time_point deadline;
        bool reused = false;
        http::response response;
        std::optional<asked_check> asked{};
    };

    void connect(base::attempt_id attempt, pending_check check);
    void on_connected(base::attempt_id attempt, pending_check check);
    void check(base::attempt_id attempt, pending_check check);
    void ask_peer(const request::open_attempt& o);
    void on_peer_answer(base::attempt_id attempt,
                        const std::optional<request::target_check>& answer);
    // The connection was checked by a peer and may be used.
    void report_checked(base::attempt_id attempt,
                        const request::target_check& c);
    void exchange_check(request::connection_id id,
                        const request::chosen_target& target,
                        const std::string& path);
    void
    on_checked_for_peers(const request::chosen_target& target,
                         const std::optional<request::target_check>& result);
    void on_checked(base::attempt_id attempt, pending_check check,
                    const base::result<http::response>& answer);
    void report_connect_failed(base::attempt_id attempt);
    // `limit`, or less if the request expires before.
    [[nodiscard]] std::chrono::milliseconds
    time_for(const exchange& e, std::chrono::milliseconds limit) const;

    // Returns the connection of a completed exchange to the pool, or closes it.
    void release(const exchange& e, const request::response_info& info);
    // Closes the connection of an exchange that got no response, and those that
    // it makes suspect. `broken`: the connection ended before the response.
    void close_unanswered(const exchange& e, bool broken);
    void close(request::connection_id id);
    // Closes idle connections to the target, the oldest first, while more than
    // `most` connections are open.
    void close_idle_beyond(const base::endpoint& target, std::size_t most);
    void on_response(base::attempt_id attempt, const std::string& request_id,
                     base::result<http::response> response);
    void report_lost(base::attempt_id attempt, bool broken);

    boost::asio::io_context& m_io;
    const base::clock& m_clock;
    target_pool_options m_options;
    std::shared_ptr<http::receive_budget> m_budget;
    response_reader m_reader;
    event_handler m_on_event;
    check_reader m_read_check;
    peer_check m_ask_peer;
    boost::unordered_flat_map<base::attempt_id, exchange> m_exchanges;
    request::connection_tracker m_tracker;
    boost::unordered_flat_map<request::connection_id, connection_ptr>
        m_connections;
    // Checks for peers.
    struct shared_check {
        std::vector<check_handler> waiting; // while it is under way
        std::optional<request::target_check> result{};
        base::time_point checked_at{};
    };
    std::map<request::chosen_target, shared_check> m_shared_checks;
    request::connection_id m_last_connection;
    std::uint64_t m_cut_off = 0;
    std::uint64_t m_checked_by_peers = 0;
    int m_reads_first = 0; // in a row
};

} // namespace pollenreel::egress
