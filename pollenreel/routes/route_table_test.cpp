#include "pollenreel/routes/route_table.hpp"

#include <doctest/doctest.h>

namespace {

using namespace pollenreel;

routes::route_table table() {
    routes::configuration c;
    const auto add = [&](const char* id, const char* host, const char* prefix) {
        routes::route r;
        r.id = id;
        r.host = host;
        r.path_prefix = prefix;
        r.services = {{base::service_id("s"), 1}};
        c.routes.push_back(r);
    };
    add("root", "a.example", "/");
    add("orders", "a.example", "/orders/");
    add("urgent", "a.example", "/orders/urgent/");
    add("other", "b.example", "/orders/");
    c.services.push_back({base::service_id("s"), 10, {}, 0});
    return routes::route_table(std::move(c));
}

} // namespace

TEST_CASE("a route table finds the longest matching prefix of the host") {
    struct row {
        const char* name;
        const char* host;
        const char* path;
        const char* expected; // empty if no route matches
    };
    const row rows[] = {
        {"the longest of three prefixes", "a.example", "/orders/urgent/7",
         "urgent"},
        {"a shorter prefix", "a.example", "/orders/7", "orders"},
        {"a prefix only matches whole segments", "a.example", "/ordersx/7",
         "root"},
        {"the prefix itself", "a.example", "/orders/", "orders"},
        {"a prefix without its slash", "a.example", "/orders", "root"},
        {"a query is not part of the path", "a.example", "/x?y=/orders/",
         "root"},
        {"a port and upper case", "A.Example:80", "/orders/1", "orders"},
        {"another host", "b.example", "/orders/1", "other"},
        {"a path without a route", "b.example", "/x", ""},
        {"an unknown host", "c.example", "/orders/1", ""},
        {"an empty path", "b.example", "", ""},
    };
    const auto t = table();
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto* found = t.find(r.host, r.path);
        CHECK((found == nullptr ? "" : found->id) == r.expected);
    }
    CHECK(t.find(base::service_id("s")) != nullptr);
    CHECK(t.find(base::service_id("x")) == nullptr);
}
