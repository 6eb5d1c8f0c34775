// Asks instances of other regions to check targets that are near them.
//
//   relay::check_client checks(io, clock);
//   checks.ask({target, address}, peers, [](const auto& check) { ... });
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/http/client.hpp"
#include "pollenreel/request/attempt_messages.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace pollenreel::relay {

// Runs on the io_context's one thread.
class check_client {
public:
    // Receives nullopt if the target could not be checked in time.
    using handler =
        std::function<void(const std::optional<request::target_check>&)>;

    // `clock` must outlive the client.
    check_client(boost::asio::io_context& io, const base::clock& clock);

    // Asks the first of `peers` that answered when it was last asked. Calls
    // `done` once, never from within this function.
    void ask(const request::chosen_target& target,
             const std::vector<base::endpoint>& peers, handler done);
    // Connects to `peer` ahead of need.
    void connect(const base::endpoint& peer);

private:
    boost::asio::io_context& m_io;
    const base::clock& m_clock;
    http::client m_client;
    std::map<base::endpoint, base::time_point> m_failed_at;
};

} // namespace pollenreel::relay
