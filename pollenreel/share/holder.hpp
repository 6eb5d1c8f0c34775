// Acquires and renews the lease of one region's share holder. While it
// certainly holds the lease it grants shares, and it records in the store what
// it may have granted. Performs no I/O: it returns store calls and receives
// their replies, one call at a time.
//
//   share::holder h(region, key, self, share::leased_pool);
//   if (auto call = h.tick(now, candidate)) send(*call);
//   h.on_reply(reply, now);
//   if (auto g = h.on_request(request, now)) send(request.reply_to, *g);
//
// The lease is a key without an expiry in the store. A challenger takes it over
// after it has seen the key unchanged for longer than `lease_term` on its
// own clock. The holder counts the same duration from before it sent the
// renewal.
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
    // Grants shares of each resource from `pool`.
    holder(base::region_id region, std::string key, incarnation_id self,
           ppm pool);

    // Returns the store call that is due, if any. Only a `candidate` acquires a
    // free lease.
    [[nodiscard]] std::optional<store::request> tick(base::time_point now,
                                                     bool candidate);
    void on_reply(const store::reply& r, base::time_point now);

    // Returns nothing while this instance does not certainly hold the lease,
    // and for outdated requests.
    [[nodiscard]] std::optional<grant> on_request(const request& received,
                                                  base::time_point now);

    // Sets the desired progress of the region's shifts. It is reported to
    // others only after it is stored.
    void set_progress(std::map<base::shift_id, ppm> progress);
    [[nodiscard]] const std::map<base::shift_id, ppm>& progress() const {
        return m_confirmed.progress;
    }

    // Releases the lease with the next call and stops granting immediately.
    void release();

    [[nodiscard]] bool holds_lease(base::time_point now) const;
    [[nodiscard]] std::uint64_t epoch() const { return m_confirmed.epoch; }
    // Last known holder, to which requests are sent.
    [[nodiscard]] const std::optional<incarnation_id>& known_holder() const {
        return m_known_holder;
    }

private:
    enum class phase { watching, holding };
    enum class store_call { none, read, write };

    [[nodiscard]] store::request
    write(lease_record record, store::revision expected, base::time_point now);
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
    void observe(const std::optional<store::entry>& entry,
                 base::time_point now);
    // Handles that the store holds `stored`, a record of this instance.
    void confirm(const lease_record& stored, store::revision at,
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
    bool m_write_in_doubt = false; // read before any other call

    // Latest entry read from the store, and since when it is unchanged.
    std::optional<store::entry> m_observed;
    bool m_has_observed = false;
    base::time_point m_unchanged_since;
    std::optional<incarnation_id> m_known_holder;

    lease_record m_confirmed;    // as stored, while holding
    lease_record m_last_written; // the latest sent
    lease_record m_replaced;     // previous holder's, at the takeover
    // Smallest promise for each resource in any record that the store may hold.
    std::map<resource_id, ppm> m_limits;
    store::revision m_revision;
    base::time_point m_lease_until;
    // When the earliest unconfirmed write was sent.
    std::optional<base::time_point> m_unconfirmed_since;
    std::optional<base::time_point> m_last_write;
    std::optional<base::time_point> m_last_read;
    std::uint64_t m_last_renewal = 0;

    std::map<base::shift_id, ppm> m_progress; // to be stored
    std::map<resource_id, ledger> m_ledgers;
};

} // namespace pollenreel::share
