// A target on loopback that sends the bytes which a test sets, and counts the
// requests that reached it.
#pragma once

#include "testing/raw_server.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace pollenreel::testing {

// Reads heads of requests as the program under test writes them.
struct target_protocol {
    // What requests are counted by.
    std::function<std::string(const std::string& head)> id_of;
    // Whole lines of fields that belong to a response to the request.
    std::function<std::string(const std::string& head)> fields_for;
};

class scripted_target {
public:
    explicit scripted_target(target_protocol p);

    [[nodiscard]] base::endpoint at() const { return m_server.at(); }
    // To each request from now on; in the bytes "@" stands for the fields that
    // belong to it.
    void send(raw_reply r);
    // The same to requests whose head starts like this; they are not counted.
    void send_to(std::string start, raw_reply r);
    [[nodiscard]] int times_run(const std::string& id);

private:
    raw_reply reply(const std::string& head);

    target_protocol m_protocol;
    std::mutex m_mutex;
    raw_reply m_reply;
    std::map<std::string, raw_reply> m_replies_to;
    std::map<std::string, int> m_ran;
    raw_server m_server; // calls the script as long as it lives
};

} // namespace pollenreel::testing
