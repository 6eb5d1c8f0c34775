// Carries messages between instances over ZeroMQ. Sending never blocks: when
// a peer cannot keep up or is away, messages to it are dropped and counted;
// the protocols above expect loss.
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/peer/curve.hpp"
#include "pollenreel/peer/message.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace pollenreel::peer {

struct transport_counters {
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t dropped = 0;   // peer away or slow
    std::uint64_t malformed = 0; // received, not a message
    std::uint64_t refused = 0;   // connections without the fleet's keys
};

// Connections to peers kept open at most; the one longest unused goes first.
constexpr std::size_t max_connections = 64;

// Runs on the io_context's one thread. With keys, only peers that hold the
// fleet's are heard, and all that is sent is encrypted.
class transport {
public:
    using message_handler = std::function<void(message)>;

    transport(boost::asio::io_context& io, const base::endpoint& listen,
              std::optional<curve_keys> keys, message_handler on_message);
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;
    ~transport();

    // Fails with std::errc::address_in_use or another system error.
    [[nodiscard]] base::result<void> start();
    void send(const base::endpoint& to, const message& m);
    void stop();
    [[nodiscard]] transport_counters counters() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace pollenreel::peer
