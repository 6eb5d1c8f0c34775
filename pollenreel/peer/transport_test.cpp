#include "pollenreel/peer/transport.hpp"

#include "pollenreel/peer/codec.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>
#include <zmq.hpp>

#include <functional>
#include <string>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;

base::endpoint free_address(boost::asio::io_context& io) {
    using boost::asio::ip::tcp;
    const tcp::acceptor a(io, {boost::asio::ip::address_v4::loopback(), 0});
    return {"127.0.0.1", a.local_endpoint().port()};
}

// Runs until `done` or, at most, 10 s. Returns whether `done` held.
bool run_until(boost::asio::io_context& io, const std::function<bool()>& done) {
    for (int i = 0; i < 200 && !done(); ++i) {
        io.restart();
        io.run_for(50ms);
    }
    return done();
}

peer::message sample_message() {
    return peer::news{base::instance_id("b"), {}};
}

// A plain ZeroMQ socket connected to `to`, with `keys` if any.
zmq::socket_t raw_client(zmq::context_t& context, const base::endpoint& to,
                         const std::optional<peer::curve_keys>& keys) {
    zmq::socket_t s(context, zmq::socket_type::push);
    s.set(zmq::sockopt::linger, 0);
    if (keys) {
        s.set(zmq::sockopt::curve_serverkey, keys->fleet_public_key);
        s.set(zmq::sockopt::curve_publickey, keys->public_key);
        s.set(zmq::sockopt::curve_secretkey, keys->secret_key);
    }
    s.connect("tcp://" + to.str());
    return s;
}

} // namespace

TEST_CASE("only peers with the fleet's keys are accepted") {
    const auto fleet = *peer::make_curve_keys();
    const auto other_fleet = *peer::make_curve_keys();
    auto own_pair = other_fleet; // knows only the fleet's public key
    own_pair.fleet_public_key = fleet.fleet_public_key;
    struct row {
        const char* name;
        std::optional<peer::curve_keys> keys;
        bool accepted;
    };
    const row rows[] = {
        {"the fleet's keys", fleet, true},
        {"a key pair of its own", own_pair, false},
        {"keys of another fleet", other_fleet, false},
        {"no keys", std::nullopt, false},
    };
    for (const auto& r : rows) {
        INFO(std::string(r.name));
        boost::asio::io_context io;
        int received = 0;
        const auto address = free_address(io);
        peer::transport listening(io, address, fleet,
                                  [&](const peer::message&) { ++received; });
        REQUIRE(listening.start());
        peer::transport client(io, free_address(io), r.keys,
                               [](const peer::message&) {});
        client.send(address, sample_message());
        CHECK(run_until(io, [&] {
            return received > 0 || listening.counters().refused > 0;
        }));
        CHECK((received > 0) == r.accepted);
        CHECK((listening.counters().refused > 0) != r.accepted);
    }
}

TEST_CASE("after bad frames the transport still receives valid messages") {
    const auto fleet = *peer::make_curve_keys();
    for (const bool with_keys : {false, true}) {
        CAPTURE(with_keys);
        const auto keys =
            with_keys ? std::optional<peer::curve_keys>(fleet) : std::nullopt;
        boost::asio::io_context io;
        const auto address = free_address(io);
        int received = 0;
        peer::transport server(io, address, keys,
                               [&](const peer::message&) { ++received; });
        REQUIRE(server.start());
        zmq::context_t context;
        auto bad = raw_client(context, address, keys);
        bad.send(zmq::str_buffer("no message"), zmq::send_flags::none);
        CHECK(run_until(io, [&] { return server.counters().malformed == 1; }));
        const std::string big(peer::max_message_bytes + 1, 'x');
        bad.send(zmq::buffer(big), zmq::send_flags::none);
        auto good = raw_client(context, address, keys);
        const auto bytes = peer::encode(sample_message());
        good.send(zmq::buffer(bytes), zmq::send_flags::none);
        CHECK(run_until(io, [&] { return received == 1; }));
        CHECK(server.counters().malformed == 1);
    }
}
