#include "pollenreel/base/failure.hpp"

namespace pollenreel::base {

std::string failure::text() const {
    if (detail.empty()) {
        return code.message();
    }
    return code.message() + ": " + detail;
}

} // namespace pollenreel::base
