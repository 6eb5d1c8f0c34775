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
    explicit ledger(parts pool, parts inherited = {},
                    base::time_point inherited_until = {});

    // No more than this is in use at once; at most the pool.
    void set_limit(parts limit) { m_limit = limit; }

    // What a claimant says of itself with one ask.
    struct claim {
        std::uint64_t sequence = 0;
        parts held;
        parts want;
        bool held_from_earlier_epoch = false;
    };

    // The claimant's share from now on; empty for an outdated ask. An ask
    // that is received again gets the same answer.
    [[nodiscard]] std::optional<parts>
    on_ask(const claimant_id& who, const claim& c, base::time_point now);

    // The most that may be in use.
    [[nodiscard]] parts outstanding(base::time_point now) const;
    // The limit that would let every claimant have its fair share.
    [[nodiscard]] parts desired_limit(base::time_point now) const;

private:
    struct record {
        std::uint64_t sequence = 0;
        parts want;
        parts granted;
        parts most;      // in use at once
        parts inherited; // of it, counted as left by an earlier epoch before
        base::time_point until;
    };

    void forget_ended(base::time_point now);
    // Moves what `r` holds from earlier epochs to its own record. Its earlier
    // word counts no more: that may have been a late one.
    void account_inherited(record& r, parts held);
    // Max-min fair part of the pool (Bertsekas and Gallager, 1992).
    [[nodiscard]] parts fair(parts want) const;

    parts m_pool;
    parts m_limit;
    parts m_inherited;
    base::time_point m_inherited_until;
    std::map<claimant_id, record> m_records;
};

} // namespace pollenreel::share
