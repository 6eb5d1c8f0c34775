#include "pollenreel/base/clock.hpp"

#include <ctime>

namespace pollenreel::base {

time_point system_clock::now() const {
    return steady::now();
}

boot_time system_clock::boot_now() const {
    timespec read{};
    ::clock_gettime(CLOCK_BOOTTIME, &read);
    return boot_time(std::chrono::seconds(read.tv_sec) +
                     std::chrono::nanoseconds(read.tv_nsec));
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
