#include "testing/feed_network.hpp"

#include "pollenreel/peer/codec.hpp"

#include <fmt/format.h>

namespace pollenreel::testing {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tick_period{100};
constexpr std::chrono::microseconds near_delay{500};
constexpr milliseconds store_timeout{500};
// How late the platform's and the members' lists show a death or a start.
constexpr milliseconds membership_lag{1500};
const char* const key = "configuration";

base::endpoint address_of(std::size_t i) {
    return {fmt::format("10.0.{}.{}", i / 250, i % 250 + 1), 7200};
}

std::string encoded(const feed::message& m) {
    return std::visit([](const auto& one) { return peer::encode(one); }, m);
}

} // namespace

feed_network::feed_network(feed_network_options o)
    : m_options(o), m_random(o.seed) {
    m_configuration.declared.fleet_instances = 1;
    for (std::size_t i = 0; i < o.blocks; ++i) {
        m_configuration.declared.client_blocks.push_back(
            {fmt::format("10.{}.{}.0/24", i / 256, i % 256),
             base::failure_domain_id(fmt::format("d{}", i % 7))});
    }
    for (std::size_t d = 0; d < 7; ++d) {
        m_configuration.declared.regions.push_back(
            {base::region_id(fmt::format("r{}", d)),
             {base::failure_domain_id(fmt::format("d{}", d))}});
    }
    commit();
    for (std::size_t i = 0; i < o.regions * o.per_region; ++i) {
        const auto region = i % o.regions;
        node n;
        n.region = region;
        n.self = {base::instance_id(fmt::format("i-{}", i)),
                  base::region_id(fmt::format("r{}", region)), address_of(i)};
        m_by_address[n.self.address] = i;
        m_nodes.push_back(std::move(n));
    }
    for (std::size_t i = 0; i < size(); ++i) {
        start(i);
    }
    tell_members();
}

base::config_version feed_network::commit() {
    const auto number = m_version.value() + 1;
    m_version = base::config_version(number);
    auto& c = m_configuration;
    c.version = m_version;
    c.command = base::command_id(fmt::format("c{}", number));
    c.author = "ops";
    c.summary = fmt::format("drain i-{}", number);
    c.commanded.drained_instances = {
        base::instance_id(fmt::format("i-{}", number))};
    c.recent.push_back(
        {m_version, c.command, c.author, c.summary, c.summary, {}});
    const auto text = declarations::encode(c);
    m_texts[m_version] = text;
    const auto reply =
        m_store.serve(store::compare_and_swap{key, text, m_stored_at}, m_now);
    m_stored_at = std::get<store::swapped>(reply).at;
    tell_watches();
    return m_version;
}

void feed_network::run_for(base::duration d) {
    const auto end = m_now + d;
    while (!m_events.empty() && m_events.top().at <= end) {
        const auto next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.run();
    }
    m_now = end;
}

std::optional<base::duration>
feed_network::run_until_applied(base::config_version v, base::duration most) {
    const auto begin = m_now;
    while (!all_apply(v)) {
        if (m_now - begin >= most) {
            return std::nullopt;
        }
        run_for(milliseconds(1));
    }
    return m_now - begin;
}

void feed_network::kill(std::size_t i) {
    auto& n = m_nodes[i];
    n.up = false;
    ++n.life;
    n.watch.reset();
    later(membership_lag, [this] { tell_members(); });
}

void feed_network::restart(std::size_t i) {
    m_nodes[i].up = true;
    start(i);
    later(membership_lag, [this] { tell_members(); });
}

