// Tells a person on standard error that the tool is still waiting, once a
// second, from the first second on.
//
//   const cli::progress waiting("waiting for 127.0.0.1:7100");
#pragma once

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace pollenreel::cli {

class progress {
public:
    explicit progress(std::string what);
    progress(const progress&) = delete;
    progress& operator=(const progress&) = delete;
    ~progress();

private:
    void run();

    std::string m_what;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    bool m_done = false;
    std::thread m_thread;
};

} // namespace pollenreel::cli
