// Runs several holders and claimants of one region against a fake store, and
// checks that the shares in use never exceed the cap. Messages are lost,
// delayed, duplicated and reordered; instances are paused, killed and
// restarted; clocks drift; the store is down or loses replies.
#include "pollenreel/base/random.hpp"
#include "pollenreel/share/claimant.hpp"
#include "pollenreel/share/holder.hpp"
#include "pollenreel/share/terms.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using share::ppm;

const base::region_id khomas("khomas");
const auto to_erongo = share::region_pair(khomas, base::region_id("erongo"));
constexpr std::size_t instances = 5;
// Most instances that run at once, including paused ones that were replaced.
constexpr std::uint32_t fleet_instances = 40;

// Probability of each fault, in 1/1000.
struct fault_rates {
    const char* name;
    std::uint64_t lose_message = 0;
    std::uint64_t duplicate_message = 0;
    std::uint64_t delay_message = 0; // by up to 20 minutes
    std::uint64_t pause = 0;         // each second, for up to 20 minutes
    std::uint64_t kill = 0;          // each second
    std::uint64_t lose_reply = 0;    // from the store
    base::duration store_down_from{};
    base::duration store_down_for{};
};

struct node {
    std::unique_ptr<share::claimant> claimant;
    std::unique_ptr<share::holder> holder;
    double clock_rate = 1;
    base::duration paused_until{};
    base::duration replaced_at{};
};

class fleet {
public:
    fleet(const fault_rates& f, std::uint64_t seed)
        : m_faults(f), m_random(seed) {
        for (std::size_t i = 0; i < instances; ++i) {
            start(i);
        }
    }

    // Runs until `d` and returns the largest total of usable shares.
    ppm run(base::duration d) {
        ppm max_usable;
        for (; m_now < d; m_now += 100ms) {
            std::erase_if(m_replaced, [&](const auto& n) {
                return m_now - n.replaced_at > 20min;
            });
            deliver();
            for (std::size_t i = 0; i < instances; ++i) {
                step(i);
            }
            max_usable = std::max(max_usable, usable());
        }
        return max_usable;
    }

    ppm usable() const {
        ppm sum;
        for (const auto& n : m_nodes) {
            if (n.claimant) {
                sum = sum + n.claimant->share_of(to_erongo, local(n)).now;
            }
        }
        for (const auto& n : m_replaced) {
            sum = sum + n.claimant->share_of(to_erongo, local(n)).now;
        }
        return sum;
    }

private:
    struct message {
        base::duration at;
        std::function<void()> deliver;
    };

    base::time_point local(const node& n) const {
        const auto since = std::chrono::duration<double>(m_now) * n.clock_rate;
        return base::time_point(1h) +
               std::chrono::duration_cast<base::duration>(since);
    }
    bool occurs(std::uint64_t of_1000) {
        return of_1000 > 0 && m_random.below(1000) < of_1000;
    }

    void start(std::size_t i) {
        const share::incarnation_id self{
            base::instance_id("i" + std::to_string(i)), ++m_incarnation};
        node n;
        n.claimant = std::make_unique<share::claimant>(
            self, base::endpoint{"127.0.0.1", static_cast<std::uint16_t>(i)},
            share::floor_share(fleet_instances));
        n.claimant->set_demand(to_erongo, share::whole);
        n.holder = std::make_unique<share::holder>(khomas, "k", self,
                                                   share::leased_pool);
        n.clock_rate = 1 + (m_random.unit() - 0.5) * share::max_clock_drift;
        m_nodes[i] = std::move(n);
    }

    void send(base::duration earliest, std::function<void()> f) {
        if (occurs(m_faults.lose_message)) {
            return;
        }
        auto at = m_now + earliest;
        if (occurs(m_faults.delay_message)) {
            at += std::chrono::seconds(m_random.below(1200));
        }
        if (occurs(m_faults.duplicate_message)) {
            m_messages.push_back({at + 2s, f});
        }
        m_messages.push_back({at, std::move(f)});
    }

    void deliver() {
        std::vector<message> ready;
        std::erase_if(m_messages, [&](message& m) {
            const bool now = m.at <= m_now;
            if (now) {
                ready.push_back(std::move(m));
            }
            return now;
        });
        for (auto& m : ready) {
            m.deliver();
        }
    }

    void step(std::size_t i) {
        const bool each_second = m_now % 1s == 0s;
        if (each_second && occurs(m_faults.kill)) {
            // The old process may be paused rather than dead and keeps using
            // its share.
            m_nodes[i].replaced_at = m_now;
            m_replaced.push_back(std::move(m_nodes[i]));
            start(i);
        }
        auto& n = m_nodes[i];
        if (each_second && occurs(m_faults.pause)) {
            n.paused_until = m_now + std::chrono::seconds(m_random.below(1200));
        }
        if (m_now < n.paused_until) {
            return;
        }
        if (const auto call = n.holder->tick(local(n), i < 2)) {
            call_store(i, *call);
        }
        if (const auto request = n.claimant->next_request(khomas, local(n))) {
            send(100ms, [this, request = *request] { on_request(request); });
        }
    }

