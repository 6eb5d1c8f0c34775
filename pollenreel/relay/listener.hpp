// Serves changes of the platform's store to other instances of the region.
// Responds to a poll immediately if there are changes, else after the next
// report of the store or when the poll's maximum wait has passed.
//
//   relay::listener listener(io, at, clock, [&](auto& poll) { return ...; });
//   listener.start();
//   listener.on_progress(); // on each report of the store, and when it is lost
//   listener.serve_exchange(handlers); // answers reports of instances as well
//   listener.serve_checks(check); // checks targets for instances elsewhere
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/fleet/exchange_messages.hpp"
#include "pollenreel/fleet/relay_messages.hpp"
#include "pollenreel/http/server.hpp"
#include "pollenreel/request/attempt_messages.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <utility>

namespace pollenreel::relay {

// What answers the exchange between instances. An empty result is sent as 503,
// after which the sender tries another instance.
struct exchange_handlers {
    std::function<std::optional<fleet::exchange_news>(
        const fleet::exchange_report&)>
        on_report;
    std::function<std::optional<fleet::exchange_sums>(
        const base::region_id& asked_by)>
        on_sums_request;
};

// Runs on the io_context's one thread.
class listener {
public:
    using response_source =
        std::function<fleet::relay_response(const fleet::relay_request&)>;

    // Returns the last change of a key; nullopt if it is not to be sent.
    using value_source = std::function<std::optional<fleet::relayed_value>(
        const fleet::value_request&)>;

    // Checks a target and calls `done` with the result, nullopt if it could
    // not, now or later on the listener's thread.
    using check_source = std::function<void(
        const request::chosen_target&,
        std::function<void(const std::optional<request::target_check>&)> done)>;

    // `clock` must outlive the listener.
    listener(boost::asio::io_context& io, const base::endpoint& at,
             const base::clock& clock, response_source source,
             value_source values);

    // Fails with cannot_listen.
    [[nodiscard]] base::result<void> start() { return m_server.start(); }
    // Until then, messages of the exchange are malformed requests.
    void serve_exchange(exchange_handlers h);
    // The same for requests to check a target.
    void serve_checks(check_source s) { m_checks = std::move(s); }
    // Responds to all pending polls.
    void on_progress();
    // Responds to polls whose maximum wait has passed. Must be called a few
    // times a second.
    void tick();
    [[nodiscard]] std::uint64_t response_count() const {
        return m_response_count;
    }
    [[nodiscard]] std::uint64_t response_bytes() const {
        return m_response_bytes;
    }
    // Of the messages of the exchange and their answers.
    [[nodiscard]] std::uint64_t exchange_bytes() const {
        return m_exchange_bytes;
    }

private:
    struct pending_poll {
        fleet::relay_request request;
        base::time_point deadline;
        http::responder respond;
    };

    void on_request(const http::request& r, http::responder respond);
    void respond_to(const pending_poll& poll);
    void on_fetch(const fleet::value_request& r,
                  const http::responder& respond);
    void send(const http::responder& respond, http::response encoded);
    // Answers a message of the exchange; false if it is none.
    bool answer_exchange(const http::request& r,
                         const http::responder& respond);

    const base::clock& m_clock;
    response_source m_source;
    value_source m_values;
    std::optional<exchange_handlers> m_exchange;
    check_source m_checks;
    http::server m_server;
    std::list<pending_poll> m_pending_polls;
    std::uint64_t m_response_count = 0;
    std::uint64_t m_response_bytes = 0; // bodies
    std::uint64_t m_exchange_bytes = 0; // bodies
};

} // namespace pollenreel::relay
