// Polls another instance for changes of the platform's store. Only the latest
// poll counts: a new one, or `cancel`, discards the response to the previous.
//
//   relay::client client(io, clock);
//   client.poll(at, {known, wait}, timeout, [](const auto& response) { ... });
#pragma once

#include "pollenreel/fleet/relay_messages.hpp"
#include "pollenreel/http/client.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace pollenreel::relay {

// Runs on the io_context's one thread.
class client {
public:
    // Receives nullopt if no response came or it was malformed.
    using response_handler =
        std::function<void(const std::optional<fleet::relay_response>&)>;

    // `clock` must outlive the client.
    client(boost::asio::io_context& io, const base::clock& clock);

    void poll(const base::endpoint& at, const fleet::relay_request& request,
              std::chrono::milliseconds timeout, response_handler on_response);
    void cancel() { ++m_poll_number; }

    // Fetches the last change of a key. Fails as http::client does, and with
    // malformed_message if the relay does not send it. Independent of polls and
    // of other fetches. `timeout`: until the first bytes, and without any
    // further ones.
    using fetch_handler =
        std::function<void(const base::result<fleet::relayed_value>&)>;
    void fetch(const base::endpoint& at, const fleet::value_request& request,
               std::chrono::milliseconds timeout, fetch_handler on_fetched);

private:
    const base::clock& m_clock;
    http::client m_client;
    std::uint64_t m_poll_number = 0; // of the latest poll
};

// Why a response could not be used, for the log.
[[nodiscard]] std::string_view
failure_reason(const std::optional<fleet::relay_response>& a,
               std::chrono::milliseconds max_age);

} // namespace pollenreel::relay
