// One thread that carries callers' traffic: a listener, the request core and
// the connections to targets. Shares nothing with the other threads; a newer
// routing snapshot is posted to it.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/log/logger.hpp"
#include "pollenreel/metrics/recorder.hpp"
#include "pollenreel/request/core.hpp"
#include "pollenreel/settings/settings.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace pollenreel::node {

struct traffic_counters {
    std::uint64_t lookups = 0;
    std::uint64_t malformed = 0;
    std::size_t requests_in_flight = 0;
    std::size_t connections = 0;
    request::counters requests;
};

struct traffic_options {
    settings::settings settings;
    std::uint64_t seed = 0;
    // First part of every request id; differs between threads and restarts.
    std::string request_id_prefix;
    request::thread_position place; // among the instance's traffic threads
};

class traffic_thread {
public:
    traffic_thread(traffic_options options, const base::clock& clock,
                   log::logger log);
    traffic_thread(const traffic_thread&) = delete;
    traffic_thread& operator=(const traffic_thread&) = delete;
    ~traffic_thread();

    // Listens and starts the thread. Fails when the port cannot be had.
    [[nodiscard]] base::result<void> start();

    // From any thread.
    void publish(routing::snapshot_ptr s);
    void publish(shift::allowances_ptr a);
    // What was sent where since the previous call.
    [[nodiscard]] shift::traffic_report take_traffic();
    // Stops listening; requests under way are answered; then the thread ends.
    void stop();
    [[nodiscard]] traffic_counters counters() const;
    [[nodiscard]] metrics::readings readings() const;

    void join();
    // Processor time that the thread has used; from any thread while it runs.
    [[nodiscard]] std::chrono::nanoseconds processor_time() const;

private:
    class loop;
    std::unique_ptr<loop> m_loop;
};

} // namespace pollenreel::node
