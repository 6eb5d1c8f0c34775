#include "pollenreel/relay/client.hpp"

#include "pollenreel/http/error.hpp"
#include "pollenreel/relay/codec.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace pollenreel::relay {

namespace {

// Within a region, connecting takes a few milliseconds.
constexpr std::chrono::milliseconds connect_timeout{300};
// Leaves room for several values of the store's largest size, a megabyte.
constexpr http::limits response_limits{8 * 1024, 8ULL * 1024 * 1024};

// A fetch whose bytes keep coming ends after so many times its time-out.
constexpr int max_fetch_timeouts = 4;

base::result<fleet::relayed_value>
fetched(const base::result<http::response>& r) {
    if (!r) {
        return r.error();
    }
    if (auto value = decode_fetched(r.value())) {
        return std::move(*value);
    }
    return base::failure{http::make_error_code(http::error::malformed_message),
                         "status " + std::to_string(r.value().status)};
}

} // namespace

client::client(boost::asio::io_context& io, const base::clock& clock)
    : m_clock(clock), m_client(io, response_limits, connect_timeout) {}

void client::poll(const base::endpoint& at, const fleet::relay_request& request,
                  std::chrono::milliseconds timeout,
                  response_handler on_response) {
    m_client.call(
        at, encode(request), timeout,
        [this, number = ++m_poll_number, asked_at = m_clock.boot_now(),
         on_response =
             std::move(on_response)](const base::result<http::response>& r) {
            if (number != m_poll_number) {
                return;
            }
            auto response = r ? decode_response(r.value()) : std::nullopt;
            if (response) {
                response->asked_at = asked_at;
                if (response->confirmed_after) {
                    // Whatever the relay's clock says.
                    response->confirmed_after =
                        std::min(*response->confirmed_after,
                                 std::chrono::floor<std::chrono::milliseconds>(
                                     m_clock.boot_now() - asked_at));
                }
            }
            on_response(response);
        });
}

void client::fetch(const base::endpoint& at,
                   const fleet::value_request& request,
                   std::chrono::milliseconds timeout,
                   fetch_handler on_fetched) {
    http::answer_terms terms;
    terms.body_time = {timeout, max_fetch_timeouts * timeout};
    m_client.call(
        at, encode(request), timeout,
        [on_fetched = std::move(on_fetched)](
            const base::result<http::response>& r) { on_fetched(fetched(r)); },
        std::move(terms));
}

std::string_view failure_reason(const std::optional<fleet::relay_response>& a,
                                std::chrono::milliseconds max_age) {
    if (!a) {
        return "no answer";
    }
    switch (a->status) {
    case fleet::relay_status::behind:
        return "behind";
    case fleet::relay_status::not_watching:
        return "not watching";
    case fleet::relay_status::store_lost:
        return "store lost";
    case fleet::relay_status::current:
        break;
    }
    return a->age > max_age ? "response too old" : "role changed";
}

} // namespace pollenreel::relay
