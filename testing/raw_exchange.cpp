#include "testing/raw_exchange.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace pollenreel::testing {

// The other side may answer and close before all was sent: what counts is
// what came back.
std::string raw_exchange(const base::endpoint& to, const std::string& bytes) {
    namespace asio = boost::asio;
    asio::io_context io;
    asio::ip::tcp::socket s(io);
    s.connect({asio::ip::make_address_v4(to.host), to.port});
    boost::system::error_code ignored;
    asio::write(s, asio::buffer(bytes), ignored);
    s.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    std::string got;
    asio::read(s, asio::dynamic_buffer(got), ignored);
    return got;
}

} // namespace pollenreel::testing
