// Asks another instance what the platform's store told it. One ask at a time:
// a new one, or `cancel`, makes the answer to the one before be dropped.
//
//   relay::asker a(io);
//   a.ask(at, {known, wait}, timeout, [](const auto& answer) { ... });
#pragma once

#include "pollenreel/fleet/relay_messages.hpp"
#include "pollenreel/http/client.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace pollenreel::relay {

// Runs on the io_context's one thread.
class client {
public:
    // Empty: no answer came, or none that can be read.
    using response_handler =
        std::function<void(const std::optional<fleet::relay_response>&)>;

    explicit client(boost::asio::io_context& io);

    void poll(const base::endpoint& at, const fleet::relay_request& request,
              std::chrono::milliseconds timeout, response_handler on_response);
    void cancel() { ++m_poll_number; }

private:
    http::client m_client;
    std::uint64_t m_poll_number = 0; // of the ask that counts
};

// Why an answer was of no use, for the log.
[[nodiscard]] std::string_view
failure_reason(const std::optional<fleet::relay_response>& a);

} // namespace pollenreel::relay
