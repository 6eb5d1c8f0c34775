// Tells other instances of the region what the platform's store told this one:
// answers at once when there is something new, else after the next report of
// the store, or when the asker's wait is over.
//
//   relay::listener l(io, at, clock, [&](auto known) { return ...; });
//   l.start();
//   l.on_progress(); // after each report of the store, and when it is lost
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/fleet/relay_messages.hpp"
#include "pollenreel/http/server.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <list>

namespace pollenreel::relay {

// Runs on the io_context's one thread.
class listener {
public:
    // What an instance that knows the changes up to a revision is to be told.
    using response_source =
        std::function<fleet::relay_response(store::revision known)>;

    // `clock` must outlive it.
    listener(boost::asio::io_context& io, const base::endpoint& at,
             const base::clock& clock, response_source source);

    // Fails with cannot_listen.
    [[nodiscard]] base::result<void> start() { return m_server.start(); }
    // Answers all that wait.
    void on_progress();
    // Answers those whose wait is over. To be called a few times a second.
    void tick();
    [[nodiscard]] std::uint64_t response_count() const {
        return m_response_count;
    }

private:
    struct pending_poll {
        fleet::relay_request request;
        base::time_point deadline;
        http::responder respond;
    };

    void on_request(const http::request& r, http::responder respond);
    void answer(const pending_poll& w);

    const base::clock& m_clock;
    response_source m_source;
    http::server m_server;
    std::list<pending_poll> m_pending_polls;
    std::uint64_t m_response_count = 0;
};

} // namespace pollenreel::relay
