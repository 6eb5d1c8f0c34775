// Sends store requests and watches to the platform's key-value service over
// etcd's HTTP/JSON API.
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/http/client.hpp"
#include "pollenreel/store/client.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace pollenreel::store {

// Runs on the io_context's one thread. All calls use the same endpoint until
// one fails; later calls then use the next endpoint.
class etcd_client final : public client {
public:
    etcd_client(boost::asio::io_context& io,
                std::vector<base::endpoint> endpoints,
                std::chrono::milliseconds timeout);

    void call(const request& r, reply_handler on_reply) override;
    [[nodiscard]] std::unique_ptr<open_watch>
    open(const watch& w, report_handler on_report) override;

private:
    void use_next_endpoint();

    boost::asio::io_context* m_io;
    http::client m_client;
    std::vector<base::endpoint> m_endpoints;
    std::chrono::milliseconds m_timeout;
    std::size_t m_endpoint_index = 0;
};

} // namespace pollenreel::store
