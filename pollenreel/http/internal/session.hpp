// One caller's connection at a server: reads requests, up to a few ahead of
// their answers, and writes the answers in the order of the requests.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/http/internal/body_memory.hpp"
#include "pollenreel/http/server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <deque>
#include <optional>
#include <unordered_set>

namespace pollenreel::http::internal {

class session : public std::enable_shared_from_this<session> {
public:
    // What a session shares with its server; outlives the session unless the
    // session is orphaned first.
    struct owner {
        const server_options& options;
        const handler& handle;
        server_counters& counters;
        std::unordered_set<session*>& sessions;
    };

    session(boost::asio::ip::tcp::socket socket, owner o);
    session(const session&) = delete;
    session& operator=(const session&) = delete;
    ~session();

    void start();
    // Closes now if idle, else after the last answer that is owed.
    void stop();
    // Set while nothing is owed and nothing of a request has been read.
    [[nodiscard]] std::optional<base::time_point> idle_since() const {
        return m_idle_since;
    }
    void close_now() { close(); }
    void close_after_answer() { m_stopping = true; }
    // Closes and forgets the server, which is about to go.
    void orphan();
    // Closes if the caller has been idle, or slow to send, for too long.
    void close_if_overdue(base::time_point now);

private:
    class slot; // one request, from its last byte to its answer
    enum class phase { idle, header, body, busy };

    // Whether bytes of a request that is not whole are there.
    [[nodiscard]] bool partly_read() const;
    void expect(phase p);
    void await_bytes();
    void on_bytes(boost::system::error_code e, std::size_t count);
    void read_header();
    void on_header(boost::system::error_code e);
    void read_body();
    void on_body(boost::system::error_code e);
    [[nodiscard]] std::optional<response> refuse_body();
    void refuse(response r);
    [[nodiscard]] response no_room() const;
    void hand_over();
    [[nodiscard]] bool has_caller_left();
    void refuse(boost::system::error_code e);
    void on_read_end(boost::system::error_code e);
    void watch_for_close();
    [[nodiscard]] bool closed_by_caller();
    void on_caller_gone();
    void answer(slot& s, response r);
    void abort(std::string bytes);
    void flood(const std::string& next,
               const std::shared_ptr<std::string>& bytes);
    void write_next();
    void on_written(boost::system::error_code e);
    void finish();
    void discard();
    void close();

    boost::asio::ip::tcp::socket m_socket;
    owner m_owner;
    std::shared_ptr<receive_budget> m_budget; // outlives the owner
    boost::beast::flat_buffer m_buffer;
    std::optional<
        boost::beast::http::request_parser<boost::beast::http::string_body>>
        m_parser;
    std::optional<boost::beast::http::response<boost::beast::http::string_body>>
        m_answer;                             // being written
    std::deque<std::shared_ptr<slot>> m_owed; // in the order of the requests
    std::optional<base::time_point> m_overdue_at;
    std::optional<base::time_point> m_idle_since;
    base::time_point m_header_read_at{};
    body_memory m_memory; // of the body that is being read
    boost::asio::ip::tcp::endpoint m_caller;
    bool m_reading = false;
    // The last request of the connection has been read: it was refused, or
    // asked to close. What follows it is not a request.
    bool m_last_read = false;
    bool m_stopping = false;
    bool m_finishing = false; // the closing answer is out
    bool m_closed = false;
    bool m_orphaned = false;
};

} // namespace pollenreel::http::internal
