#include "pollenreel/declarations/difference.hpp"

#include "pollenreel/declarations/codec.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <map>

namespace pollenreel::declarations {

namespace {

namespace json = boost::json;
using items = std::vector<difference_item>;

std::string text_of(const json::value& v) {
    return v.is_string() ? std::string(v.get_string()) : json::serialize(v);
}

// Longer values are shown with their lists counted, not spelt out.
constexpr std::size_t longest_value = 160;

std::string brief(const json::value& v) {
    const auto* o = v.if_object();
    if (o == nullptr || json::serialize(v).size() <= longest_value) {
        return text_of(v);
    }
    json::object counted;
    for (const auto& [key, value] : *o) {
        const auto* list = value.if_array();
        counted[key] = list == nullptr ? value : json::value(list->size());
    }
    return json::serialize(counted);
}

// What tells an element of a list from its neighbours.
std::string identity(const json::value& element) {
    const auto* o = element.if_object();
    if (o == nullptr) {
        return text_of(element);
    }
    for (const char* key : {"id", "block", "region"}) {
        if (const auto* id = o->if_contains(key)) {
            return text_of(*id);
        }
    }
    if (o->contains("first") && o->contains("second")) {
        return text_of(o->at("first")) + "--" + text_of(o->at("second"));
    }
    return json::serialize(element);
}

using children = std::vector<std::pair<std::string, const json::value*>>;

children children_of(const json::value& v) {
    children all;
    if (const auto* o = v.if_object()) {
        for (const auto& [key, value] : *o) {
            all.emplace_back(key, &value);
        }
    } else if (const auto* a = v.if_array()) {
        for (const auto& element : *a) {
            all.emplace_back(identity(element), &element);
        }
    }
    return all;
}

bool is_tree(const json::value& v) {
    return v.is_object() || v.is_array();
}

void compare(const std::string& path, const json::value& before,
             const json::value& after, items& out);

void compare_children(const std::string& path, const json::value& before,
                      const json::value& after, items& out) {
    const auto old_children = children_of(before);
    const auto new_children = children_of(after);
    std::map<std::string, const json::value*> old_by_key(old_children.begin(),
                                                         old_children.end());
    const std::map<std::string, const json::value*> new_by_key(
        new_children.begin(), new_children.end());
    for (const auto& [key, value] : old_children) {
        if (!new_by_key.contains(key)) {
            out.push_back(
                {change_kind::removed, path + key, brief(*value), ""});
        }
    }
    for (const auto& [key, value] : new_children) {
        const auto found = old_by_key.find(key);
        if (found == old_by_key.end()) {
            out.push_back({change_kind::added, path + key, "", brief(*value)});
        } else {
            compare(path + key, *found->second, *value, out);
        }
    }
}

void compare(const std::string& path, const json::value& before,
             const json::value& after, items& out) {
    if (before == after) {
        return;
    }
    if (is_tree(before) && is_tree(after)) {
        const auto prefix = path.empty() ? path : path + "/";
        return compare_children(prefix, before, after, out);
    }
    out.push_back(
        {change_kind::changed, path, text_of(before), text_of(after)});
}

} // namespace

std::vector<difference_item> difference(const document& before,
                                        const document& after) {
    items out;
    compare("", to_json(before), to_json(after), out);
    return out;
}

std::string to_text(const difference_item& d) {
    switch (d.kind) {
    case change_kind::added:
        return fmt::format("+ {}: {}", d.path, d.after);
    case change_kind::removed:
        return fmt::format("- {}: {}", d.path, d.before);
    case change_kind::changed:
        return fmt::format("~ {}: {} -> {}", d.path, d.before, d.after);
    }
    return {};
}

} // namespace pollenreel::declarations
