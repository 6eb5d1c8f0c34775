// Whether the peer of a connection has closed it.
#pragma once

namespace pollenreel::http::internal {

// Whether the peer has closed its connection or its sending side, or the
// connection failed, also while bytes that came before are still unread.
[[nodiscard]] bool has_peer_closed(int socket);

} // namespace pollenreel::http::internal
