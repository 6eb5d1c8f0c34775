#include "pollenreel/entry/value_log.hpp"

#include "pollenreel/entry/traffic.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <functional>
#include <string>

using namespace pollenreel;

namespace {

const store::entry value{"c", "value", {7}, {}};
const base::endpoint relay{"127.0.0.1", 9};

base::result<fleet::relayed_value> refused() {
    return base::failure{std::make_error_code(std::errc::timed_out), "refused"};
}

} // namespace

TEST_CASE("transfers of large values are counted by their results") {
    struct row {
        const char* name;
        std::function<void(entry::value_log&)> transfer;
        std::uint64_t failures;
        std::uint64_t bytes;
    };
    const entry::value_log::request sent{"c", {}};
    const row rows[] = {
        {"a value from the store",
         [&](auto& l) {
             l.on_read(sent, store::found{value, {9}});
         },
         0, 5},
        {"a key that is gone",
         [&](auto& l) {
             l.on_read(sent, store::found{std::nullopt, {9}});
         },
         0, 0},
        {"a read that timed out",
         [&](auto& l) { l.on_read(sent, store::unanswered{"timed out"}); }, 1,
         0},
        {"a read that the store refused",
         [&](auto& l) { l.on_read(sent, store::unreachable{}); }, 1, 0},
        {"a value from a relay",
         [&](auto& l) {
             l.on_fetched(
                 sent, relay,
                 fleet::relayed_value(store::key_change{"c", {7}, value}));
         },
         0, 5},
        {"steps from a relay",
         [&](auto& l) {
             l.on_fetched(sent, relay,
                          fleet::relayed_value(fleet::value_delta{
                              "c", {{{6}, {7}, "abc"}, {{7}, {8}, "d"}}}));
         },
         0, 4},
        {"a fetch that the relay refused",
         [&](auto& l) { l.on_fetched(sent, relay, refused()); }, 1, 0},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const base::system_clock clock;
        const log::logger log{clock, "value_log_test", log::level::error};
        entry::control_counts counts;
        entry::value_log tested(log, clock, counts);
        r.transfer(tested);
        CHECK(counts.value_transfers == 1);
        CHECK(counts.value_transfer_failures == r.failures);
        CHECK(counts.value_bytes == r.bytes);
    }
}
