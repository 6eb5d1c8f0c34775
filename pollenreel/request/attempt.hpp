// State machine of one attempt to execute a request on a target. It alone
// decides whether the attempt may have reached the target: the caller writes
// nothing until a transition returns `send`, and from then on the request is
// assumed to have possibly been executed.
//
//   attempt a;
//   if (a.on_connected() == attempt::step::send) { ... }
#pragma once

#include "pollenreel/request/types.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace pollenreel::request {

// The load that a target reports in a response.
struct target_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // Current duration of work on the target relative to normal; 100 is normal.
    std::uint32_t slowdown_percent = 100;
};

// Properties of a complete response from a target.
struct response_info {
    unsigned status = 0;
    bool shed = false; // refused with the documented not-run response
    // Echoes the id of the request, or is a refusal that echoes none.
    bool id_matches = false;
    // Echoes the id: a repetition of this response is then recognized.
    bool echoes_id = false;
    std::uint64_t bytes = 0; // header and body
    bool intact = true;      // headers show an unmodified target response
    // A different target now owns the address; it did not execute the request.
    bool wrong_target = false;
    std::optional<target_load> load = std::nullopt;
    // How long the target keeps an idle connection open.
    std::optional<std::chrono::milliseconds> keep_alive = std::nullopt;
    bool departing = false; // the target is leaving and wants no new requests
    // For how long the target wants no requests from this instance.
    std::optional<std::chrono::milliseconds> back_off = std::nullopt;
    // Requests a second that the target accepts from all instances together.
    std::optional<double> rate_limit = std::nullopt;
};

class attempt {
public:
    enum class phase { connecting, sent, finished };
    enum class step {
        nothing, // the event has no effect in this phase
        send,    // write the request
        forward, // pass the response to the caller
        fail,    // the attempt failed; see `failure()`
    };

    [[nodiscard]] phase current_phase() const { return m_phase; }
    // How the attempt failed. Valid only after a step returned `fail`.
    [[nodiscard]] const refusal& failure() const { return m_failure; }

    step on_connected();
    step on_connect_failed();
    step on_response(const response_info& response);
    // The connection broke, or the response was malformed or truncated.
    step on_connection_lost();
    // Cancels the attempt: the deadline passed, the caller disconnected, or the
    // other attempt of the request was answered first.
    step on_cancel(reason cause);

private:
    step fail(outcome o, reason cause);

    phase m_phase = phase::connecting;
    refusal m_failure;
};

} // namespace pollenreel::request
