// The one thread that holds control state: it drives the control core with
// the operators' listener, the peers, the platform's store and a timer, and
// stops the instance in order when the process is told to end.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/log/logger.hpp"
#include "pollenreel/node/traffic_thread.hpp"
#include "pollenreel/settings/settings.hpp"

#include <cstdint>
#include <memory>
#include <vector>

namespace pollenreel::node {

class control_thread {
public:
    // `incarnation` is greater than at any earlier start of this instance.
    // `traffic` must outlive this object.
    control_thread(const settings::settings& s, std::uint64_t incarnation,
                   std::vector<traffic_thread*> traffic,
                   const base::clock& clock, log::logger log);
    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;
    ~control_thread();

    // Fails when a listener's port cannot be had.
    [[nodiscard]] base::result<void> start();
    // Runs on the calling thread until SIGTERM or SIGINT, then announces the
    // leave, serves out the time to live of cached look-ups, and lets the
    // traffic threads finish. A second signal ends the process at once.
    void run();

private:
    class loop;
    std::unique_ptr<loop> m_loop;
};

} // namespace pollenreel::node
