// Which other instances there are, from their heartbeats. Pure.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/peer/message.hpp"

#include <chrono>
#include <map>
#include <vector>

namespace pollenreel::control {

// An instance that was silent this long is not named to callers.
constexpr std::chrono::milliseconds silence_limit{2000};

struct known_member {
    peer::member member;
    base::config_version applied;
    base::time_point last_heard;
};

class member_table {
public:
    explicit member_table(base::instance_id self);

    // A heartbeat received directly. Older incarnations are ignored.
    void on_heartbeat(const peer::heartbeat& h, base::time_point now);

    // Members heard within the silence limit and not leaving.
    [[nodiscard]] std::vector<known_member> usable(base::time_point now) const;
    // All that are or were known, for status.
    [[nodiscard]] const std::map<base::instance_id, known_member>& all() const {
        return m_members;
    }
    // Addresses to send heartbeats to.
    [[nodiscard]] std::vector<base::endpoint> addresses() const;

private:
    void learn(const peer::member& m);

    base::instance_id m_self;
    std::map<base::instance_id, known_member> m_members;
};

} // namespace pollenreel::control
