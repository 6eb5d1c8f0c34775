#include "pollenreel/http/internal/sent_bytes.hpp"

#include <cstddef>

// <netinet/tcp.h> has no tcpi_bytes_acked and conflicts with <linux/tcp.h>.
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace pollenreel::http::internal {

std::optional<sent_bytes> read_sent_bytes(int socket) {
    int unacknowledged = 0;
    tcp_info info{};
    socklen_t length = sizeof info;
    constexpr auto needed =
        offsetof(tcp_info, tcpi_bytes_acked) + sizeof info.tcpi_bytes_acked;
    // Acknowledged first: what is acknowledged in between is then missing from
    // the sum, never counted twice.
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &length) != 0 ||
        length < needed || ::ioctl(socket, SIOCOUTQ, &unacknowledged) != 0) {
        return std::nullopt;
    }
    // The kernel counts the opening of the connection as one byte.
    const std::uint64_t acknowledged =
        info.tcpi_bytes_acked > 0 ? info.tcpi_bytes_acked - 1 : 0;
    return sent_bytes{acknowledged, static_cast<std::uint64_t>(unacknowledged)};
}

} // namespace pollenreel::http::internal
