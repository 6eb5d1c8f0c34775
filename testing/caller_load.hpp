// Load as callers make it: looks up an entry instance, sends reads and orders
// through it, goes on with the next instance when one fails, sends an order
// again only when it was told `not-run`, and accounts for every order at the
// targets.
//
//   auto t = testing::run_callers({"catalogue", entries, "demo"}, 8, 600);
//   auto a = testing::account(t, "demo", targets);
#pragma once

#include "pollenreel/base/endpoint.hpp"

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace pollenreel::testing {

struct tally {
    int asked = 0;
    int answered = 0;
    int archived = 0; // of them archive work
    int lost = 0;     // reads that were never answered, orders never accepted
    int crossed = 0;  // answers to another request
    std::set<std::string> acknowledged; // orders answered 200
    std::set<std::string> unknown;      // orders that may have run
    std::vector<double> latencies_ms;
};

// What the targets ran, against what callers were told.
struct accounts {
    int doubled = 0;  // orders that ran more than once
    int vanished = 0; // orders that were acknowledged but did not run
    int phantom = 0;  // orders that ran though callers were told `not-run`
};

struct load_options {
    std::string service;
    std::vector<base::endpoint> entries; // where a caller asks first
    std::string name;                    // begins every order id
    std::string archive_kind; // one request in twenty is of this kind, if any
};

// One caller, one request at a time.
class caller_load {
public:
    explicit caller_load(load_options o);

    void run(int requests);
    [[nodiscard]] const tally& result() const { return m_tally; }

private:
    [[nodiscard]] base::endpoint look_up();
    void one(int number);
    void answered(const std::string& order,
                  std::chrono::steady_clock::duration);

    load_options m_options;
    std::size_t m_next = 0;
    tally m_tally;
};

// Several callers at once, each on a thread of its own; `requests` in all.
[[nodiscard]] tally run_callers(const load_options& o, int callers,
                                int requests);

[[nodiscard]] accounts account(const tally& t, const std::string& name,
                               const std::vector<base::endpoint>& targets);

// Quantile `q` of 0..1 by rank; zero when there are no values.
[[nodiscard]] double quantile(std::vector<double> values, double q);

} // namespace pollenreel::testing
