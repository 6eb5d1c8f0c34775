// A fleet of membership machines in virtual time, over a network that loses,
// delays, doubles and reorders messages by a seed, for tests and measures.
//
//   testing::membership_fleet f({.size = 48, .regions = 3, .seed = 1});
//   f.run_for(std::chrono::seconds(10));
#pragma once

#include "pollenreel/membership/core.hpp"
#include "pollenreel/peer/codec.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <variant>
#include <vector>

namespace pollenreel::testing {

struct fleet_options {
    std::size_t size = 12;
    std::size_t regions = 3; // of two failure domains each
    std::uint64_t seed = 1;
    double loss = 0;
    double doubling = 0;
    std::chrono::milliseconds jitter{0}; // reorders
    std::chrono::microseconds within_region{500};
    std::chrono::milliseconds between_regions{35};
    bool measured = false; // encodes messages, to count their bytes
    bool joined = false;   // all know all from the start
};

struct fleet_node {
    peer::member self;
    std::size_t region = 0;
    std::unique_ptr<membership::core> core;
    bool alive = true;
    bool paused = false;
    std::vector<peer::message> held; // arrived while paused
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
};

class membership_fleet {
public:
    explicit membership_fleet(fleet_options o)
        : m_options(o), m_random(o.seed) {
        for (std::size_t i = 0; i < o.size; ++i) {
            add(i);
        }
        if (o.joined) {
            introduce_all();
        }
    }

    fleet_node& node(std::size_t i) { return m_nodes[i]; }
    [[nodiscard]] base::time_point now() const { return m_now; }
    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }

    void run_for(base::duration time) {
        const auto end = m_now + time;
        while (!m_queue.empty() && m_queue.top().at <= end) {
            auto next = m_queue.top();
            m_queue.pop();
            m_now = next.at;
            deliver(next);
        }
        m_now = end;
    }
    // Runs until `done`, looked at every 100 ms; gives the time it took, or
    // `limit` if that passed first.
    base::duration run_until(base::duration limit,
                             const std::function<bool()>& done) {
        const auto start = m_now;
        while (!done() && m_now - start < limit) {
            run_for(std::chrono::milliseconds(100));
        }
        return m_now - start;
    }

    void kill(std::size_t i) { m_nodes[i].alive = false; }
    void restart(std::size_t i) {
        auto& n = m_nodes[i];
        n.self.incarnation += 1'000'000;
        n.alive = true;
        n.paused = false;
        n.held.clear();
        start(n, i);
    }
    void pause(std::size_t i) { m_nodes[i].paused = true; }
    void resume(std::size_t i) {
        auto& n = m_nodes[i];
        n.paused = false;
        auto held = std::move(n.held);
        n.held.clear();
        for (auto& m : held) {
            hand_over(n, m);
        }
    }
    void set_loss(double loss) { m_options.loss = loss; }
    // Cuts a region off from all others, or joins it again.
    void cut(std::size_t region) { m_cut.insert(region); }
    void heal(std::size_t region) { m_cut.erase(region); }
    // A planned stop begins.
    void leave(std::size_t i) { m_nodes[i].core->set_leaving(true, m_now); }

    // Whether `by` would name `of` to callers.
    [[nodiscard]] bool names(std::size_t by, std::size_t of) const {
        const auto* e =
            m_nodes[by].core->members().find(m_nodes[of].self.instance);
        return e != nullptr && membership::is_usable(*e);
    }
    // How many running nodes name `of`.
    [[nodiscard]] std::size_t namers(std::size_t of) const {
        std::size_t n = 0;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            const auto& by = m_nodes[i];
            n += i != of && by.alive && !by.paused && names(i, of) ? 1 : 0;
        }
        return n;
    }
    // Whether every running node names exactly the running ones.
    [[nodiscard]] bool agreed() const {
        const auto running = static_cast<std::size_t>(
            std::count_if(m_nodes.begin(), m_nodes.end(),
                          [](const auto& n) { return n.alive && !n.paused; }));
        const auto first =
            std::find_if(m_nodes.begin(), m_nodes.end(),
                         [](const auto& n) { return n.alive && !n.paused; });
        const auto view = first->core->members().digest();
        const bool same_view =
            std::all_of(first, m_nodes.end(), [&](const auto& n) {
                return !n.alive || n.paused ||
                       n.core->members().digest() == view;
            });
        return same_view && names_only_running(*first) &&
               first->core->usable_members().size() == running;
    }

