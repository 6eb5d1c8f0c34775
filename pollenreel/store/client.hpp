// Interface to the platform's key-value service. Decision code emits the
// requests of messages.hpp; a client sends them in one wire format.
#pragma once

#include "pollenreel/store/messages.hpp"

#include <functional>
#include <memory>

namespace pollenreel::store {

// An open watch. Destroying it closes the watch, also from its own callback.
class open_watch {
public:
    open_watch() = default;
    open_watch(const open_watch&) = delete;
    open_watch& operator=(const open_watch&) = delete;
    virtual ~open_watch() = default;
    // Whether a part of the next report has arrived, and none of the rest for
    // less than the time-out of a call.
    [[nodiscard]] virtual bool is_receiving() const { return false; }
};

// Runs on one io_context's one thread.
class client {
public:
    using reply_handler = std::function<void(const reply&)>;
    using report_handler = std::function<void(const watch_report&)>;

    client() = default;
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    virtual ~client() = default;

    // Calls `on_reply` with `unreachable` only if the request was not received.
    virtual void call(const request& r, reply_handler on_reply) = 0;
    // Calls `on_report` for each report until `watch_compacted` or
    // `watch_closed`, or until the returned object is destroyed.
    [[nodiscard]] virtual std::unique_ptr<open_watch>
    open(const watch& w, report_handler on_report) = 0;
};

} // namespace pollenreel::store
