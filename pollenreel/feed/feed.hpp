// Brings the configuration to one instance and from there to its peers. Few
// instances of a region watch the store; a new version is pushed along a
// bounded random fan-out (rumour mongering; Demers et al., 1987), as a delta,
// and what pushes miss is repaired by small digests exchanged with one random
// peer at a time. Only greater versions are taken, and only when the checksum
// of the result is right. Pure: one instance's part, driven by its control
// core or by tests.
//
//   feed::feed f({"i-1", "khomas", address}, seeds, key, seed);
//   for (auto& e : f.on_members(live, now)) run(e);
//
// Bounds: each event sends to at most `fan_out + fan_out_abroad +
// watchers_per_region` peers, whatever the fleet's size; the whole
// configuration is sent at most `most_whole_sends` times a digest period.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/base/random.hpp"
#include "pollenreel/declarations/configuration.hpp"
#include "pollenreel/feed/acknowledgements.hpp"
#include "pollenreel/feed/delta_log.hpp"
#include "pollenreel/feed/messages.hpp"
#include "pollenreel/feed/store_follower.hpp"
#include "pollenreel/feed/watchers.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pollenreel::feed {

// Peers of the own region that a new version is pushed to.
constexpr std::size_t fan_out = 4;
// Peers of other regions, unless the version came by the store's watch, which
// tells the other regions too.
constexpr std::size_t fan_out_abroad = 2;
// Trades bytes against how soon what pushes missed is repaired.
constexpr std::chrono::milliseconds digest_period{500};
// Trades a peer's wait against bytes when many ask for the whole at once.
constexpr int most_whole_sends = 4;

struct send {
    base::endpoint to;
    feed::message message;
};
// The configuration that is to be applied from now on.
struct take {
    declarations::configuration configuration;
};
using effect = std::variant<send, take, open_watch, close_watch, ask_store>;
using effects = std::vector<effect>;

class feed {
public:
    feed(member self, std::vector<base::endpoint> seeds, std::string key,
         std::uint64_t seed);

    // The live members, this instance among them unless it is leaving; also
    // when regions change. Before the first call nothing is watched.
    [[nodiscard]] effects on_members(std::vector<member> live,
                                     base::time_point now);
    // An encoded configuration that was accepted or seen in the store.
    [[nodiscard]] effects offer(const std::string& text, base::time_point now);
    [[nodiscard]] effects on_message(const message& m, base::time_point now);
    [[nodiscard]] effects on_reply(const store::reply& r, base::time_point now);
    [[nodiscard]] effects on_report(const store::watch_report& r,
                                    base::time_point now);
    // A heartbeat of `who` showed that it applies `v`.
    void on_applied(const base::instance_id& who, base::config_version v) {
        m_acknowledged.on_applied(who, v);
    }
    // To be called every 100 ms or so.
    [[nodiscard]] effects on_tick(base::time_point now);

    [[nodiscard]] base::config_version applied() const { return m_version; }
    [[nodiscard]] const std::string& text() const { return m_text; }
    [[nodiscard]] bool watching() const { return m_follower.following(); }
    [[nodiscard]] coverage coverage_of(base::config_version v) const {
        return m_acknowledged.of(v, m_live);
    }
    // How long ago `applied` was known to be the newest; empty: never.
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    confirmed_ago(base::time_point now) const;

private:
    enum class source { watch, commit, peer_of_region, peer_abroad };

    void on(const push& m, base::time_point now, effects& out);
    void on(const pull& m, base::time_point now, effects& out);
    void on(const digest& m, base::time_point now, effects& out);
    void run(store_follower::step s, base::time_point now, effects& out);

    // Takes `text` if it decodes to a greater version; passes it on.
    bool offer_text(const std::string& text, source from, base::time_point now,
                    effects& out);
    bool take_deltas(const push& m, base::time_point now, effects& out);
    void pass_on(const push& news, source from, effects& out);
    void acknowledge(base::time_point now, effects& out);
    void speak(base::time_point now);
    [[nodiscard]] bool acknowledges_again(base::time_point now);
    void answer(const base::endpoint& to, base::config_version have,
                effects& out);
    void ask(const base::endpoint& of, base::config_version have,
             base::time_point now, effects& out);
    [[nodiscard]] digest make_digest(base::time_point now);
    void send_digests(base::time_point now, effects& out);
    void learn_freshness(const digest& m, base::time_point now);
    [[nodiscard]] source source_of(const base::endpoint& peer) const;
    // Some distinct members of `from`, at random.
    [[nodiscard]] std::vector<member> choose(const std::vector<member>& from,
                                             std::size_t count);

    member m_self;
    std::vector<base::endpoint> m_seeds;
    base::random m_random;
    store_follower m_follower;
    acknowledgements m_acknowledged;
    std::vector<member> m_live;
    std::vector<member> m_neighbours; // live others of the own region
    std::vector<member> m_abroad;     // live members of other regions
    std::vector<member> m_watchers;   // of the own region
    base::config_version m_version;
    std::string m_text;
    delta_log m_log;
    std::optional<base::time_point> m_confirmed;
    base::time_point m_next_digest;
    base::time_point m_next_pull;
    base::time_point m_next_acknowledgement;
    base::duration m_acknowledgement_backoff = digest_period;
    int m_whole_sends_left = most_whole_sends;
};

} // namespace pollenreel::feed
