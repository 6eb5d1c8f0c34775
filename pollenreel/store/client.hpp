// The platform's key-value service, as whatever carries calls to it. Decision
// code emits the messages of messages.hpp; a client delivers them over one
// wire format.
#pragma once

#include "pollenreel/store/messages.hpp"

#include <functional>
#include <memory>

namespace pollenreel::store {

// An open watch; closed when destroyed, also from within its callback.
class open_watch {
public:
    open_watch() = default;
    open_watch(const open_watch&) = delete;
    open_watch& operator=(const open_watch&) = delete;
    virtual ~open_watch() = default;
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

    // Delivers `unreachable` only when the request was not received.
    virtual void call(const request& r, reply_handler on_reply) = 0;
    // Delivers reports until `watch_compacted` or `watch_closed`, or until the
    // returned object is destroyed.
    [[nodiscard]] virtual std::unique_ptr<open_watch>
    open(const watch& w, report_handler on_report) = 0;
};

} // namespace pollenreel::store
