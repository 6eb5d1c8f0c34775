// Filter: chooses the region whose targets a request goes to.
#pragma once

#include "pollenreel/request/target_book.hpp"
#include "pollenreel/request/types.hpp"
#include "pollenreel/shift/admission_controller.hpp"

namespace pollenreel::request {

// This instance's own region if the service has a target there that takes new
// work and is not known by `book` to be out of reach; the destination of a
// shift for the part that it moves; another region within its headroom when the
// own one takes no work. Keeps to the allowances of `spender`. Refuses with
// not_run: no_target, overloaded.
[[nodiscard]] filtered<shift::admission>
choose_region(const classified& c, std::uint64_t request_bytes,
              const routing::snapshot& s, const target_book& book,
              shift::admission_controller& spender, base::time_point now);

} // namespace pollenreel::request
