// Writes lines to a file descriptor without ever waiting for its reader: what
// does not fit is kept up to a bound, then dropped and counted.
//
//   log::line_writer out(STDOUT_FILENO);
//   out.write("{\"event\":\"started\"}\n");
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace pollenreel::log {

// Safe to use from any thread.
class line_writer {
public:
    // Lines held for a reader that is slow; about two seconds of full volume.
    static constexpr std::size_t most_held = std::size_t{256} * 1024; // bytes

    explicit line_writer(int descriptor) : m_descriptor(descriptor) {}
    line_writer(const line_writer&) = delete;
    line_writer& operator=(const line_writer&) = delete;
    ~line_writer() = default;

    void write(std::string_view line);
    // Writes what is held, as far as the reader takes it.
    void flush();
    [[nodiscard]] std::uint64_t dropped() const;

private:
    void flush_locked();

    int m_descriptor;
    mutable std::mutex m_mutex;
    std::string m_held;
    std::uint64_t m_dropped = 0;
};

} // namespace pollenreel::log