    // A paused instance handles received messages when it resumes.
    template <class Handle>
    void when_awake(std::size_t i, Handle handle) {
        const auto wakes = m_nodes[i].paused_until;
        if (m_now < wakes) {
            m_messages.push_back({wakes, std::move(handle)});
        } else {
            handle();
        }
    }

    void on_request(const share::request& request) {
        for (std::size_t i = 0; i < 2; ++i) {
            when_awake(i, [this, i, request] {
                auto& n = m_nodes[i];
                if (const auto grant =
                        n.holder->on_request(request, local(n))) {
                    send(100ms, [this, to = request.reply_to.port,
                                 grant = *grant] { on_grant(to, grant); });
                }
            });
        }
    }

    void on_grant(std::size_t i, const share::grant& grant) {
        when_awake(i, [this, i, grant] {
            m_nodes[i].claimant->on_grant(grant, local(m_nodes[i]));
        });
    }

    void call_store(std::size_t i, const store::request& r) {
        const bool down =
            m_now >= m_faults.store_down_from &&
            m_now < m_faults.store_down_from + m_faults.store_down_for;
        auto reply = down ? store::reply(store::unreachable{}) : apply(r);
        if (!down && occurs(m_faults.lose_reply)) {
            reply = store::unanswered{};
        }
        auto* sender = m_nodes[i].holder.get();
        m_messages.push_back({m_now + 100ms, [this, i, sender, reply] {
                                  on_reply(i, sender, reply);
                              }});
    }

    void on_reply(std::size_t i, const share::holder* sender,
                  const store::reply& reply) {
        when_awake(i, [this, i, sender, reply] {
            auto& n = m_nodes[i];
            if (n.holder.get() == sender) {
                n.holder->on_reply(reply, local(n));
            }
        });
    }

    store::reply apply(const store::request& r) {
        const auto* w = std::get_if<store::compare_and_swap>(&r);
        if (w == nullptr) {
            return store::found{m_stored};
        }
        const auto at = m_stored ? m_stored->modified : store::revision{};
        if (w->expected != at) {
            return store::conflicting{m_stored};
        }
        m_stored = store::entry{w->key, w->value, {++m_revision}};
        return store::swapped{{m_revision}};
    }

    fault_rates m_faults;
    base::random m_random;
    base::duration m_now{};
    std::uint64_t m_incarnation = 0;
    std::vector<node> m_nodes{instances};
    std::vector<node> m_replaced;
    std::vector<message> m_messages;
    std::optional<store::entry> m_stored;
    std::int64_t m_revision = 0;
};

} // namespace

TEST_CASE("usable shares never exceed the cap") {
    const fault_rates rows[] = {
        {"no faults"},
        {"lost and duplicated messages", 200, 200, 0},
        {"delayed messages", 50, 50, 200},
        {"paused instances", 0, 0, 0, 2},
        {"killed instances", 0, 0, 0, 0, 2},
        {"lost store replies", 0, 0, 0, 0, 0, 300},
        {"store down", 0, 0, 0, 0, 0, 0, 10min, 10min},
        {"paused and delayed", 50, 50, 200, 2},
        {"killed and lost store replies", 0, 0, 0, 0, 2, 300},
        {"store down and paused", 0, 0, 0, 2, 0, 0, 10min, 10min},
        {"all faults", 100, 100, 100, 2, 2, 200, 10min, 10min},
    };
    for (const auto& r : rows) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            INFO(std::string(r.name));
            CAPTURE(seed);
            fleet f(r, seed);
            CHECK(f.run(40min).value <= share::whole.value);
        }
    }
}

TEST_CASE("usable shares after a start and after store outages") {
    struct row {
        const char* name;
        fault_rates faults;
        base::duration at;
        ppm min_usable;
    };
    const row rows[] = {
        {"the cap shortly after the start", {"none"}, 10s, {950'000}},
        {"the cap at the end of a 10-minute outage",
         {"down", 0, 0, 0, 0, 0, 0, 5min, 10min},
         15min,
         {950'000}},
        {"the floor after a 20-minute outage",
         {"down", 0, 0, 0, 0, 0, 0, 5min, 20min},
         25min,
         {2'000}},
        {"the cap again after the outage",
         {"down", 0, 0, 0, 0, 0, 0, 5min, 20min},
         26min,
         {950'000}},
    };
    for (const auto& r : rows) {
        INFO(std::string(r.name));
        fleet f(r.faults, 1);
        (void)f.run(r.at);
        CHECK(f.usable() >= r.min_usable);
    }
}
