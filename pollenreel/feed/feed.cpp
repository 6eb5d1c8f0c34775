#include "pollenreel/feed/feed.hpp"

#include "pollenreel/base/overloaded.hpp"

#include <algorithm>

namespace pollenreel::feed {

namespace {

// How long an asked peer has before another is asked.
constexpr std::chrono::milliseconds pull_patience{250};
// Most time between acknowledgements of a version that the region's floor
// does not show yet.
constexpr std::chrono::milliseconds most_acknowledgement_backoff{8000};

using declarations::most_configuration_bytes;

} // namespace

feed::feed(member self, std::vector<base::endpoint> seeds, std::string key,
           std::uint64_t seed)
    : m_self(std::move(self)), m_seeds(std::move(seeds)), m_random(seed),
      m_follower(std::move(key), m_random.engine()()) {
    std::erase(m_seeds, m_self.address);
}

effects feed::on_members(std::vector<member> live, base::time_point now) {
    effects out;
    m_live = std::move(live);
    m_neighbours.clear();
    m_abroad.clear();
    bool present = false;
    for (const auto& m : m_live) {
        if (m.instance == m_self.instance) {
            m_self.region = m.region;
            present = true;
        }
    }
    for (const auto& m : m_live) {
        if (m.instance != m_self.instance) {
            (m.region == m_self.region ? m_neighbours : m_abroad).push_back(m);
        }
    }
    m_acknowledged.keep(m_live);
    m_watchers = watchers_of(m_self.region, m_live);
    const bool chosen =
        present &&
        std::any_of(m_watchers.begin(), m_watchers.end(), [&](const auto& w) {
            return w.instance == m_self.instance;
        });
    if (chosen && !m_follower.following()) {
        run(m_follower.start(now), now, out);
    } else if (!chosen && m_follower.following()) {
        run(m_follower.stop(), now, out);
    }
    speak(now);
    return out;
}

effects feed::offer(const std::string& text, base::time_point now) {
    effects out;
    offer_text(text, source::commit, now, out);
    return out;
}

effects feed::on_message(const message& m, base::time_point now) {
    effects out;
    std::visit([&](const auto& one) { on(one, now, out); }, m);
    return out;
}

effects feed::on_reply(const store::reply& r, base::time_point now) {
    effects out;
    run(m_follower.on_reply(r, now), now, out);
    return out;
}

effects feed::on_report(const store::watch_report& r, base::time_point now) {
    effects out;
    run(m_follower.on_report(r, now), now, out);
    return out;
}

effects feed::on_tick(base::time_point now) {
    effects out;
    run(m_follower.on_tick(now), now, out);
    if (now >= m_next_digest) {
        m_next_digest = now + digest_period;
        m_whole_sends_left = most_whole_sends;
        speak(now);
        send_digests(now, out);
    }
    return out;
}

std::optional<std::chrono::milliseconds>
feed::confirmed_ago(base::time_point now) const {
    const auto own = m_follower.confirmed();
    const auto latest = std::max(own, m_confirmed);
    if (!latest) {
        return std::nullopt;
    }
    return std::chrono::ceil<std::chrono::milliseconds>(now - *latest);
}

void feed::run(store_follower::step s, base::time_point now, effects& out) {
    for (auto& e : s.effects) {
        std::visit([&](auto& one) { out.emplace_back(std::move(one)); }, e);
    }
    for (const auto& text : s.values) {
        offer_text(text, source::watch, now, out);
    }
}

bool feed::offer_text(const std::string& text, source from,
                      base::time_point now, effects& out) {
    auto decoded = declarations::decode(text);
    if (!decoded || decoded.value().version <= m_version) {
        return false;
    }
    push news{m_self.address, decoded.value().version, {}, {}};
    if (m_version != base::config_version()) {
        news.deltas.push_back({m_version, news.version,
                               make_patch(m_text, text), checksum(text)});
        m_log.append(news.deltas.back());
    }
    m_version = news.version;
    m_text = text;
    const bool from_store = from == source::watch || from == source::commit;
    m_confirmed = from_store ? std::optional(now) : std::nullopt;
    out.emplace_back(take{std::move(decoded.value())});
    pass_on(news, from, out);
    acknowledge(now, out);
    return true;
}

// Without deltas the peers learn only that there is a greater version, and
// ask for it.
void feed::pass_on(const push& news, source from, effects& out) {
    const auto near = choose(m_neighbours, fan_out);
    const bool told_by_store = from == source::watch;
    const bool told_near = from == source::peer_of_region;
    const auto far = told_by_store || told_near
                         ? std::vector<member>()
                         : choose(m_abroad, fan_out_abroad);
    for (const auto& m : near) {
        out.emplace_back(send{m.address, news});
    }
    for (const auto& m : far) {
        out.emplace_back(send{m.address, news});
    }
}

void feed::on(const push& m, base::time_point now, effects& out) {
    if (m.version <= m_version) {
        return;
    }
    const bool taken =
        m.whole.empty() ? take_deltas(m, now, out)
                        : offer_text(m.whole, source_of(m.reply_to), now, out);
    if (!taken) {
        ask(m.reply_to, m_version, now, out);
    }
}

bool feed::take_deltas(const push& m, base::time_point now, effects& out) {
    auto version = m_version;
    auto text = m_text;
    for (const auto& d : m.deltas) {
        if (d.from != version) {
            continue;
        }
        auto next = apply_patch(text, d.patch, most_configuration_bytes);
        if (!next || checksum(*next) != d.checksum) {
            ask(m.reply_to, base::config_version(), now, out); // the whole
            return true;
        }
        text = std::move(*next);
        version = d.to;
    }
    return version > m_version &&
           offer_text(text, source_of(m.reply_to), now, out);
}

void feed::on(const pull& m, base::time_point, effects& out) {
    answer(m.reply_to, m.have, out);
}

void feed::on(const digest& m, base::time_point now, effects& out) {
    m_acknowledged.on_applied(m.sender, m.applied);
    for (const auto& f : m.floors) {
        m_acknowledged.on_floor(f, now);
    }
    learn_freshness(m, now);
    if (m.applied > m_version) {
        ask(m.reply_to, m_version, now, out);
    } else if (m.applied < m_version) {
        answer(m.reply_to, m.applied, out);
    }
}

void feed::answer(const base::endpoint& to, base::config_version have,
                  effects& out) {
    if (have >= m_version) {
        return;
    }
    push p{m_self.address, m_version, m_log.since(have), {}};
    if (p.deltas.empty()) {
        if (m_whole_sends_left <= 0) {
            return; // the peer asks again, perhaps another
        }
        --m_whole_sends_left;
        p.whole = m_text;
    }
    out.emplace_back(send{to, std::move(p)});
}

void feed::ask(const base::endpoint& of, base::config_version have,
               base::time_point now, effects& out) {
    if (now < m_next_pull) {
        return;
    }
    m_next_pull = now + pull_patience;
    out.emplace_back(send{of, pull{m_self.address, have}});
}

// Tells the watchers of the region at once what is applied now.
void feed::acknowledge(base::time_point now, effects& out) {
    speak(now);
    m_acknowledgement_backoff = digest_period;
    m_next_acknowledgement = now + digest_period;
    for (const auto& w : m_watchers) {
        if (w.instance != m_self.instance) {
            out.emplace_back(send{w.address, make_digest(now)});
        }
    }
}

void feed::speak(base::time_point now) {
    m_acknowledged.on_applied(m_self.instance, m_version);
    if (!m_watchers.empty() && m_watchers.front().instance == m_self.instance) {
        auto members = m_neighbours;
        members.push_back(m_self);
        m_acknowledged.speak_for(m_self.region, members, m_version, now);
    }
}

// While the region's floor is below the own version the watchers may not have
// heard from here.
bool feed::acknowledges_again(base::time_point now) {
    const auto floor = m_acknowledged.floor_of(m_self.region);
    if (floor.value_or(base::config_version()) >= m_version ||
        now < m_next_acknowledgement) {
        return false;
    }
    m_next_acknowledgement = now + m_acknowledgement_backoff;
    m_acknowledgement_backoff = std::min<base::duration>(
        m_acknowledgement_backoff * 2, most_acknowledgement_backoff);
    return true;
}

digest feed::make_digest(base::time_point now) {
    return {m_self.instance, m_self.address, m_version, confirmed_ago(now),
            m_acknowledged.floors_to_tell(m_self.region, now)};
}

void feed::send_digests(base::time_point now, effects& out) {
    auto to = choose(m_neighbours, 1);
    if (m_neighbours.empty() || m_follower.following()) {
        const auto far = choose(m_abroad, 1);
        to.insert(to.end(), far.begin(), far.end());
    }
    if (acknowledges_again(now)) {
        for (const auto& w : m_watchers) {
            if (w.instance != m_self.instance) {
                to.push_back(w);
            }
        }
    }
    if (to.empty() && !m_seeds.empty()) {
        const auto& seed = m_seeds[m_random.below(m_seeds.size())];
        to.push_back({{}, {}, seed});
    }
    for (const auto& m : to) {
        out.emplace_back(send{m.address, make_digest(now)});
    }
}

void feed::learn_freshness(const digest& m, base::time_point now) {
    if (m.applied == m_version && m.confirmed_ago) {
        m_confirmed = std::max(
            m_confirmed, std::optional<base::time_point>(
                             now - std::max(*m.confirmed_ago,
                                            std::chrono::milliseconds(0))));
    }
}

feed::source feed::source_of(const base::endpoint& peer) const {
    const bool near =
        std::any_of(m_neighbours.begin(), m_neighbours.end(),
                    [&](const auto& m) { return m.address == peer; });
    return near ? source::peer_of_region : source::peer_abroad;
}

std::vector<member> feed::choose(const std::vector<member>& from,
                                 std::size_t count) {
    if (from.size() <= count) {
        return from;
    }
    std::vector<std::size_t> picked;
    std::vector<member> chosen;
    while (chosen.size() < count) {
        const auto i = m_random.below(from.size());
        if (std::find(picked.begin(), picked.end(), i) == picked.end()) {
            picked.push_back(i);
            chosen.push_back(from[i]);
        }
    }
    return chosen;
}

} // namespace pollenreel::feed
