#include "pollenreel/request/choose_target.hpp"

#include "pollenreel/base/overloaded.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace pollenreel::request {

namespace {

using target_list = std::vector<const routing::target*>;

// Below this share of cold targets the hot ones are used too: work crowded on
// the few that are left would slow those.
constexpr double min_cold_fraction = 0.5;

// Keeps the candidates that `near` accepts, or all when it accepts none.
template <class Near>
target_list prefer(const target_list& from, Near near) {
    target_list kept;
    std::copy_if(from.begin(), from.end(), std::back_inserter(kept),
                 [&](const auto* t) { return near(*t); });
    return kept.empty() ? from : kept;
}

bool contains(std::span<const base::target_id> ids, const base::target_id& t) {
    return std::find(ids.begin(), ids.end(), t) != ids.end();
}

target_list eligible_targets(const routing::service& service,
                             std::span<const base::target_id> tried) {
    target_list kept;
    for (const auto& t : service.targets) {
        if (t.accepts_new_work && !contains(tried, t.id)) {
            kept.push_back(&t);
        }
    }
    return kept;
}

// What one choice is made from.
struct selection_context {
    const classified_request& request;
    const target_tracker& book;
    base::time_point now;
    base::random& random;
};

const routing::target* least_loaded(const target_list& among,
                                    const target_tracker& book) {
    return *std::min_element(
        among.begin(), among.end(), [&](const auto* a, const auto* b) {
            return std::tuple(book.in_flight(a->id), book.last_used(a->id)) <
                   std::tuple(book.in_flight(b->id), book.last_used(b->id));
        });
}

const routing::target* pick(const round_robin&, const target_list& among,
                            const selection_context& q) {
    return *std::min_element(
        among.begin(), among.end(), [&](const auto* a, const auto* b) {
            return q.book.last_used(a->id) < q.book.last_used(b->id);
        });
}

const routing::target* pick(const two_choices&, const target_list& among,
                            const selection_context& q) {
    const auto* first = among[q.random.below(among.size())];
    const auto* second = among[q.random.below(among.size())];
    const bool second_is_freer =
        q.book.in_flight(second->id) < q.book.in_flight(first->id);
    return second_is_freer ? second : first;
}

const routing::target* pick(const least_in_flight&, const target_list& among,
                            const selection_context& q) {
    return least_loaded(among, q.book);
}

const routing::target* pick(const cold_first&, const target_list& among,
                            const selection_context& q) {
    target_list cold;
    for (const auto* t : among) {
        if (q.request.kind.idempotent && q.book.is_probe_due(t->id, q.now)) {
            return t;
        }
        if (!q.book.is_hot(t->id, q.now)) {
            cold.push_back(t);
        }
    }
    // Slow start: a target with cold caches is passed over more often.
    cold = prefer(cold, [&](const auto& t) {
        const auto warmth = q.book.warmup_fraction(t.id, q.now);
        return warmth >= 1 || q.random.unit() < warmth;
    });
    const auto enough = min_cold_fraction * static_cast<double>(among.size());
    if (static_cast<double>(cold.size()) >= enough) {
        return least_loaded(cold, q.book);
    }
    auto ranked = among;
    std::sort(ranked.begin(), ranked.end(), [&](const auto* a, const auto* b) {
        return q.book.latency_ratio(a->id, q.now) <
               q.book.latency_ratio(b->id, q.now);
    });
    ranked.resize((ranked.size() + 1) / 2);
    return least_loaded(ranked, q.book);
}

} // namespace

filter_result<chosen_target>
choose_target(const classified_request& c, const base::region_id& region,
              const routing::snapshot& s, const target_policy& policy,
              target_tracker& book, const target_constraints& wishes,
              base::time_point now, base::random& random) {
    const auto service = s.services.find(c.service);
    if (service == s.services.end()) {
        return refusal{outcome::not_run, reason::no_target};
    }
    auto among = eligible_targets(service->second, wishes.excluded);
    if (among.empty()) {
        return refusal{outcome::not_run, reason::no_target};
    }
    // Another region's targets would be reached past the caps.
    std::erase_if(among, [&](const auto* t) { return t->region != region; });
    if (among.empty()) {
        return refusal{outcome::not_run, reason::no_target};
    }
    among = prefer(among, [&](const auto& t) {
        return wishes.subset.empty() || contains(wishes.subset, t.id);
    });
    std::erase_if(among, [&](const auto* t) {
        return book.in_flight(t->id) >= wishes.max_in_flight_per_target;
    });
    if (among.empty()) {
        return refusal{outcome::not_run, reason::overloaded};
    }
    among = prefer(among, [&](const auto& t) {
        return contains(wishes.preferred, t.id) && !book.is_hot(t.id, now);
    });
    const selection_context q{c, book, now, random};
    const auto* chosen = std::visit(
        [&](const auto& one) { return pick(one, among, q); }, policy);
    return chosen_target{chosen->id, chosen->address};
}

} // namespace pollenreel::request
