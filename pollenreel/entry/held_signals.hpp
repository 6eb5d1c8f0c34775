// Holds back the signals that an entry instance acts on until its handlers
// stand: one that comes while the process starts is neither lost nor ends it.
//
//   entry::held_signals signals; // first in main, before any thread
//   ...
//   signals.release();           // once the handlers stand
#pragma once

#include <csignal>

namespace pollenreel::entry {

class held_signals {
public:
    held_signals();
    held_signals(const held_signals&) = delete;
    held_signals& operator=(const held_signals&) = delete;
    ~held_signals() { release(); }

    // Delivers what came meanwhile. To be called on the constructing thread.
    void release();

private:
    sigset_t m_before{};
    bool m_held = false;
};

} // namespace pollenreel::entry
