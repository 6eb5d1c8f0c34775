#include "pollenreel/base/clock.hpp"

namespace pollenreel::base {

time_point system_clock::now() const {
    return steady::now();
}

wall_time system_clock::wall_now() const {
    return std::chrono::system_clock::now();
}

wall_time manual_clock::wall_now() const {
    using std::chrono::duration_cast;
    return wall_time(
        duration_cast<wall_time::duration>(m_now.time_since_epoch()));
}

} // namespace pollenreel::base
