#include "testing/ports.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <unistd.h>

namespace pollenreel::testing {

namespace {

constexpr int first_port = 21'000;
constexpr int ports = 10'000;
constexpr int ports_per_process = 97; // apart from the next process's start

bool is_free(std::uint16_t port) {
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor probe(io);
    boost::system::error_code e;
    probe.open(boost::asio::ip::tcp::v4(), e);
    probe.bind({boost::asio::ip::address_v4::loopback(), port}, e);
    return !e;
}

} // namespace

base::endpoint free_endpoint() {
    static int next = ::getpid() * ports_per_process;
    for (int tries = 0; tries < ports; ++tries) {
        const auto port =
            static_cast<std::uint16_t>(first_port + next++ % ports);
        if (is_free(port)) {
            return {"127.0.0.1", port};
        }
    }
    return {};
}

} // namespace pollenreel::testing
