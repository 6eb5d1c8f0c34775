#include "testing/raw_caller.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pollenreel::testing {

namespace {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

class plain_socket {
public:
    explicit plain_socket(const base::endpoint& to)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(to.port);
        ::inet_pton(AF_INET, to.host.c_str(), &at.sin_addr);
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
        if (::connect(m_socket, reinterpret_cast<const sockaddr*>(&at),
                      sizeof at) != 0) {
            m_state = stream_state::reset;
        }
    }
    plain_socket(const plain_socket&) = delete;
    plain_socket& operator=(const plain_socket&) = delete;
    ~plain_socket() { ::close(m_socket); }

    [[nodiscard]] stream_state state() const { return m_state; }
    [[nodiscard]] const std::string& received() const { return m_received; }

    // Sends and receives what it can within `t`; false if the time is up.
    bool wait(std::string_view& unsent, milliseconds t) {
        pollfd p{m_socket, POLLIN, 0};
        if (!unsent.empty() && !m_send_failed) {
            p.events |= POLLOUT;
        }
        if (::poll(&p, 1, static_cast<int>(t.count())) <= 0) {
            return false;
        }
        if ((p.revents & POLLOUT) != 0) {
            send(unsent);
        }
        if ((p.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
            receive();
        }
        return true;
    }

private:
    void send(std::string_view& unsent) {
        const auto n = ::send(m_socket, unsent.data(), unsent.size(),
                              MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n >= 0) {
            unsent.remove_prefix(static_cast<std::size_t>(n));
        } else if (errno != EAGAIN) {
            // The next read may not report the error again.
            m_send_failed = true;
        }
    }

    void receive() {
        std::array<char, 65'536> bytes{};
        const auto n =
            ::recv(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (n > 0) {
            m_received.append(bytes.data(), static_cast<std::size_t>(n));
        } else if (n == 0) {
            m_state =
                m_send_failed ? stream_state::reset : stream_state::closed;
        } else if (errno != EAGAIN) {
            m_state = stream_state::reset;
        }
    }

    int m_socket;
    stream_state m_state = stream_state::open;
    bool m_send_failed = false;
    std::string m_received;
};

} // namespace

raw_answer call_raw(const base::endpoint& to, const std::string& request,
                    std::string_view method, milliseconds timeout) {
    plain_socket c(to);
    const auto until = steady::now() + timeout;
    std::string_view unsent = request;
    while (true) {
        auto reading = read_response(c.received(), method, c.state());
        const auto left =
            std::chrono::ceil<milliseconds>(until - steady::now());
        if (!std::holds_alternative<unfinished_response>(reading) ||
            c.state() != stream_state::open || left <= milliseconds(0) ||
            !c.wait(unsent, left)) {
            return {std::move(reading), c.state()};
        }
    }
}

} // namespace pollenreel::testing
