// Log lines and counts about the way of large values: referenced by a relay,
// transferred apart from other changes, decoded.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/base/failure.hpp"
#include "pollenreel/fleet/messages.hpp"
#include "pollenreel/fleet/relay_messages.hpp"
#include "pollenreel/log/logger.hpp"
#include "pollenreel/store/messages.hpp"

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pollenreel::entry {

struct control_counts;

class value_log {
public:
    struct request {
        std::string key;
        base::time_point sent_at;
    };

    // `clock` and `counts` must outlive it.
    value_log(const log::logger& log, const base::clock& clock,
              control_counts& counts)
        : m_log(log), m_clock(clock), m_counts(counts) {}

    void on_references(const std::vector<fleet::key_reference>& all,
                       const base::instance_id& relay,
                       base::time_point last_contact_at);
    void on_read(const request& r, const store::reply& a);
    void on_fetched(const request& r, const base::endpoint& from,
                    const base::result<fleet::relayed_value>& v);

    // Decodes a change and measures it.
    [[nodiscard]] fleet::change decode(const fleet::decoder& with,
                                       const store::key_change& c);
    // Of the change that was decoded last.
    [[nodiscard]] std::chrono::milliseconds decode_time() const {
        return m_decode_time;
    }
    // From its first reference; zero if it came with its value.
    [[nodiscard]] std::chrono::milliseconds transfer_time() const {
        return m_transfer_time;
    }

private:
    void on_transferred(const request& r, std::string_view from,
                        std::size_t bytes, std::string_view problem);
    [[nodiscard]] std::chrono::milliseconds since(base::time_point t) const;

    log::logger m_log;
    const base::clock& m_clock;
    control_counts& m_counts;
    // Keys whose new value is still to be transferred.
    std::map<std::string, base::time_point> m_referenced_at;
    std::chrono::milliseconds m_decode_time{};
    std::chrono::milliseconds m_transfer_time{};
};

} // namespace pollenreel::entry