void feed_network::start(std::size_t i) {
    auto& n = m_nodes[i];
    ++n.life;
    n.applied = {};
    std::vector<base::endpoint> seeds;
    for (std::size_t s = 0; s < std::min<std::size_t>(3, size()); ++s) {
        seeds.push_back(m_nodes[s].self.address);
    }
    n.feed =
        std::make_unique<feed::feed>(n.self, seeds, key, m_random.engine()());
    later(std::chrono::microseconds(m_random.below(100'000)),
          [this, i, life = n.life] { tick(i, life); });
}

void feed_network::tick(std::size_t i, std::uint64_t life) {
    if (m_nodes[i].life != life) {
        return;
    }
    run(i, m_nodes[i].feed->on_tick(m_now));
    later(tick_period, [this, i, life] { tick(i, life); });
}

void feed_network::cut_watches() {
    for (std::size_t i = 0; i < size(); ++i) {
        if (m_nodes[i].watch) {
            m_nodes[i].watch.reset();
            later_on(i, {}, [this](feed::feed& f) {
                return f.on_report(store::watch_closed{}, m_now);
            });
        }
    }
}

bool feed_network::alive(std::size_t i) const {
    return m_nodes[i].up;
}

const feed::feed& feed_network::at(std::size_t i) const {
    return *m_nodes[i].feed;
}

bool feed_network::all_apply(base::config_version v) const {
    return std::all_of(m_nodes.begin(), m_nodes.end(),
                       [&](const auto& n) { return !n.up || n.applied >= v; });
}

std::size_t feed_network::watchers() const {
    return static_cast<std::size_t>(
        std::count_if(m_nodes.begin(), m_nodes.end(), [](const auto& n) {
            return n.up && n.feed->watching();
        }));
}

std::uint64_t feed_network::bytes_of(std::size_t i) const {
    return m_nodes[i].bytes;
}

void feed_network::later(base::duration d, std::function<void()> what) {
    m_events.push({m_now + d, ++m_order, std::move(what)});
}

void feed_network::later_on(std::size_t i, base::duration d,
                            std::function<feed::effects(feed::feed&)> what) {
    later(d, [this, i, life = m_nodes[i].life, what = std::move(what)] {
        if (m_nodes[i].up && m_nodes[i].life == life) {
            run(i, what(*m_nodes[i].feed));
        }
    });
}

void feed_network::run(std::size_t i, const feed::effects& out) {
    for (const auto& e : out) {
        std::visit([&](const auto& one) { run(i, one); }, e);
    }
}

void feed_network::run(std::size_t i, const feed::send& e) {
    const auto bytes = encoded(e.message);
    m_nodes[i].bytes += bytes.size();
    if (const auto* p = std::get_if<feed::push>(&e.message)) {
        m_wholes += p->whole.empty() ? 0 : 1;
    }
    const auto found = m_by_address.find(e.to);
    if (found == m_by_address.end() || apart(i, found->second) ||
        m_random.unit() < m_options.loss) {
        return;
    }
    const int copies = m_random.unit() < m_options.doubling ? 2 : 1;
    for (int c = 0; c < copies; ++c) {
        later_on(found->second, delay(i, found->second),
                 [this, to = found->second, m = e.message,
                  size = bytes.size()](feed::feed& f) {
                     m_nodes[to].bytes += size;
                     return f.on_message(m, m_now);
                 });
    }
}

void feed_network::run(std::size_t i, const feed::take& e) {
    auto& n = m_nodes[i];
    const auto v = e.configuration.version;
    m_reversions += v > n.applied ? 0 : 1;
    m_wrong_texts += n.feed->text() == m_texts[v] ? 0 : 1;
    n.applied = v;
}

void feed_network::run(std::size_t i, const feed::open_watch& e) {
    ++m_store_calls;
    if (!reaches_store(i)) {
        return later_on(i, store_timeout, [this](feed::feed& f) {
            return f.on_report(store::watch_closed{}, m_now);
        });
    }
    m_nodes[i].watch = e.watch;
    later(store_delay, [this] { tell_watches(); });
}

void feed_network::run(std::size_t i, const feed::close_watch&) {
    m_nodes[i].watch.reset();
}

void feed_network::run(std::size_t i, const feed::ask_store& e) {
    ++m_store_calls;
    if (!reaches_store(i) || store_delay > store_timeout) {
        return later_on(i, store_timeout, [this](feed::feed& f) {
            return f.on_reply(store::unanswered{}, m_now);
        });
    }
    later_on(i, store_delay,
             [this, r = m_store.serve(e.request, m_now)](feed::feed& f) {
                 return f.on_reply(r, m_now);
             });
}

void feed_network::tell_members() {
    std::vector<feed::member> live;
    for (const auto& n : m_nodes) {
        if (n.up) {
            live.push_back(n.self);
        }
    }
    for (std::size_t i = 0; i < size(); ++i) {
        if (m_nodes[i].up) {
            run(i, m_nodes[i].feed->on_members(live, m_now));
        }
    }
}

void feed_network::tell_watches() {
    for (std::size_t i = 0; i < size(); ++i) {
        auto& w = m_nodes[i].watch;
        if (!w || silent_watches || !reaches_store(i)) {
            continue;
        }
        for (const auto& r : m_store.report(*w, m_now)) {
            later_on(i, store_delay, [this, r](feed::feed& f) {
                return f.on_report(r, m_now);
            });
            if (std::holds_alternative<store::watch_compacted>(r)) {
                w.reset();
                break;
            }
        }
    }
}

bool feed_network::reaches_store(std::size_t i) const {
    return !store_down && !cut_from_store.contains(m_nodes[i].region);
}

bool feed_network::apart(std::size_t a, std::size_t b) const {
    const auto x = m_nodes[a].region;
    const auto y = m_nodes[b].region;
    return cut_apart.contains({std::min(x, y), std::max(x, y)});
}

base::duration feed_network::delay(std::size_t a, std::size_t b) {
    base::duration d = near_delay;
    if (m_nodes[a].region != m_nodes[b].region) {
        d = m_options.abroad;
    }
    return d + std::chrono::duration_cast<base::duration>(m_options.jitter *
                                                          m_random.unit());
}

} // namespace pollenreel::testing
