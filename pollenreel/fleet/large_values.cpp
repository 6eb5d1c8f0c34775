#include "pollenreel/fleet/large_values.hpp"

#include "pollenreel/compression/compression.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace pollenreel::fleet {

namespace {

// Several times the store's largest value.
constexpr std::size_t max_value_bytes = std::size_t{8} * 1024 * 1024;
// An instance that was away for longer is sent the whole value.
constexpr std::size_t max_steps = 64;
constexpr std::size_t max_step_bytes = std::size_t{256} * 1024;

} // namespace

bool is_large(const store::key_change& c) {
    return c.value && c.value->value.size() > max_inline_bytes;
}

std::size_t size_of(const value_delta& d) {
    return std::accumulate(
        d.steps.begin(), d.steps.end(), std::size_t{0},
        [](auto sum, const auto& s) { return sum + s.bytes.size(); });
}

std::size_t size_of(const relayed_value& v) {
    if (const auto* d = std::get_if<value_delta>(&v)) {
        return size_of(*d);
    }
    const auto& c = std::get<store::key_change>(v);
    return c.value ? c.value->value.size() : 0;
}

void large_values::put(const store::key_change& c, bool keep_steps,
                       const value_delta* received) {
    const auto known = m_values.find(c.key);
    if (known != m_values.end() && known->second.entry.modified == c.at) {
        return;
    }
    if (!is_large(c)) {
        m_values.erase(c.key);
        return;
    }
    auto& v = m_values[c.key];
    const auto before = v.entry.modified;
    // Revisions go back if the store is restored from a copy.
    if (!keep_steps || before == store::revision{} || before > c.at) {
        v.steps.clear();
        v.step_bytes = 0;
    } else if (received != nullptr && received->steps.front().base == before) {
        for (const auto& s : received->steps) {
            add_step(v, s);
        }
    } else {
        add_step(v, {before, c.at,
                     compression::compress(c.value->value, v.entry.value)});
    }
    v.entry = *c.value;
    v.whole.reset();
}

void large_values::add_step(value& v, value_step s) {
    v.step_bytes += s.bytes.size();
    v.steps.push_back(std::move(s));
    while (v.steps.size() > max_steps || v.step_bytes > max_step_bytes) {
        v.step_bytes -= v.steps.front().bytes.size();
        v.steps.pop_front();
    }
}

const store::entry* large_values::find(const std::string& key) const {
    const auto found = m_values.find(key);
    return found == m_values.end() ? nullptr : &found->second.entry;
}

std::vector<key_reference> large_values::held() const {
    std::vector<key_reference> all;
    all.reserve(m_values.size());
    for (const auto& [key, v] : m_values) {
        all.push_back({key, v.entry.modified});
    }
    return all;
}

std::optional<value_delta> large_values::delta(const std::string& key,
                                               store::revision held) {
    const auto found = m_values.find(key);
    if (found == m_values.end()) {
        return std::nullopt;
    }
    auto& v = found->second;
    const auto first =
        std::find_if(v.steps.begin(), v.steps.end(),
                     [&](const auto& s) { return s.base == held; });
    value_delta since{key, {first, v.steps.end()}};
    const auto bytes = size_of(since);
    if (bytes > 0 && bytes <= max_inline_bytes) {
        return since;
    }
    if (!v.whole) {
        v.whole = {
            {}, v.entry.modified, compression::compress(v.entry.value, "")};
    }
    return bytes > 0 && bytes < v.whole->bytes.size()
               ? since
               : value_delta{key, {*v.whole}};
}

std::optional<store::key_change>
large_values::apply(const value_delta& d) const {
    if (d.steps.empty()) {
        return std::nullopt;
    }
    std::string text;
    store::revision at = d.steps.front().base;
    if (at != store::revision{}) {
        const auto known = m_values.find(d.key);
        if (known == m_values.end() || known->second.entry.modified != at) {
            return std::nullopt;
        }
        text = known->second.entry.value;
    }
    for (const auto& s : d.steps) {
        auto next = s.base == at ? compression::decompress(s.bytes, text,
                                                           max_value_bytes)
                                 : std::nullopt;
        if (!next) {
            return std::nullopt;
        }
        text = std::move(*next);
        at = s.at;
    }
    return store::key_change{d.key, at,
                             store::entry{d.key, std::move(text), at, {}}};
}

} // namespace pollenreel::fleet
