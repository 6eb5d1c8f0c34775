// What changes when one declaration replaces another, for a person to read
// before it is committed.
//
//   for (const auto& d : declarations::difference(before, after)) {
//       fmt::print("{}\n", declarations::to_text(d));
//   }
#pragma once

#include "pollenreel/declarations/document.hpp"

#include <string>
#include <vector>

namespace pollenreel::declarations {

enum class change_kind { added, removed, changed };

struct difference_item {
    change_kind kind = change_kind::changed;
    std::string path;   // "services/catalogue/targets/catalogue-01/slots"
    std::string before; // compact JSON; empty when added
    std::string after;  // compact JSON; empty when removed

    friend bool operator==(const difference_item&,
                           const difference_item&) = default;
};

// In the order of the documents' keys. Elements of lists are matched by their
// id, block or pair of regions, so that their order does not count.
[[nodiscard]] std::vector<difference_item> difference(const document& before,
                                                      const document& after);

// "+ path: value", "- path: value" or "~ path: value -> value".
[[nodiscard]] std::string to_text(const difference_item& d);

} // namespace pollenreel::declarations
