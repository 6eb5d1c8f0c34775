// Wakes a decision core no later than it asks for, with few timers moved.
//
//   asio::wakeup w(io, [&] { handle(tick{}); });
//   w.arm(core.next_wakeup());
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <optional>

namespace pollenreel::asio {

// Runs on the io_context's one thread.
class wakeup {
public:
    using time_point = std::chrono::steady_clock::time_point;

    wakeup(boost::asio::io_context& io, std::function<void()> on_due)
        : m_timer(io), m_on_due(std::move(on_due)) {}

    // A timer that is due too early is left: it costs one needless call, where
    // moving it would cost a system call with each request.
    void arm(std::optional<time_point> next) {
        if (!next || (m_armed && *m_armed <= *next)) {
            return;
        }
        m_armed = next;
        m_timer.expires_at(*next);
        m_timer.async_wait([this](const boost::system::error_code& e) {
            if (!e) {
                m_armed.reset();
                m_on_due();
            }
        });
    }

private:
    boost::asio::steady_timer m_timer;
    std::function<void()> m_on_due;
    std::optional<time_point> m_armed;
};

} // namespace pollenreel::asio
