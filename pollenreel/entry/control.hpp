// The control thread of an entry instance: follows the platform's store,
// announces the instance there, reacts to signals and changed settings, and
// hands views of the fleet to the traffic thread.
#pragma once

#include "pollenreel/entry/exchange_driver.hpp"
#include "pollenreel/entry/settings.hpp"
#include "pollenreel/entry/traffic.hpp"
#include "pollenreel/fleet/follower.hpp"
#include "pollenreel/log/logger.hpp"
#include "pollenreel/store/client.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pollenreel::entry {

// How the fleet stands in the store; supplied by the adapter.
struct store_layout {
    std::string prefix;       // of all keys of concern
    std::string announce_key; // of this instance
    std::string announce_value;
    fleet::decoder decode;
};

struct control_options {
    std::string settings_path;
    store_layout layout;
    ledger_hooks ledger{}; // of the quotas of tenants
};

class control {
public:
    // All references must outlive it. `store` runs on `io`.
    control(boost::asio::io_context& io, settings s, control_options o,
            store::client& store, traffic& t, control_counts& counts,
            const base::clock& clock, log::logger log, log::line_writer& out);
    control(const control&) = delete;
    control& operator=(const control&) = delete;
    ~control();

    // Runs `io` until a signal has ended the instance.
    void run();

private:
    class loop;
    std::unique_ptr<loop> m_loop;
};

} // namespace pollenreel::entry
