// What the kernel holds and has sent of a TCP connection's outgoing bytes.
#pragma once

#include <cstdint>
#include <optional>

namespace pollenreel::http::internal {

struct sent_bytes {
    std::uint64_t acknowledged = 0; // since the connection was opened
    std::uint64_t unacknowledged = 0;
};

// nullopt if the socket is closed or was never connected.
[[nodiscard]] std::optional<sent_bytes> read_sent_bytes(int socket);

} // namespace pollenreel::http::internal
