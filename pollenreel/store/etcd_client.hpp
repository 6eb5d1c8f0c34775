// Carries store requests and watches to the platform's key-value service over
// its HTTP/JSON API.
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/http/client.hpp"
#include "pollenreel/store/messages.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace pollenreel::store {

// An open watch; closes it when destroyed, also from within its callback.
class open_watch {
public:
    class state;
    explicit open_watch(std::shared_ptr<state> s);
    open_watch(const open_watch&) = delete;
    open_watch& operator=(const open_watch&) = delete;
    ~open_watch();

private:
    std::shared_ptr<state> m_state;
};

// Runs on the io_context's one thread. Each call uses one endpoint; after a
// failure the next call uses the next one.
class etcd_client {
public:
    using replied = std::function<void(const reply&)>;
    using reported = std::function<void(const watch_report&)>;

    etcd_client(boost::asio::io_context& io,
                std::vector<base::endpoint> endpoints,
                std::chrono::milliseconds timeout);

    // Delivers `unreachable` only when the request was not received.
    void call(const request& r, replied done);

    // Delivers reports until `watch_compacted` or `watch_cut`, or until the
    // returned object is destroyed.
    [[nodiscard]] std::unique_ptr<open_watch> open(const watch& w, reported on);

private:
    void use_next_endpoint();

    boost::asio::io_context* m_io;
    http::client m_client;
    std::vector<base::endpoint> m_endpoints;
    std::chrono::milliseconds m_timeout;
    std::size_t m_current = 0;
};

} // namespace pollenreel::store
