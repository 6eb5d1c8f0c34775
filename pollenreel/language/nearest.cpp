#include "pollenreel/language/nearest.hpp"

#include <algorithm>
#include <vector>

namespace pollenreel::language {

namespace {

// Longer words are no slips of known ones.
constexpr std::size_t longest_compared = 64;

} // namespace

std::size_t edit_distance(std::string_view a, std::string_view b) {
    using row = std::vector<std::size_t>;
    row before(b.size() + 1);
    row last(b.size() + 1);
    row current(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j) {
        last[j] = j;
    }
    for (std::size_t i = 1; i <= a.size(); ++i) {
        current[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t replace = a[i - 1] == b[j - 1] ? 0 : 1;
            current[j] = std::min(
                {last[j] + 1, current[j - 1] + 1, last[j - 1] + replace});
            if (i > 1 && j > 1 && a[i - 1] == b[j - 2] &&
                a[i - 2] == b[j - 1]) {
                current[j] = std::min(current[j], before[j - 2] + 1);
            }
        }
        std::swap(before, last);
        std::swap(last, current);
    }
    return last[b.size()];
}

std::string_view nearest(std::string_view word,
                         std::span<const std::string_view> known) {
    if (word.empty() || word.size() > longest_compared) {
        return {};
    }
    std::string_view best;
    std::size_t least = std::max<std::size_t>(1, word.size() / 3) + 1;
    for (const auto& candidate : known) {
        const auto distance = edit_distance(word, candidate);
        if (distance < least) {
            least = distance;
            best = candidate;
        }
    }
    return best;
}

} // namespace pollenreel::language
