#include "cli/progress.hpp"

#include <fmt/format.h>

#include <chrono>
#include <cstdio>

namespace pollenreel::cli {

progress::progress(std::string what)
    : m_what(std::move(what)), m_thread([this] { run(); }) {}

progress::~progress() {
    {
        const std::lock_guard guard(m_mutex);
        m_done = true;
    }
    m_ended.notify_one();
    m_thread.join();
}

void progress::run() {
    std::unique_lock lock(m_mutex);
    std::chrono::seconds waited{0};
    const std::chrono::seconds period{1};
    while (!m_ended.wait_for(lock, period, [this] { return m_done; })) {
        waited += period;
        fmt::print(stderr, "{} ({} s)\n", m_what, waited.count());
    }
}

} // namespace pollenreel::cli
