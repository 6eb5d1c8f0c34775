// Explains where a service's traffic goes, from the very snapshot that the
// traffic threads route by. Pure.
#pragma once

#include "pollenreel/control/core.hpp"

namespace pollenreel::control {

// Entry instances in the order in which look-ups name them, and for each
// region its share of the traffic by the standing shifts and the slots that
// take new work.
[[nodiscard]] answer_operator explain(call_id call,
                                      const language::where& query,
                                      const declarations::configuration& c,
                                      const routing::snapshot& s);

// The same with every target, and why it is a candidate or left out; the
// shifts and limits in play; the instances left out of look-ups.
[[nodiscard]] answer_operator explain(call_id call, const language::why& query,
                                      const declarations::configuration& c,
                                      const routing::snapshot& s);

} // namespace pollenreel::control
