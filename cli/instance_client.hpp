// Calls the operators' listener of the first instance that can be reached.
#pragma once

#include "cli/exit_code.hpp"
#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/http/message.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <string>
#include <vector>

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
    // `to` names at least one.
    instance_client(std::vector<base::endpoint> to, credentials who);

    // Sends and waits, with progress on standard error. Goes on to the next
    // instance only when the one before provably received nothing.
    [[nodiscard]] reply call(std::string method, std::string path,
                             std::string body) const;
    [[nodiscard]] const std::string& command_id() const {
        return m_who.command_id;
    }

private:
    [[nodiscard]] reply call_one(const base::endpoint& to,
                                 const http::request& r) const;

    std::vector<base::endpoint> m_to;
    credentials m_who;
};

} // namespace pollenreel::cli
