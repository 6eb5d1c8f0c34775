// Follows the platform's store: lists the keys once, then watches for
// changes; lists again when the store no longer keeps the history, and tries
// again after failures. Pure: says what to ask, is told what came.
//
//   follower f(options);
//   run(f.start(now));
//   run(f.on_listed(reply, now));
//   run(f.on_watch(report, now));
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/fleet/beliefs.hpp"
#include "pollenreel/fleet/messages.hpp"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pollenreel::fleet {

struct follower_options {
    std::vector<std::string> prefixes; // that are listed
    std::string watched;               // a prefix that covers them all
    // Between two returns of the watch. Longer costs fewer calls; a target's
    // departure is acted on this much later.
    std::chrono::milliseconds watch_interval{};
    std::chrono::milliseconds retry_delay{250};
};

class follower {
public:
    struct list {
        std::string prefix;
    };
    struct watch {
        store::watch request;
    };
    using action = std::variant<list, watch>;
    using actions = std::vector<action>;
    // Told of each change and what it did, for the log.
    using observer = std::function<void(const change&, effect)>;

    follower(follower_options o, decoder d, beliefs& b, observer told);

    [[nodiscard]] actions start(base::time_point now);
    // The answer to the last `list`.
    [[nodiscard]] actions on_listed(const store::reply& r,
                                    base::time_point now);
    // A report of the last `watch`.
    [[nodiscard]] actions on_watch(const store::watch_report& r,
                                   base::time_point now);
    // Another call to the store was answered after calls had failed. A watch
    // that was asked for meanwhile may never be answered: it is asked anew.
    [[nodiscard]] actions on_store_regained(base::time_point now);
    // To be called a few times a second.
    [[nodiscard]] actions tick(base::time_point now);
    [[nodiscard]] bool listing() const { return m_listing.has_value(); }

private:
    actions on(const store::watch_opened&, base::time_point now);
    actions on(const store::watch_changed& r, base::time_point now);
    actions on(const store::watch_compacted&, base::time_point now);
    actions on(const store::watch_cut&, base::time_point now);
    void apply(const store::key_change& c, base::time_point now);
    actions list_next(base::time_point now);
    actions follow();

    follower_options m_options;
    decoder m_decode;
    beliefs& m_beliefs;
    observer m_told;
    std::optional<std::size_t> m_listing; // the prefix that is being listed
    store::revision m_seen{};             // changes up to it are known
    store::revision m_listed_at{};        // of the first prefix of a listing
    std::optional<base::time_point> m_retry_at;
};

} // namespace pollenreel::fleet
