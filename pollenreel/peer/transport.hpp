// Sends and receives messages between instances over ZeroMQ. Sending never
// blocks: messages to a peer that is slow or unreachable are dropped and
// counted. The protocols on top tolerate loss.
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
    std::uint64_t dropped = 0;   // peer unreachable or slow
    std::uint64_t malformed = 0; // received but not decodable
    std::uint64_t refused = 0;   // connections without the fleet's keys
};

// Limit on open connections to peers. The least recently used one is closed to
// open another.
constexpr std::size_t max_connections = 64;

// Must be used on the single thread of the io_context. With keys, connections
// of peers without the fleet's keys are refused and all messages are encrypted.
class transport {
public:
    using message_handler = std::function<void(message)>;

    transport(boost::asio::io_context& io, const base::endpoint& listen,
              std::optional<curve_keys> keys, message_handler on_message);
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;
    ~transport();

    // Starts listening. Fails with std::errc::address_in_use or another system
    // error.
    [[nodiscard]] base::result<void> start();
    void send(const base::endpoint& to, const message& m);
    void stop();
    [[nodiscard]] transport_counters counters() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace pollenreel::peer
