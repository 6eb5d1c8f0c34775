// Makes blocks of clients by a seed, for tests and measures: a mixture of
// lengths between /16 and /28 in ascending order without overlap, neighbours
// mostly of one site.
#pragma once

#include "pollenreel/base/random.hpp"
#include "pollenreel/client_block/table.hpp"

#include <vector>

namespace pollenreel::client_block {

// `count` of at most three million blocks over `sites` sites.
[[nodiscard]] std::vector<block> generate(std::size_t count, site_index sites,
                                          base::random& random);

} // namespace pollenreel::client_block