private:
    struct item {
        base::time_point at;
        std::uint64_t order = 0;
        std::size_t to = 0;
        std::uint64_t start = 0; // of the node that a tick belongs to
        std::shared_ptr<const peer::message> message; // null: a tick

        friend bool operator<(const item& a, const item& b) {
            return std::tie(b.at, b.order) < std::tie(a.at, a.order);
        }
    };

    void add(std::size_t i) {
        fleet_node n;
        n.region = i % m_options.regions;
        n.self = {base::instance_id(fmt::format("node-{:04}", i)),
                  base::failure_domain_id(
                      fmt::format("region-{}-{}", n.region,
                                  i / m_options.regions % 2 == 0 ? 'a' : 'b')),
                  {"10.0.0.1", static_cast<std::uint16_t>(i + 1)},
                  {"10.0.0.2", static_cast<std::uint16_t>(i + 1)},
                  1,
                  false};
        m_nodes.push_back(std::move(n));
        start(m_nodes.back(), i);
    }

    void start(fleet_node& n, std::size_t i) {
        std::vector<base::endpoint> seeds;
        for (std::size_t s = 0; s < std::min<std::size_t>(3, m_options.size);
             ++s) {
            seeds.push_back({"10.0.0.2", static_cast<std::uint16_t>(s + 1)});
        }
        std::erase(seeds, n.self.peer_address);
        n.core = std::make_unique<membership::core>(
            n.self, seeds, m_random.below(1U << 30U), m_now);
        membership::region_map regions;
        for (std::size_t r = 0; r < m_options.regions; ++r) {
            for (const auto* half : {"a", "b"}) {
                regions.emplace(base::failure_domain_id(
                                    fmt::format("region-{}-{}", r, half)),
                                base::region_id(fmt::format("region-{}", r)));
            }
        }
        n.core->set_regions(regions);
        push(m_now + std::chrono::microseconds(m_random.below(100'000)), i,
             n.self.incarnation, nullptr);
    }

    void introduce_all() {
        peer::news everyone;
        for (const auto& n : m_nodes) {
            everyone.gossip.updates.push_back({n.self, {}});
        }
        membership::outbox none;
        for (auto& n : m_nodes) {
            everyone.sender = n.self.instance;
            n.core->receive(everyone, m_now, none);
        }
    }

    void push(base::time_point at, std::size_t to, std::uint64_t start,
              std::shared_ptr<const peer::message> m) {
        m_queue.push({at, ++m_order, to, start, std::move(m)});
    }

    void deliver(const item& next) {
        auto& n = m_nodes[next.to];
        if (next.message == nullptr) {
            if (!n.alive || next.start != n.self.incarnation) {
                return;
            }
            push(m_now + std::chrono::milliseconds(100), next.to, next.start,
                 nullptr);
            if (!n.paused) {
                membership::outbox out;
                n.core->tick(m_now, out);
                send(n, out);
            }
        } else if (n.alive && n.paused) {
            n.held.push_back(*next.message);
        } else if (n.alive) {
            hand_over(n, *next.message);
        }
    }

    void hand_over(fleet_node& n, const peer::message& m) {
        membership::outbox out;
        std::visit(
            [&](const auto& one) {
                if constexpr (requires { n.core->receive(one, m_now, out); }) {
                    n.core->receive(one, m_now, out);
                }
            },
            m);
        send(n, out);
    }

    void send(fleet_node& from, membership::outbox& out) {
        for (auto& o : out) {
            ++from.messages;
            if (m_options.measured) {
                from.bytes += peer::encode(o.message).size();
            }
            const std::size_t to = o.to.port - std::size_t{1};
            const auto& node = m_nodes[to];
            const bool apart =
                node.region != from.region &&
                (m_cut.contains(node.region) || m_cut.contains(from.region));
            if (apart || m_random.unit() < m_options.loss) {
                continue;
            }
            const auto m =
                std::make_shared<const peer::message>(std::move(o.message));
            push(arrival(from, node), to, 0, m);
            if (m_random.unit() < m_options.doubling) {
                push(arrival(from, node), to, 0, m);
            }
        }
    }

    base::time_point arrival(const fleet_node& from, const fleet_node& to) {
        base::duration late{};
        if (m_options.jitter.count() > 0) {
            late = std::chrono::microseconds(m_random.below(
                static_cast<std::uint64_t>(m_options.jitter.count()) * 1000));
        }
        if (from.region == to.region) {
            return m_now + m_options.within_region + late;
        }
        return m_now + m_options.between_regions + late;
    }

    [[nodiscard]] bool names_only_running(const fleet_node& n) const {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& o) {
            const auto* e = n.core->members().find(o.self.instance);
            const bool named = e != nullptr && membership::is_usable(*e);
            return named == (o.alive && !o.paused);
        });
    }

    fleet_options m_options;
    base::random m_random;
    base::time_point m_now{std::chrono::hours(1)};
    std::vector<fleet_node> m_nodes;
    std::priority_queue<item> m_queue;
    std::set<std::size_t> m_cut;
    std::uint64_t m_order = 0;
};

} // namespace pollenreel::testing
