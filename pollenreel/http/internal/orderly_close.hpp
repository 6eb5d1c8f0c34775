// Whether a connection ended in order.
#pragma once

namespace pollenreel::http::internal {

// Whether the peer has closed its side of a TCP connection in order, with no
// reset since. To be asked after a read returned the end of the stream: the
// kernel reports a reset to one operation only, and if that was a write, the
// next read returns the same as after an orderly close.
[[nodiscard]] bool is_closed_in_order(int socket);

} // namespace pollenreel::http::internal
