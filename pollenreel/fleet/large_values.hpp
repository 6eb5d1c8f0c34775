// The large values of the store that an instance knows, and the steps between
// their recent revisions. An instance with an earlier value is sent the steps
// since then, so that what a change costs does not grow with the value.
//
//   large_values values;
//   values.put(change, is_polled);
//   if (const auto d = values.delta(key, its_revision)) ... // at the relay
//   if (const auto c = values.apply(delta)) ...             // at the follower
#pragma once

#include "pollenreel/fleet/relay_messages.hpp"
#include "pollenreel/store/messages.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenreel::fleet {

// Values over this size travel apart from other changes, which they would
// delay, unless the steps to them are smaller.
constexpr std::size_t max_inline_bytes = 8192;

[[nodiscard]] bool is_large(const store::key_change& c);
// Bytes that it takes in a message, roughly.
[[nodiscard]] std::size_t size_of(const value_delta& d);
[[nodiscard]] std::size_t size_of(const relayed_value& v);

// Performs no I/O. Not thread-safe.
class large_values {
public:
    // The latest change of a key; a value that is not large is forgotten.
    // `keep_steps`: for others that poll this instance. `received`: what the
    // value was made from; null if it came whole.
    void put(const store::key_change& c, bool keep_steps,
             const value_delta* received = nullptr);
    // Returns null unless the key has a large value; valid until the next put.
    [[nodiscard]] const store::entry* find(const std::string& key) const;
    // Of all keys with a large value.
    [[nodiscard]] std::vector<key_reference> held() const;

    // The steps to the key's value from that at `held`; one step without a base
    // if they are not known or take more bytes. Returns nullopt unless the key
    // has a large value.
    [[nodiscard]] std::optional<value_delta> delta(const std::string& key,
                                                   store::revision held);
    // Returns nullopt if `d` does not lead from a known value to another.
    [[nodiscard]] std::optional<store::key_change>
    apply(const value_delta& d) const;

private:
    struct value {
        store::entry entry;
        std::deque<value_step> steps; // each leads to the base of the next
        std::size_t step_bytes = 0;
        std::optional<value_step> whole; // made on demand
    };

    static void add_step(value& v, value_step s);

    std::map<std::string, value> m_values;
};

} // namespace pollenreel::fleet
