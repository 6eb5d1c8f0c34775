// UNASKED: a request inside the body of a refused request is run.
//
// A client sends three safe requests on one connection without waiting. The
// third, on a route that the configuration has just removed, is refused before
// its body is read. Once the first answer is out, the entry instance reads the
// body of the refused request as if it were the next request.
#include "harness.h"

namespace {

using namespace review;

std::string configuration(int version, bool with_notes) {
    const auto route = [](const char* name, const char* prefix,
                          const char* kind, const char* service) {
        return json::object{{"name", name},
                            {"path_prefix", prefix},
                            {"kind", kind},
                            {"timeout", "1200ms"},
                            {"target_latency", "400ms"},
                            {"priority", 1},
                            {"service", service},
                            {"max_attempts", 2},
                            {"sticky_sessions", false},
                            {"home_regions", json::array{}}};
    };
    const auto service = [](const char* name) {
        return json::object{{"name", name},
                            {"health_check_path", "/health"},
                            {"connection_limit", 330},
                            {"protocol", "h1"},
                            {"tls", false},
                            {"cold_start", "3s"},
                            {"cold_per_s", 7.6}};
    };
    json::array paths{route("r-browse", "/browse/", "safe", "catalogue"),
                      route("r-orders", "/orders/", "unsafe", "orders")};
    if (with_notes) {
        paths.push_back(route("r-notes", "/notes/", "safe", "catalogue"));
    }
    return json::serialize(json::object{
        {"version", text("r", version)},
        {"services", json::array{service("catalogue"), service("orders")}},
        {"limits", json::object{{"header_bytes", 16384},
                                {"body_bytes", 67108864},
                                {"header_timeout", "3000ms"},
                                {"idle_timeout", "15000ms"}}},
        {"hosts", json::array{json::object{{"host", "shop.example"},
                                           {"paths", std::move(paths)}}}}});
}

std::string request(const std::string& line, const std::string& id,
                    const std::string& body = "") {
    return text(line, " HTTP/1.1\r\nHost: shop.example\r\n",
                "Request-Attempt-Id: ", id, "\r\nDeadline-Remaining: 3000\r\n",
                body.empty() ? ""
                             : text("Content-Length: ", body.size(), "\r\n"),
                "\r\n", body);
}

int play(const surroundings& s) {
    const std::vector<place> zones{{"cairo-a", "cairo"}, {"alex-a", "alex"}};
    const auto work = [](const message& m) {
        return m.target().starts_with("/browse/long") ? 600ms : 60ms;
    };
    store platform;
    upstream catalogue("i-catalogue", "catalogue", "cairo-a", work);
    upstream orders("i-orders", "orders", "cairo-a", work);
    platform.write("op/config", configuration(1, true));
    platform.write(catalogue.key(), catalogue.entry());
    platform.write(orders.key(), orders.entry());
    entry front("front-cairo-a-1", zones.front(), zones, platform.port,
                s.folder);
    if (!eventually([&] { return front.is_ready(); })) {
        return could_not_run;
    }
    if (s.trouble) {
        platform.write("op/config", configuration(2, false));
        note("configuration r2 is written: it removes the route /notes/");
    }
    std::this_thread::sleep_for(4s); // longer than config_propagation

    // What a client has sent, by id.
    std::map<std::string, std::string> sent;
    constexpr int clients = 10;
    int answered = 0;
    for (int i = 0; i < clients; ++i) {
        const auto id = [&](const char* which) { return text(which, "-", i); };
        // The client keeps a note that quotes a message.
        const auto body =
            request(text("POST /orders/", i), id("quoted"), "two crates");
        const std::pair<std::string, std::string> all[] = {
            {id("first"), request("GET /browse/1", id("first"))},
            {id("second"), request("GET /browse/long", id("second"))},
            {id("third"), request(text("PUT /notes/", i), id("third"), body)}};
        std::string bytes;
        for (const auto& [name, one] : all) {
            sent[name] = one;
            bytes += one;
            note("client sends ", name, ": ", one.substr(0, one.find(" HTTP")));
        }
        const int c = connect_to(front.front);
        write_all(c, bytes);
        std::string seen;
        message m;
        for (const auto& [name, one] : all) {
            if (read_message(c, seen, m, 3s) != read_result::whole) {
                note("client gets no answer for ", name);
                break;
            }
            ++answered;
            note("client gets ", m.status(), " for ", name);
        }
        ::close(c);
    }
    std::this_thread::sleep_for(1s);

    int unasked = 0;
    int runs = 0;
    for (auto* u : {&catalogue, &orders}) {
        for (const auto& r : u->runs()) {
            ++runs;
            const auto found = sent.find(r.id);
            const bool asked = found != sent.end() &&
                               found->second.starts_with(r.line) &&
                               found->second.ends_with("\r\n\r\n" + r.body);
            if (!asked) {
                ++unasked;
                say("upstream ", u->id, " ran ", r.id, " (", r.line,
                    "), which no client sent");
            }
        }
    }
    say(answered, " of ", clients * 3, " requests answered, ", runs,
        " runs at upstreams, ", unasked, " of them of requests that no client ",
        "sent");
    if (answered == 0 || front.ended()) {
        return could_not_run;
    }
    return unasked > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    return review::run_case(argc, argv, play);
}
