// Whether closing a socket drops what its peer has not acknowledged.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace pollenreel::http::internal {

// With a linger time of 0 s the kernel resets the connection on close, also
// when the process ends, and drops unsent bytes. Otherwise it goes on to
// deliver them, for as long as the path takes to come back.
inline void set_reset_on_close(boost::asio::ip::tcp::socket& s, bool enabled) {
    boost::system::error_code ignored;
    s.set_option(boost::asio::socket_base::linger(enabled, 0), ignored);
}

} // namespace pollenreel::http::internal
