// One instance's part in being its region's share-holder: it takes the lease
// when it is free, renews it, grants shares while it surely holds it, and
// keeps in the store what it may have granted. Pure: store calls are emitted
// and their replies handed in, one call at a time.
//
//   share::holder h(region, key, me);
//   if (auto call = h.tick(now, candidate)) send(*call);
//   h.on_reply(reply, now);
//   if (auto g = h.on_ask(ask, now)) send(ask.reply_to, *g);
//
// The lease is a key without an expiry in the store. A challenger takes it
// over when it has seen it unchanged for longer than `lease_term` on its own
// clock; the holder counts the same term from before it asked to renew.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/share/lease_record.hpp"
#include "pollenreel/share/ledger.hpp"
#include "pollenreel/store/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace pollenreel::share {

class holder {
public:
    // Shares are cut from `pool` of each resource.
    holder(base::region_id region, std::string key, incarnation_id self,
           ppm pool);

    // The store call that is due, if any. A `candidate` takes a free lease.
    [[nodiscard]] std::optional<store::request> tick(base::time_point now,
                                                     bool candidate);
    void on_reply(const store::reply& r, base::time_point now);

    // Empty while this instance does not surely hold the lease, and for
    // outdated asks.
    [[nodiscard]] std::optional<grant> on_request(const request& a,
                                                  base::time_point now);

    // How far a shift is to have come; told to others once it is stored.
    void set_progress(std::map<base::shift_id, ppm> progress);
    [[nodiscard]] const std::map<base::shift_id, ppm>& progress() const {
        return m_confirmed.progress;
    }

    // Gives the lease up with the next call; grants nothing from now on.
    void release();

    [[nodiscard]] bool holds_lease(base::time_point now) const;
    [[nodiscard]] std::uint64_t epoch() const { return m_confirmed.epoch; }
    // The last known holder, to whom asks go.
    [[nodiscard]] const std::optional<incarnation_id>& known_holder() const {
        return m_known_holder;
    }

private:
    enum class phase { watching, holding };
    enum class store_call { none, read, write };

    [[nodiscard]] store::request write(lease_record r, store::revision expected,
                                       base::time_point now);
    [[nodiscard]] std::optional<store::request> renew(base::time_point now);
    [[nodiscard]] std::optional<store::request> watch(base::time_point now,
                                                      bool candidate);
    [[nodiscard]] lease_record next_record(base::time_point now);
    [[nodiscard]] bool lease_is_free(base::time_point now) const;

    void on(const store::found& r, base::time_point now);
    void on(const store::swapped& r, base::time_point now);
    void on(const store::conflicting& r, base::time_point now);
    void on(const store::unreachable& r, base::time_point now);
    void on(const store::unanswered& r, base::time_point now);
    template <class Other>
    void on(const Other& r, base::time_point now);
    void observe(const std::optional<store::entry>& e, base::time_point now);
    // The stored record is `r`, this instance's own.
    void confirm(const lease_record& r, store::revision at,
                 base::time_point now);
    void begin_epoch(base::time_point now);
    void lower_limits(const std::map<resource_id, ppm>& promised);
    [[nodiscard]] ledger& ledger_of(const resource_id& r);

    base::region_id m_region;
    std::string m_key;
    incarnation_id m_self;
    ppm m_pool;

    phase m_phase = phase::watching;
    store_call m_pending_call = store_call::none;
    bool m_releasing = false;
    bool m_write_in_doubt =
        false; // a write is in doubt: read before anything else

    // What the store holds as last seen, and since when it is unchanged.
    std::optional<store::entry> m_observed;
    bool m_has_observed = false;
    base::time_point m_unchanged_since;
    std::optional<incarnation_id> m_known_holder;

    lease_record m_confirmed;    // as stored, while holding
    lease_record m_last_written; // the latest that was sent
    lease_record m_replaced;     // what the latest takeover replaces
    // The least that any record promises which may be the stored one.
    std::map<resource_id, ppm> m_limits;
    store::revision m_revision;
    base::time_point m_lease_until;
    // When the earliest write was asked for that is not yet confirmed.
    std::optional<base::time_point> m_unconfirmed_since;
    std::optional<base::time_point> m_last_write;
    std::optional<base::time_point> m_last_read;
    std::uint64_t m_last_renewal = 0;

    std::map<base::shift_id, ppm> m_progress; // to be stored
    std::map<resource_id, ledger> m_ledgers;
};

} // namespace pollenreel::share
