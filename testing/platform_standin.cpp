#include "testing/platform_standin.hpp"

#include "testing/platform_wire.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <memory>

namespace pollenreel::testing {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// How soon a lapsed lease shows in watches.
constexpr std::chrono::milliseconds tick_period{100};

base::time_point now() {
    return base::steady::now();
}

} // namespace

platform_standin::platform_standin(asio::io_context& io,
                                   const base::endpoint& listen)
    : m_io(io), m_listen(listen), m_acceptor(io), m_tick(io) {}

base::result<void> platform_standin::start() {
    try {
        const tcp::endpoint at(asio::ip::make_address_v4(m_listen.host),
                               m_listen.port);
        m_acceptor.open(at.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(at);
        m_acceptor.listen();
    } catch (const boost::system::system_error& e) {
        return base::failure{e.code(), m_listen.str()};
    }
    accept();
    tick();
    return boost::outcome_v2::success();
}

void platform_standin::cut_watches() {
    for (const auto& w : m_watches) {
        w.to->close();
    }
    m_watches.clear();
}

void platform_standin::accept() {
    m_acceptor.async_accept([this](const auto& e, tcp::socket socket) {
        if (!e) {
            serve_connection(std::move(socket), [this](const http::request& r,
                                                       const session_ptr& s) {
                on_request(r, s);
            });
        }
        if (m_acceptor.is_open()) {
            accept();
        }
    });
}

void platform_standin::on_request(const http::request& r,
                                  const session_ptr& s) {
    if (r.path.starts_with("/standin/faults")) {
        return s->answer(200, set_faults(r.path));
    }
    if (r.path == "/standin/calls") {
        return s->answer(200, std::to_string(m_calls));
    }
    if (r.path == "/standin/counts") {
        return s->answer(200, counts());
    }
    ++m_calls;
    ++m_calls_by_path[r.path];
    if (faults.down) {
        return s->stay_silent();
    }
    try {
        serve(r, s);
    } catch (const std::exception&) {
        s->answer(400, R"({"error":"bad request","code":3})");
    }
}

void platform_standin::serve(const http::request& r, const session_ptr& s) {
    if (r.path == "/v3/watch") {
        return open(r, s);
    }
    const auto asked = read_request(r.path, r.body);
    const auto reply = m_model.serve(asked, now());
    auto written = write_reply(asked, reply, m_model.now_at());
    tell_watches();
    if (loses_answer(r)) {
        return s->stay_silent();
    }
    answer(s, written.status, std::move(written.body));
}

void platform_standin::open(const http::request& r, const session_ptr& s) {
    m_watches.push_back({read_watch(r.body), s});
    s->stream(write_report(store::watch_opened{}, m_model.now_at()));
    tell_watches();
}

bool platform_standin::loses_answer(const http::request& r) {
    if (r.path != "/v3/kv/txn") {
        return false;
    }
    if (faults.lose_next > 0) {
        --faults.lose_next;
        return true;
    }
    return faults.lose_answers;
}

void platform_standin::answer(const session_ptr& s, unsigned status,
                              std::string body) {
    if (faults.delay.count() == 0) {
        return s->answer(status, std::move(body));
    }
    auto timer = std::make_shared<asio::steady_timer>(m_io, faults.delay);
    timer->async_wait(
        [timer, s, status, body](const auto&) { s->answer(status, body); });
}

void platform_standin::tell_watches() {
    std::erase_if(m_watches, [](const auto& w) { return w.to->gone(); });
    if (faults.silent_watches || faults.down) {
        return;
    }
    for (auto& w : m_watches) {
        for (const auto& r : m_model.report(w.rest, now())) {
            w.to->stream(write_report(r, m_model.now_at()));
        }
    }
}

void platform_standin::tick() {
    tell_watches();
    m_tick.expires_after(tick_period);
    m_tick.async_wait([this](const auto& e) {
        if (!e) {
            tick();
        }
    });
}

std::string platform_standin::set_faults(const std::string& path) {
    const auto url = boost::urls::parse_origin_form(path);
    if (!url) {
        return "bad path";
    }
    for (const auto& p : url->params()) {
        if (p.key == "down") {
            faults.down = p.value == "1";
        } else if (p.key == "lose_answers") {
            faults.lose_answers = p.value == "1";
        } else if (p.key == "lose_next") {
            faults.lose_next = static_cast<std::uint32_t>(std::stoul(p.value));
        } else if (p.key == "silent_watches") {
            faults.silent_watches = p.value == "1";
        } else if (p.key == "delay_ms") {
            faults.delay = std::chrono::milliseconds(std::stoi(p.value));
        } else if (p.key == "cut_watches") {
            cut_watches();
        } else if (p.key == "lapse_leases") {
            m_model.lapse_leases();
        } else if (p.key == "compact") {
            m_model.compact();
        }
    }
    return "ok";
}

std::string platform_standin::counts() const {
    boost::json::object o{{"calls", m_calls}, {"watches", m_watches.size()}};
    for (const auto& [path, n] : m_calls_by_path) {
        o[path] = n;
    }
    return boost::json::serialize(o);
}

} // namespace pollenreel::testing
