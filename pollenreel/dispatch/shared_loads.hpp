// Keeps the loads that targets reported to instances, and selects what is news
// for somebody. An instance keeps those of its own responses and merges those
// of others; the hub of a region keeps what its instances and other hubs sent.
//
// This serves fleets in which an instance hears from a target once in 2 to 4 s
// while the target's load changes within one: 80 instances, 300 targets, 2,000
// requests a second.
//
//   loads.add(load, shared_loads::source::heard, "", now);
//   auto news = loads.news_for("hub", shared_loads::selection::heard, now);
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/fleet/exchange_messages.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pollenreel::dispatch {

// Names a target in messages: XXH64 of its id with seed 0.
[[nodiscard]] std::uint64_t hash_of(const base::target_id& id);

// Does no I/O. Not thread-safe.
class shared_loads {
public:
    // Older reports are neither kept nor passed on: by then a target has
    // finished most of the work that it reported.
    static constexpr std::chrono::milliseconds lifetime{4000};
    // Most loads in one message, which take about 8 kB.
    static constexpr std::size_t max_news = 256;
    // Most targets that are kept.
    static constexpr std::size_t max_targets = 16'384;
    // A report that looks newer by less than this may be the known one, whose
    // age does not include the time that messages took.
    static constexpr std::chrono::milliseconds transit_margin{150};

    enum class source {
        heard,  // by this instance, or reported to this hub by an instance
        relayed // from another hub, which other hubs get from it themselves
    };
    enum class selection { heard, all };

    // Returns whether it is newer than what is known of the target. `sender`:
    // gets no news that it sent itself; empty for own responses.
    bool add(const fleet::shared_load& l, source from,
             const std::string& sender, base::time_point now);
    // What was added since the last call with that reader, newest first. Loads
    // beyond `max_news` are not named later: they are the oldest.
    [[nodiscard]] std::vector<fleet::shared_load>
    news_for(const std::string& reader, selection which, base::time_point now);

    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        fleet::shared_load load;
        base::time_point reported_at;
        source from = source::heard;
        std::string sender;
        std::uint64_t number = 0; // grows with each addition
    };
    struct reader_state {
        std::uint64_t last_number = 0; // known to the reader
        base::time_point read_at;
    };

    void remove_expired(base::time_point now);

    boost::unordered_flat_map<std::uint64_t, entry> m_entries; // by target
    std::map<std::string, reader_state> m_readers;
    std::uint64_t m_last_number = 0;
};

} // namespace pollenreel::dispatch
