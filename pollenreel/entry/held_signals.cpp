#include "pollenreel/entry/held_signals.hpp"

#include <pthread.h>

namespace pollenreel::entry {

held_signals::held_signals() {
    sigset_t held;
    sigemptyset(&held);
    sigaddset(&held, SIGHUP);
    sigaddset(&held, SIGTERM);
    sigaddset(&held, SIGINT);
    m_held = ::pthread_sigmask(SIG_BLOCK, &held, &m_before) == 0;
}

void held_signals::release() {
    if (m_held) {
        m_held = false;
        ::pthread_sigmask(SIG_SETMASK, &m_before, nullptr);
    }
}

} // namespace pollenreel::entry
