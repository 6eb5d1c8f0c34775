// platform_standin IP:PORT
#include "testing/platform_standin.hpp"

#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include <csignal>

int main(int argc, char** argv) {
    using namespace pollenreel;
    const auto listen = base::parse_endpoint(argc == 2 ? argv[1] : "");
    if (!listen) {
        fmt::print(stderr, "usage: platform_standin IP:PORT\n");
        return 64;
    }
    boost::asio::io_context io;
    testing::platform_standin platform(io, listen.value());
    if (const auto up = platform.start(); !up) {
        fmt::print(stderr, "{}\n", up.error().text());
        return 69;
    }
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const auto&, int) { io.stop(); });
    io.run();
    return 0;
}
