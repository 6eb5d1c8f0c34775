// The holder's account of one resource: who may be using how much of it, and
// until when. The sum of all that may be in use never exceeds what the ledger
// may grant, whatever messages are lost, late, doubled or out of order.
//
//   share::ledger l(share::whole);
//   l.set_limit(share::whole);
//   auto share = l.on_ask(who, {sequence, held, want}, now);
//
// A claimant uses at any time at most the greater of what it reported with
// its latest ask and what that ask was granted, for it takes no notice of
// answers to earlier asks. So one record of that maximum for each claimant is
// enough.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/share/messages.hpp"

#include <map>
#include <optional>

namespace pollenreel::share {

class ledger {
public:
    // `pool` is what shares are cut from. `inherited` is the most that
    // earlier epochs may have left in use, until `inherited_until`.
    explicit ledger(ppm pool, ppm inherited = {},
                    base::time_point inherited_until = {});

    // No more than this is in use at once; at most the pool.
    void set_limit(ppm limit) { m_limit = limit; }

    // What a claimant says of itself with one ask.
    struct claim {
        std::uint64_t sequence = 0;
        ppm held;
        ppm demand;
        bool held_from_earlier_epoch = false;
    };

    // The claimant's share from now on; empty for an outdated ask. An ask
    // that is received again gets the same answer.
    [[nodiscard]] std::optional<ppm> on_request(const incarnation_id& claimant,
                                                const claim& claimed,
                                                base::time_point now);

    // The most that may be in use.
    [[nodiscard]] ppm outstanding(base::time_point now) const;
    // The limit that would let every claimant have its fair share.
    [[nodiscard]] ppm desired_limit(base::time_point now) const;

private:
    struct record {
        std::uint64_t sequence = 0;
        ppm demand;
        ppm granted;
        ppm max_in_use; // in use at once
        ppm inherited;  // of it, counted as left by an earlier epoch before
        base::time_point until;
    };

    void remove_expired(base::time_point now);
    // Moves what `r` holds from earlier epochs to its own record. Its earlier
    // word counts no more: that may have been a late one.
    void transfer_inherited(record& r, ppm held);
    // Max-min fair part of the pool (Bertsekas and Gallager, 1992).
    [[nodiscard]] ppm fair_share(ppm demand) const;

    ppm m_pool;
    ppm m_limit;
    ppm m_inherited;
    base::time_point m_inherited_until;
    std::map<incarnation_id, record> m_records;
};

} // namespace pollenreel::share
