// A small fleet of real processes on loopback: the platform and target
// stand-ins and daemons with settings and declarations written for the run.
// Every process that it started is ended when it goes.
//
//   testing::fleet f({.instances = 3, .targets = 3});
//   f.start();
//   f.kill(0);
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/http/message.hpp"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pollenreel::testing {

struct fleet_options {
    std::size_t instances = 3;
    std::size_t targets = 3;
    std::chrono::milliseconds service_time{5};
    // Two regions, khomas and erongo, take turns among instances and targets.
    bool two_regions = false;
    // Declared for every target in place of stand-ins of their own.
    std::optional<base::endpoint> shared_target{};
};

// One process.
class process {
public:
    process(const std::string& program, const std::vector<std::string>& words,
            const std::filesystem::path& log);
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    ~process(); // kills

    void signal(int number);
    // Waits for the end; the exit code, or 128 + signal.
    int wait();
    // The same, empty while it runs.
    [[nodiscard]] std::optional<int> ended();
    // The most memory that it ever had resident.
    [[nodiscard]] int peak_memory_mb() const;

private:
    class child;
    std::unique_ptr<child> m_child;
};

class fleet {
public:
    explicit fleet(const fleet_options& o);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    ~fleet();

    // Starts everything and waits until version 1 is in force; false when
    // that takes longer than half a minute.
    [[nodiscard]] bool start();

    void start_instance(std::size_t i);
    void signal(std::size_t i, int number);
    int wait(std::size_t i);
    [[nodiscard]] int peak_memory_mb(std::size_t i) const;

    [[nodiscard]] const std::vector<base::endpoint>& callers() const;
    [[nodiscard]] const std::vector<base::endpoint>& operators() const;
    [[nodiscard]] const std::vector<base::endpoint>& peers() const;
    [[nodiscard]] const std::vector<base::endpoint>& targets() const;
    [[nodiscard]] const base::endpoint& platform() const;

    // One operators' call on instance `i`; status 0 when it was not answered.
    [[nodiscard]] http::response command(std::size_t i,
                                         const std::string& text) const;
    [[nodiscard]] std::string log_of(std::size_t i) const;

    static constexpr const char* service = "catalogue";
    static constexpr const char* token = "a-token-for-tests";

private:
    [[nodiscard]] std::string domain_of(std::size_t i) const;
    void write_settings(std::size_t i) const;
    [[nodiscard]] std::string declarations() const;
    [[nodiscard]] bool in_force() const;

    fleet_options m_options;
    std::filesystem::path m_folder;
    base::endpoint m_platform;
    std::vector<base::endpoint> m_callers;
    std::vector<base::endpoint> m_operators;
    std::vector<base::endpoint> m_peers;
    std::vector<base::endpoint> m_targets;
    std::vector<std::unique_ptr<process>> m_standins;
    std::vector<std::unique_ptr<process>> m_daemons;
};

} // namespace pollenreel::testing
