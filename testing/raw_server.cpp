#include "testing/raw_server.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace pollenreel::testing {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

// Small enough that a long upload is still being written when an early
// response is read.
constexpr int receive_buffer = 65'536;

std::size_t body_size(const std::string& head) {
    const auto length = field_in(head, "Content-Length");
    return length.empty() ? 0 : std::stoul(length);
}

// Reads `n` bytes of a body, of which some may be there.
void skip_body(tcp::socket& s, std::string& unread, std::size_t n,
               error_code& e) {
    const auto there = std::min(n, unread.size());
    unread.erase(0, there);
    std::string rest(n - there, '\0');
    asio::read(s, asio::buffer(rest), e);
}

void read_to_end(tcp::socket& s) {
    std::array<char, 4096> unused{};
    error_code e;
    while (!e) {
        s.read_some(asio::buffer(unused), e);
    }
}

} // namespace

raw_server::raw_server(script s)
    : m_script(std::move(s)), m_acceptor(m_io, tcp::v4()) {
    m_acceptor.set_option(
        asio::socket_base::receive_buffer_size(receive_buffer));
    m_acceptor.bind({asio::ip::address_v4::loopback(), 0});
    m_acceptor.listen();
    m_acceptor_thread = std::thread([this] { run(); });
}

raw_server::~raw_server() {
    m_ends = true;
    asio::io_context io;
    tcp::socket wakes(io);
    error_code e;
    wakes.connect(m_acceptor.local_endpoint(), e);
    m_acceptor_thread.join();
    {
        const std::lock_guard guard(m_closing);
        for (auto& s : m_sockets) {
            s.shutdown(tcp::socket::shutdown_both, e);
        }
    }
    for (auto& t : m_threads) {
        t.join();
    }
}

base::endpoint raw_server::at() const {
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
}

void raw_server::run() {
    while (true) {
        auto& s = m_sockets.emplace_back(m_io);
        error_code e;
        m_acceptor.accept(s, e);
        if (m_ends) {
            return;
        }
        ++m_accepted;
        m_threads.emplace_back([this, &s] { serve(s); });
    }
}

void raw_server::serve(socket& s) {
    std::string unread;
    while (serve_one(s, unread)) {
    }
    close(s);
}

void raw_server::close(socket& s) {
    const std::lock_guard guard(m_closing);
    error_code e;
    s.close(e);
}

bool raw_server::serve_one(socket& s, std::string& unread) {
    error_code e;
    const auto size =
        asio::read_until(s, asio::dynamic_buffer(unread), "\r\n\r\n", e);
    if (e) {
        return false;
    }
    const auto head = unread.substr(0, size);
    unread.erase(0, size);
    const auto reply = m_script(head);
    if (!reply.is_early) {
        skip_body(s, unread, body_size(head), e);
    }
    asio::write(s, asio::buffer(reply.bytes), e);
    for (const auto& part : reply.parts) {
        std::this_thread::sleep_for(reply.part_gap);
        asio::write(s, asio::buffer(part), e);
    }
    std::this_thread::sleep_for(reply.pause);
    switch (reply.then) {
    case after_reply::keeps:
        if (reply.is_early) {
            skip_body(s, unread, body_size(head), e);
        }
        return !e;
    case after_reply::closes:
        return false;
    case after_reply::half_closes:
        s.shutdown(tcp::socket::shutdown_send, e);
        read_to_end(s);
        return false;
    case after_reply::resets:
        s.set_option(asio::socket_base::linger(true, 0), e);
        return false;
    }
    return false;
}

std::string field_in(const std::string& head, const std::string& name) {
    const auto start = "\r\n" + name + ": ";
    const auto at = head.find(start);
    if (at == std::string::npos) {
        return "";
    }
    const auto from = at + start.size();
    return head.substr(from, head.find("\r\n", from) - from);
}

} // namespace pollenreel::testing
