#include "pollenreel/log/line_writer.hpp"

#include <algorithm>
#include <cerrno>

#include <poll.h>
#include <unistd.h>

namespace pollenreel::log {

namespace {

// A pipe that is ready to be written takes this much without blocking
// (PIPE_BUF of POSIX, as Linux sets it).
constexpr std::size_t most_at_once = 4096;

bool writable(int descriptor) {
    pollfd p{descriptor, POLLOUT, 0};
    return ::poll(&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0;
}

} // namespace

void line_writer::write(std::string_view line) {
    const std::lock_guard guard(m_mutex);
    if (m_held.size() + line.size() > most_held) {
        ++m_dropped;
    } else {
        m_held += line;
    }
    flush_locked();
}

void line_writer::flush() {
    const std::lock_guard guard(m_mutex);
    flush_locked();
}

void line_writer::flush_locked() {
    std::size_t done = 0;
    while (done < m_held.size() && writable(m_descriptor)) {
        const auto count = std::min(most_at_once, m_held.size() - done);
        const auto got = ::write(m_descriptor, m_held.data() + done, count);
        if (got < 0 && errno == EINTR) {
            continue;
        }
        if (got <= 0) {
            break;
        }
        done += static_cast<std::size_t>(got);
    }
    m_held.erase(0, done);
}

std::uint64_t line_writer::dropped() const {
    const std::lock_guard guard(m_mutex);
    return m_dropped;
}

} // namespace pollenreel::log
