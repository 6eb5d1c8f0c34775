// Carries store requests to the platform's key-value service over its
// HTTP/JSON API.
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/http/client.hpp"
#include "pollenreel/store/messages.hpp"

#include <chrono>
#include <functional>
#include <vector>

namespace pollenreel::store {

// Runs on the io_context's one thread. Each call uses one endpoint; after a
// failure the next call uses the next one.
class etcd_client {
public:
    using replied = std::function<void(reply)>;

    etcd_client(boost::asio::io_context& io,
                std::vector<base::endpoint> endpoints,
                std::chrono::milliseconds timeout);

    // Delivers `unreachable` only when the request was not received.
    void call(const request& r, replied done);

private:
    http::client m_client;
    std::vector<base::endpoint> m_endpoints;
    std::chrono::milliseconds m_timeout;
    std::size_t m_current = 0;
};

} // namespace pollenreel::store
