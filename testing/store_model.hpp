// The platform's key-value service as a pure value: keys with revisions,
// leases that lapse, and the history that watches are served from. Tests
// drive it in virtual time; platform_standin serves it over HTTP.
//
//   testing::store_model store;
//   auto reply = store.serve(store::read{"k"}, now);
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/store/messages.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace pollenreel::testing {

class store_model {
public:
    [[nodiscard]] store::reply serve(const store::request& r,
                                     base::time_point now);

    // What a watch that is opened or goes on now is to be told, first the
    // changes from `w.from` on. `w.from` is moved past what was told.
    [[nodiscard]] std::vector<store::watch_report> report(store::watch& w,
                                                          base::time_point now);

    // Forgets the history before now, as compaction does.
    void compact();
    // Ends every lease, as if the store had been paused past their time.
    void lapse_leases();
    [[nodiscard]] store::revision now_at() const { return m_revision; }

private:
    struct lease {
        std::chrono::seconds time_to_live;
        base::time_point ends;
    };

    store::reply on(const store::read& r, base::time_point now);
    store::reply on(const store::read_prefix& r, base::time_point now);
    store::reply on(const store::compare_and_swap& r, base::time_point now);
    store::reply on(const store::compare_and_remove& r, base::time_point now);
    store::reply on(const store::grant_lease& r, base::time_point now);
    store::reply on(const store::keep_alive& r, base::time_point now);
    store::reply on(const store::revoke_lease& r, base::time_point now);

    [[nodiscard]] std::optional<store::entry>
    find(const std::string& key) const;
    void remove(const std::string& key);
    void end_lease(store::lease_id id);
    void expire(base::time_point now);

    std::map<std::string, store::entry> m_data;
    std::map<store::lease_id, lease> m_leases;
    std::deque<store::key_change> m_history;
    store::revision m_revision;
    store::revision m_compacted; // history up to here is gone
    store::lease_id m_last_lease;
};

} // namespace pollenreel::testing
