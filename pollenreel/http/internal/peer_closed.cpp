#include "pollenreel/http/internal/peer_closed.hpp"

#include <poll.h>

namespace pollenreel::http::internal {

bool has_peer_closed(int socket) {
    pollfd p{socket, POLLRDHUP, 0};
    return ::poll(&p, 1, 0) > 0;
}

} // namespace pollenreel::http::internal
