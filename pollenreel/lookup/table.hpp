// Answers a look-up: which entry instances should this caller use for this
// service, nearest first. All answers are prepared when a snapshot is taken
// into use; a look-up is then one search and one hash table hit.
//
//   lookup::table t(snapshot);
//   const std::string* body = t.find(service, lookup::caller_address{ip});
#pragma once

#include "pollenreel/routing/snapshot.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace pollenreel::lookup {

// How long a caller may keep an answer. Trades look-ups a second against how
// long a caller may still try an instance that has left.
constexpr std::chrono::milliseconds answer_time_to_live{1500};
// Most instances that one answer names.
constexpr std::size_t most_instances = 4;

// An IPv4 address in host order.
struct caller_address {
    std::uint32_t value = 0;
};

// The JSON answer to one look-up, worked out on the spot. Slower than a table;
// for tools that explain decisions.
[[nodiscard]] std::string answer(const routing::snapshot& s,
                                 const base::service_id& service,
                                 const base::failure_domain_id& from);

class table {
public:
    explicit table(routing::snapshot_ptr snapshot);

    // The JSON answer, or null when the service is not declared. Valid as
    // long as the table.
    [[nodiscard]] const std::string* find(const base::service_id& service,
                                          caller_address from) const;
    [[nodiscard]] const std::string*
    find(const base::service_id& service,
         const base::failure_domain_id& from) const;

    // The caller's failure domain by the declared client blocks; this
    // instance's own when no block covers the address.
    [[nodiscard]] const base::failure_domain_id&
    domain_of(caller_address from) const;

private:
    struct key {
        base::service_id service;
        base::failure_domain_id domain;

        friend bool operator==(const key&, const key&) = default;
        friend std::size_t hash_value(const key& k) {
            std::size_t seed = hash_value(k.service);
            boost::hash_combine(seed, k.domain);
            return seed;
        }
    };

    routing::snapshot_ptr m_snapshot;
    boost::unordered_flat_map<key, std::string> m_answers;
};

} // namespace pollenreel::lookup
