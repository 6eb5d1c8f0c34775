// A few lines of network and store between the feeds of several instances, in
// virtual time: messages are late, lost, doubled and so reordered by a seed;
// regions can be cut from each other or from the store; instances die,
// restart empty and are noticed late.
//
//   testing::feed_network n({.regions = 3, .per_region = 4, .seed = 7});
//   n.commit(); n.run_for(4s); CHECK(n.all_apply(n.committed()));
#pragma once

#include "pollenreel/feed/feed.hpp"
#include "testing/store_model.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <vector>

namespace pollenreel::testing {

struct feed_network_options {
    std::size_t regions = 3;
    std::size_t per_region = 4;
    std::uint64_t seed = 1;
    double loss = 0;                     // of messages between instances
    double doubling = 0;                 // of them
    std::chrono::milliseconds jitter{0}; // most that is added to a delay
    std::chrono::milliseconds abroad{35};
    std::size_t blocks = 0; // of clients declared, for the document's size
};

class feed_network {
public:
    explicit feed_network(feed_network_options o);

    // Adds a change to the stored configuration; its version.
    base::config_version commit();
    [[nodiscard]] base::config_version committed() const { return m_version; }
    void run_for(base::duration d);
    // Runs until all live instances apply `v`; how long, if within `most`.
    [[nodiscard]] std::optional<base::duration>
    run_until_applied(base::config_version v, base::duration most);

    void kill(std::size_t i);
    void restart(std::size_t i); // empty, as a fresh instance
    // Faults that last until they are taken back.
    bool store_down = false;
    std::chrono::milliseconds store_delay{2};
    std::set<std::size_t> cut_from_store;                    // regions
    std::set<std::pair<std::size_t, std::size_t>> cut_apart; // smaller first
    bool silent_watches = false;
    void cut_watches();
    void compact() { m_store.compact(); }

    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }
    [[nodiscard]] bool alive(std::size_t i) const;
    [[nodiscard]] const feed::feed& at(std::size_t i) const;
    [[nodiscard]] base::time_point now() const { return m_now; }
    [[nodiscard]] bool all_apply(base::config_version v) const;
    [[nodiscard]] std::size_t watchers() const;
    // Versions that were taken although not greater than the one before, and
    // texts that are not what was committed under their version.
    [[nodiscard]] std::uint64_t reversions() const { return m_reversions; }
    [[nodiscard]] std::uint64_t wrong_texts() const { return m_wrong_texts; }
    [[nodiscard]] std::uint64_t store_calls() const { return m_store_calls; }
    // Sent and received by instance `i`, as encoded.
    [[nodiscard]] std::uint64_t bytes_of(std::size_t i) const;
    [[nodiscard]] std::uint64_t wholes_sent() const { return m_wholes; }

private:
    struct node {
        feed::member self;
        std::size_t region = 0;
        bool up = true;
        std::uint64_t life = 0; // of which restarts begin another
        std::unique_ptr<feed::feed> feed;
        base::config_version applied;
        std::optional<store::watch> watch;
        std::uint64_t bytes = 0;
    };
    struct event {
        base::time_point at;
        std::uint64_t order = 0;
        std::function<void()> run;
        friend bool operator<(const event& a, const event& b) {
            return std::tie(b.at, b.order) < std::tie(a.at, a.order);
        }
    };

    void start(std::size_t i);
    void tick(std::size_t i, std::uint64_t life);
    void later(base::duration d, std::function<void()> what);
    // Runs `what` on instance `i` if it still lives the same life.
    void later_on(std::size_t i, base::duration d,
                  std::function<feed::effects(feed::feed&)> what);
    void run(std::size_t i, const feed::effects& out);
    void run(std::size_t i, const feed::send& e);
    void run(std::size_t i, const feed::take& e);
    void run(std::size_t i, const feed::open_watch& e);
    void run(std::size_t i, const feed::close_watch& e);
    void run(std::size_t i, const feed::ask_store& e);
    void tell_members();
    void tell_watches();
    [[nodiscard]] bool reaches_store(std::size_t i) const;
    [[nodiscard]] bool apart(std::size_t a, std::size_t b) const;
    [[nodiscard]] base::duration delay(std::size_t a, std::size_t b);

    feed_network_options m_options;
    base::random m_random;
    base::time_point m_now{std::chrono::hours(1)};
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
    store_model m_store;
    declarations::configuration m_configuration;
    base::config_version m_version;
    store::revision m_stored_at;
    std::map<base::config_version, std::string> m_texts;
    std::vector<node> m_nodes;
    std::map<base::endpoint, std::size_t> m_by_address;
    std::uint64_t m_reversions = 0;
    std::uint64_t m_wrong_texts = 0;
    std::uint64_t m_store_calls = 0;
    std::uint64_t m_wholes = 0;
};

} // namespace pollenreel::testing
