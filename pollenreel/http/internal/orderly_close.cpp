#include "pollenreel/http/internal/orderly_close.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pollenreel::http::internal {

bool is_closed_in_order(int socket) {
    tcp_info info{};
    socklen_t length = sizeof info;
    return ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &length) == 0 &&
           info.tcpi_state == TCP_CLOSE_WAIT;
}

} // namespace pollenreel::http::internal
