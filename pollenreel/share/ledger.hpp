// Tracks how much of one resource each claimant may be using, and until when.
// The total in use never exceeds the ledger's limit, even when messages are
// lost, delayed, duplicated or reordered.
//
//   share::ledger l(share::whole);
//   l.set_limit(share::whole);
//   auto share = l.on_request(claimant, {sequence, held, demand}, now);
//
// A claimant never uses more than the greater of what its latest request
// reported and what that request was granted, because it ignores grants for
// earlier requests. One record of that maximum per claimant is therefore
// sufficient.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/share/messages.hpp"

#include <map>
#include <optional>

namespace pollenreel::share {

class ledger {
public:
    // Shares are allocated from `pool`. At most `inherited` may still be in use
    // from earlier epochs, until `inherited_until`.
    explicit ledger(ppm pool, ppm inherited = {},
                    base::time_point inherited_until = {});

    // Limits the total in use at any time; at most the pool.
    void set_limit(ppm limit) { m_limit = limit; }

    // State that a claimant reports with one request.
    struct claim {
        std::uint64_t sequence = 0;
        ppm held;
        ppm demand;
        bool held_from_earlier_epoch = false;
    };

    // Returns the claimant's new share, or nothing for an outdated request. A
    // duplicate request gets the same answer.
    [[nodiscard]] std::optional<ppm> on_request(const incarnation_id& claimant,
                                                const claim& claimed,
                                                base::time_point now);

    // Returns the most that may be in use.
    [[nodiscard]] ppm outstanding(base::time_point now) const;
    // Returns the limit that would give every claimant its fair share.
    [[nodiscard]] ppm desired_limit(base::time_point now) const;

private:
    struct record {
        std::uint64_t sequence = 0;
        ppm demand;
        ppm granted;
        ppm max_in_use; // at any one time
        ppm inherited;  // part of it that moved here from m_inherited
        base::time_point until;
    };

    void remove_expired(base::time_point now);
    // Moves `held` from the inherited amount to `account`. Replaces what an
    // earlier request of the claimant moved, which may have been outdated.
    void transfer_inherited(record& account, ppm held);
    // Returns the max-min fair share of the pool (Bertsekas and Gallager,
    // 1992).
    [[nodiscard]] ppm fair_share(ppm demand) const;

    ppm m_pool;
    ppm m_limit;
    ppm m_inherited;
    base::time_point m_inherited_until;
    std::map<incarnation_id, record> m_records;
};

} // namespace pollenreel::share
