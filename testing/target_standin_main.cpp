// target_standin IP:PORT SLOTS SERVICE_TIME_MS
#include "testing/target_standin.hpp"

#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdlib>

int main(int argc, char** argv) {
    using namespace pollenreel;
    const auto listen = base::parse_endpoint(argc == 4 ? argv[1] : "");
    if (!listen) {
        fmt::print(stderr,
                   "usage: target_standin IP:PORT SLOTS SERVICE_TIME_MS\n");
        return 64;
    }
    testing::target_options options;
    options.listen = listen.value();
    options.slots = static_cast<std::uint32_t>(std::atoi(argv[2]));
    options.service_time = std::chrono::milliseconds(std::atoi(argv[3]));
    boost::asio::io_context io;
    testing::target_standin target(io, options);
    if (const auto up = target.start(); !up) {
        fmt::print(stderr, "{}\n", up.error().text());
        return 69;
    }
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const auto&, int) { io.stop(); });
    io.run();
    return 0;
}
