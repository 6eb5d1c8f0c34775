// Bounds the time after which a handler is called.
//
//   start(call_within<answer>(io, 150ms, [](const auto& a) { ... }));
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace pollenreel::asio {

// Returns a handler that passes the first result to `done`. Without one within
// `limit`, `done` receives nullopt. All calls come from the thread of `io`.
template <class Result>
std::function<void(const std::optional<Result>&)>
call_within(boost::asio::io_context& io, std::chrono::milliseconds limit,
            std::function<void(const std::optional<Result>&)> done) {
    struct pending {
        boost::asio::steady_timer timer;
        std::function<void(const std::optional<Result>&)> done;
    };
    const auto call = std::make_shared<pending>(
        pending{boost::asio::steady_timer(io, limit), std::move(done)});
    const auto finish = [call](const std::optional<Result>& r) {
        if (const auto once = std::exchange(call->done, {})) {
            call->timer.cancel();
            once(r);
        }
    };
    call->timer.async_wait([finish](const boost::system::error_code& e) {
        if (!e) {
            finish(std::nullopt);
        }
    });
    return finish;
}

} // namespace pollenreel::asio
