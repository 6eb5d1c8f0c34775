// Sends this instance's part of the exchange between instances: reports to the
// hub of its region and requests for the sums of other regions.
#pragma once

#include "pollenreel/fleet/exchange_messages.hpp"
#include "pollenreel/http/client.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

namespace pollenreel::relay {

// Runs on the io_context's one thread.
class exchange_client {
public:
    // Receive nullopt if no answer came or it was malformed.
    using news_handler =
        std::function<void(const std::optional<fleet::exchange_news>&)>;
    using sums_handler =
        std::function<void(const std::optional<fleet::exchange_sums>&)>;

    explicit exchange_client(boost::asio::io_context& io);

    void report(const base::endpoint& to, const fleet::exchange_report& r,
                std::chrono::milliseconds timeout, news_handler on_news);
    // `own`: the region of this instance.
    void ask_sums(const base::endpoint& at, const base::region_id& own,
                  std::chrono::milliseconds timeout, sums_handler on_sums);
    // Of all messages and their answers.
    [[nodiscard]] std::uint64_t bytes() const { return m_bytes; }

private:
    http::client m_client;
    std::uint64_t m_bytes = 0; // bodies
};

} // namespace pollenreel::relay
