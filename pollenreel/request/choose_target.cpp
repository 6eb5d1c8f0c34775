#include "pollenreel/request/choose_target.hpp"

#include "pollenreel/base/overloaded.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace pollenreel::request {

namespace {

using target_list = std::vector<const routing::target*>;

// Below this fraction of cold targets, hot ones are used too: concentrating all
// work on the few cold targets would overload them.
constexpr double min_cold_fraction = 0.5;

// The candidates that satisfy `predicate`, or all of them if none does.
template <class Predicate>
target_list prefer(const target_list& candidates, Predicate predicate) {
    target_list matching;
    std::copy_if(candidates.begin(), candidates.end(),
                 std::back_inserter(matching),
                 [&](const auto* t) { return predicate(*t); });
    return matching.empty() ? candidates : matching;
}

bool contains(std::span<const base::target_id> ids, const base::target_id& t) {
    return std::find(ids.begin(), ids.end(), t) != ids.end();
}

target_list eligible_targets(const routing::service& service,
                             std::span<const base::target_id> tried) {
    target_list matching;
    for (const auto& t : service.targets) {
        if (t.accepts_new_work && !contains(tried, t.id)) {
            matching.push_back(&t);
        }
    }
    return matching;
}

// The inputs of one selection.
struct selection_context {
    const classified_request& request;
    const target_tracker& tracker;
    base::time_point now;
    base::random& random;
};

const routing::target* least_loaded(const target_list& candidates,
                                    const target_tracker& tracker) {
    return *std::min_element(candidates.begin(), candidates.end(),
                             [&](const auto* a, const auto* b) {
                                 return std::tuple(tracker.in_flight(a->id),
                                                   tracker.last_used(a->id)) <
                                        std::tuple(tracker.in_flight(b->id),
                                                   tracker.last_used(b->id));
                             });
}

const routing::target* pick(const round_robin&, const target_list& candidates,
                            const selection_context& context) {
    return *std::min_element(candidates.begin(), candidates.end(),
                             [&](const auto* a, const auto* b) {
                                 return context.tracker.last_used(a->id) <
                                        context.tracker.last_used(b->id);
                             });
}

const routing::target* pick(const two_choices&, const target_list& candidates,
                            const selection_context& context) {
    const auto* first = candidates[context.random.below(candidates.size())];
    const auto* second = candidates[context.random.below(candidates.size())];
    const bool second_is_less_loaded = context.tracker.in_flight(second->id) <
                                       context.tracker.in_flight(first->id);
    return second_is_less_loaded ? second : first;
}

const routing::target* pick(const least_in_flight&,
                            const target_list& candidates,
                            const selection_context& context) {
    return least_loaded(candidates, context.tracker);
}

const routing::target* pick(const cold_first&, const target_list& candidates,
                            const selection_context& context) {
    target_list cold;
    for (const auto* t : candidates) {
        if (context.request.kind.idempotent &&
            context.tracker.is_probe_due(t->id, context.now)) {
            return t;
        }
        if (!context.tracker.is_hot(t->id, context.now)) {
            cold.push_back(t);
        }
    }
    // Slow start: a target with cold caches is skipped more often.
    cold = prefer(cold, [&](const auto& t) {
        const auto fraction =
            context.tracker.warmup_fraction(t.id, context.now);
        return fraction >= 1 || context.random.unit() < fraction;
    });
    const auto required =
        min_cold_fraction * static_cast<double>(candidates.size());
    if (static_cast<double>(cold.size()) >= required) {
        return least_loaded(cold, context.tracker);
    }
    auto ranked = candidates;
    std::sort(ranked.begin(), ranked.end(), [&](const auto* a, const auto* b) {
        return context.tracker.latency_ratio(a->id, context.now) <
               context.tracker.latency_ratio(b->id, context.now);
    });
    ranked.resize((ranked.size() + 1) / 2);
    return least_loaded(ranked, context.tracker);
}

} // namespace

filter_result<chosen_target>
choose_target(const classified_request& request, const base::region_id& region,
              const routing::snapshot& snapshot, const target_policy& policy,
              target_tracker& tracker, const target_constraints& constraints,
              base::time_point now, base::random& random) {
    const auto service = snapshot.services.find(request.service);
    if (service == snapshot.services.end()) {
        return refusal{outcome::not_run, reason::no_target};
    }
    auto candidates = eligible_targets(service->second, constraints.excluded);
    if (candidates.empty()) {
        return refusal{outcome::not_run, reason::no_target};
    }
    // Traffic to other regions is capped, and using their targets here would
    // bypass the caps.
    std::erase_if(candidates,
                  [&](const auto* t) { return t->region != region; });
    if (candidates.empty()) {
        return refusal{outcome::not_run, reason::no_target};
    }
    candidates = prefer(candidates, [&](const auto& t) {
        return constraints.subset.empty() || contains(constraints.subset, t.id);
    });
    std::erase_if(candidates, [&](const auto* t) {
        return tracker.in_flight(t->id) >= constraints.max_in_flight_per_target;
    });
    if (candidates.empty()) {
        return refusal{outcome::not_run, reason::overloaded};
    }
    candidates = prefer(candidates, [&](const auto& t) {
        return contains(constraints.preferred, t.id) &&
               !tracker.is_hot(t.id, now);
    });
    const selection_context context{request, tracker, now, random};
    const auto* selected = std::visit(
        [&](const auto& rule) { return pick(rule, candidates, context); },
        policy);
    return chosen_target{selected->id, selected->address};
}

} // namespace pollenreel::request
