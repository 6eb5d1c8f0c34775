#include "pollenreel/relay/exchange_codec.hpp"

#include "proto/relay.pb.h"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace pollenreel::relay {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view report_path = "/exchange/report";
constexpr std::string_view sums_path = "/exchange/sums";
constexpr unsigned http_ok = 200;
// Longer durations are clamped; a wait for credit is far shorter.
constexpr milliseconds max_wire_duration{600'000};

std::uint32_t to_wire_ms(milliseconds d) {
    return static_cast<std::uint32_t>(
        std::clamp(d, milliseconds::zero(), max_wire_duration).count());
}

milliseconds from_wire_ms(std::uint32_t ms) {
    return std::min(milliseconds(ms), max_wire_duration);
}

// `Message` has the fields `usage` and `loads`.
template <class Message>
void add_usage(Message& to, const std::vector<quota::tenant_usage>& usage) {
    for (const auto& u : usage) {
        auto& one = *to.add_usage();
        one.set_tenant(u.tenant);
        one.set_asked(u.asked);
        one.set_admitted(u.admitted);
    }
}

template <class Message>
std::vector<quota::tenant_usage> read_usage(const Message& from) {
    std::vector<quota::tenant_usage> usage;
    usage.reserve(static_cast<std::size_t>(from.usage_size()));
    for (const auto& one : from.usage()) {
        usage.push_back({one.tenant(), one.asked(), one.admitted()});
    }
    return usage;
}

template <class Message>
void add_loads(Message& to, const std::vector<fleet::shared_load>& loads) {
    for (const auto& l : loads) {
        auto& one = *to.add_loads();
        one.set_target(l.target);
        one.set_running(l.running);
        one.set_waiting(l.waiting);
        one.set_slowdown_percent(l.slowdown_percent);
        one.set_age_ms(to_wire_ms(l.age));
        one.set_incarnation(l.incarnation);
    }
}

template <class Message>
std::vector<fleet::shared_load> read_loads(const Message& from) {
    std::vector<fleet::shared_load> loads;
    loads.reserve(static_cast<std::size_t>(from.loads_size()));
    for (const auto& one : from.loads()) {
        loads.push_back({one.target(), one.running(), one.waiting(),
                         one.slowdown_percent(), from_wire_ms(one.age_ms()),
                         one.incarnation()});
    }
    return loads;
}

bool is_plausible(const wire::TenantNews& n) {
    return n.admit_fraction() >= 0 && n.admit_fraction() <= 1 &&
           n.fleet_rate() >= 0 && std::isfinite(n.fleet_rate());
}

template <class Message>
http::request post(std::string_view path, const Message& message) {
    return {"POST", std::string(path), {}, message.SerializeAsString()};
}

} // namespace

http::request encode(const fleet::exchange_report& r) {
    wire::ExchangeReport message;
    message.set_instance(r.usage.instance.str());
    message.set_run(r.usage.run);
    add_usage(message, r.usage.usage);
    message.set_whole(r.usage.whole);
    add_loads(message, r.loads);
    return post(report_path, message);
}

std::optional<fleet::exchange_report> decode_report(const http::request& r) {
    wire::ExchangeReport message;
    if (r.path != report_path || !message.ParseFromString(r.body) ||
        message.instance().empty()) {
        return std::nullopt;
    }
    return fleet::exchange_report{{base::instance_id(message.instance()),
                                   message.run(), read_usage(message),
                                   message.whole()},
                                  read_loads(message)};
}

http::response encode(const fleet::exchange_news& n) {
    wire::ExchangeNews message;
    for (const auto& t : n.usage.tenants) {
        auto& one = *message.add_tenants();
        one.set_tenant(t.tenant);
        one.set_admit_fraction(static_cast<float>(t.admit_fraction));
        one.set_fleet_rate(static_cast<float>(t.fleet_rate));
        one.set_retry_after_ms(to_wire_ms(t.retry_after));
    }
    add_loads(message, n.loads);
    message.set_run(n.run);
    message.set_is_complete(n.usage.is_complete);
    return {http_ok, {}, message.SerializeAsString()};
}

std::optional<fleet::exchange_news> decode_news(const http::response& r) {
    wire::ExchangeNews message;
    if (r.status != http_ok || !message.ParseFromString(r.body) ||
        !std::all_of(message.tenants().begin(), message.tenants().end(),
                     is_plausible)) {
        return std::nullopt;
    }
    fleet::exchange_news news;
    news.usage.tenants.reserve(
        static_cast<std::size_t>(message.tenants_size()));
    for (const auto& one : message.tenants()) {
        news.usage.tenants.push_back({one.tenant(), one.admit_fraction(),
                                      one.fleet_rate(),
                                      from_wire_ms(one.retry_after_ms())});
    }
    news.loads = read_loads(message);
    news.run = message.run();
    news.usage.is_complete = message.is_complete();
    return news;
}

http::request encode_sums_request(const base::region_id& own) {
    wire::ExchangeSumsAsk message;
    message.set_region(own.str());
    return post(sums_path, message);
}

std::optional<base::region_id> decode_sums_request(const http::request& r) {
    wire::ExchangeSumsAsk message;
    if (r.path != sums_path || !message.ParseFromString(r.body) ||
        message.region().empty()) {
        return std::nullopt;
    }
    return base::region_id(message.region());
}

http::response encode(const fleet::exchange_sums& s) {
    wire::ExchangeSums message;
    message.set_region(s.usage.region.str());
    message.set_run(s.usage.run);
    add_usage(message, s.usage.usage);
    add_loads(message, s.loads);
    return {http_ok, {}, message.SerializeAsString()};
}

std::optional<fleet::exchange_sums> decode_sums(const http::response& r) {
    wire::ExchangeSums message;
    if (r.status != http_ok || !message.ParseFromString(r.body) ||
        message.region().empty()) {
        return std::nullopt;
    }
    return fleet::exchange_sums{
        {base::region_id(message.region()), message.run(), read_usage(message)},
        read_loads(message)};
}

} // namespace pollenreel::relay
