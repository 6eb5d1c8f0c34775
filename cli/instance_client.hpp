// Calls one instance's operators' listener.
#pragma once

#include "cli/exit_code.hpp"
#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/http/message.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <string>

namespace pollenreel::cli {

struct credentials {
    std::string token;
    std::string author;
    std::string command_id; // makes changes idempotent
};

// An instance's answer, or why there is none.
struct reply {
    exit_code code = exit_code::done;
    boost::json::value body; // null when there is no answer
    std::string problem;     // empty when there is an answer
};

class instance_client {
public:
    instance_client(base::endpoint to, credentials who);

    // Sends and waits, with progress on standard error.
    [[nodiscard]] reply call(std::string method, std::string path,
                             std::string body) const;
    [[nodiscard]] const std::string& command_id() const {
        return m_who.command_id;
    }

private:
    base::endpoint m_to;
    credentials m_who;
};

} // namespace pollenreel::cli
