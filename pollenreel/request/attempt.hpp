// One attempt to have a target run a request, as a state machine. It is the
// single owner of the question "may this attempt have reached the target?":
// the shell writes nothing until the machine says `send`, and from then on
// the attempt counts as one that may have run.
//
//   attempt a;
//   if (a.on_connected() == attempt::step::send) { ... }
#pragma once

#include "pollenreel/request/types.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace pollenreel::request {

// The load that a target tells in an answer.
struct target_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // How long work takes on its machine at this moment; 100 is usual.
    std::uint32_t slowdown_percent = 100;
};

// What a target's whole answer says about itself.
struct response_info {
    unsigned status = 0;
    bool shed = false;       // refused in the way documented as not run
    bool id_matches = false; // echoed the request id that it was sent
    std::uint64_t bytes = 0; // head and body
    bool intact = true;      // has what a target's own answers have
    // Another target has the address; it did not run the request.
    bool wrong_target = false;
    std::optional<target_load> load = std::nullopt;
    // How long the target keeps an idle connection open.
    std::optional<std::chrono::milliseconds> keep_alive = std::nullopt;
};

class attempt {
public:
    enum class phase { connecting, sent, finished };
    enum class step {
        nothing, // the event came too late to matter
        send,    // write the request now
        forward, // the target's answer is the request's answer
        fail,    // the attempt is over; `failure()` says how
    };

    [[nodiscard]] phase current_phase() const { return m_phase; }
    // How the attempt failed; meaningful after a step of `fail`.
    [[nodiscard]] const refusal& failure() const { return m_failure; }

    step on_connected();
    step on_connect_failed();
    step on_response(const response_info& facts);
    // The connection broke, or the answer was malformed or cut short.
    step on_connection_lost();
    // The deadline passed, the caller left, or the instance gives up: `why`.
    step on_cancel(reason why);

private:
    step fail(outcome o, reason why);

    phase m_phase = phase::connecting;
    refusal m_failure;
};

} // namespace pollenreel::request
