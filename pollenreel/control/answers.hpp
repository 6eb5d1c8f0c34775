// The JSON that operators' calls are answered with. Pure.
#pragma once

#include "pollenreel/control/core.hpp"
#include "pollenreel/shift/plan.hpp"

#include <string>
#include <vector>

namespace pollenreel::control {

[[nodiscard]] answer_operator answer(call_id call, const verdict& v);

[[nodiscard]] std::string
status_json(const declarations::configuration& current,
            const peer::member& self, const membership::member_table& members,
            base::time_point now, const feed::feed& feed);

// `progress` of the shifts that this instance knows about; others are shown
// as they were commanded.
[[nodiscard]] answer_operator
shifts_answer(call_id call, const declarations::configuration& current,
              const std::vector<shift::progress>& progress);

[[nodiscard]] answer_operator
history_answer(call_id call, const declarations::configuration& current);

// The difference between `proposed` and what is declared, and every objection
// to it.
[[nodiscard]] answer_operator
plan_answer(call_id call, const declarations::document& proposed,
            const declarations::configuration& current);

} // namespace pollenreel::control
