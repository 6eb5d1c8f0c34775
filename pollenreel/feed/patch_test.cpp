#include "pollenreel/feed/delta_log.hpp"
#include "pollenreel/feed/patch.hpp"

#include "pollenreel/base/random.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace {

using namespace pollenreel;

constexpr std::size_t most = 1'000'000;

std::string list(std::initializer_list<int> numbers) {
    std::string text = R"({"version":1,"targets":[)";
    for (const auto n : numbers) {
        text += fmt::format(R"({{"id":"cat-{}","slots":6}},)", n);
    }
    return text + "]}";
}

} // namespace

TEST_CASE("a patch makes the new text of the old one") {
    struct row {
        const char* name;
        std::string before;
        std::string after;
    };
    const row rows[] = {
        {"the same text", list({1, 2, 3}), list({1, 2, 3})},
        {"one added", list({1, 2}), list({1, 2, 3})},
        {"one removed from the middle", list({1, 2, 3}), list({1, 3})},
        {"one inserted in front", list({2, 3}), list({1, 2, 3})},
        {"two exchanged", list({1, 2, 3}), list({3, 2, 1})},
        {"one doubled", list({1, 2}), list({1, 1, 1, 2})},
        {"from nothing", "", list({1})},
        {"to nothing", list({1}), ""},
        {"text without structure", "abc", "abd"},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto p = feed::make_patch(r.before, r.after);
        CHECK(feed::apply_patch(r.before, p, most) == r.after);
    }
}

TEST_CASE("a small change of a large text is a small patch") {
    std::string before = "{";
    std::string after = "{";
    for (int i = 0; i < 10'000; ++i) {
        before += fmt::format(R"({{"id":{}}},)", i);
        after += fmt::format(R"({{"id":{}}},)", i == 5'000 ? -1 : i);
    }
    const auto p = feed::make_patch(before, after);
    CHECK(feed::apply_patch(before, p, most) == after);
    CHECK(p.size() <= 3);
}

TEST_CASE("a patch of random edits makes the new text") {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        base::random r(seed);
        std::string before;
        for (int i = 0; i < 40; ++i) {
            before += fmt::format("{{{}}},", r.below(20));
        }
        auto after = before;
        for (int i = 0; i < 5; ++i) {
            const auto at = r.below(after.size());
            after.replace(at, r.below(9), std::string(r.below(9), '}'));
        }
        const auto p = feed::make_patch(before, after);
        CHECK(feed::apply_patch(before, p, most) == after);
    }
}

TEST_CASE("a patch that does not fit is refused") {
    struct row {
        const char* name;
        feed::patch patch;
        std::size_t most_bytes;
    };
    const row rows[] = {
        {"beyond the old text", {{3, 2, ""}}, most},
        {"an offset beyond it", {{5, 0, ""}}, most},
        {"a length that overflows", {{1, UINT64_MAX, ""}}, most},
        {"a result that is too large", {{0, 4, "xyz"}}, 6},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        CHECK(!feed::apply_patch("abcd", r.patch, r.most_bytes).has_value());
    }
}

TEST_CASE("the log answers from any version that it keeps") {
    feed::delta_log log;
    const auto v = [](std::uint64_t n) { return base::config_version(n); };
    const auto append = [&](std::uint64_t from, std::uint64_t to) {
        log.append({v(from), v(to), {{0, 1, "x"}}, 0});
    };
    append(1, 2);
    append(2, 5);
    append(5, 6);
    CHECK(log.since(v(1)).size() == 3);
    CHECK(log.since(v(5)).size() == 1);
    CHECK(log.since(v(3)).empty()); // passed over
    CHECK(log.since(v(6)).empty());
    append(8, 9); // a gap: what came before leads nowhere
    CHECK(log.since(v(1)).empty());
    CHECK(log.since(v(8)).size() == 1);
    for (std::uint64_t n = 9; n < 9 + feed::most_logged_deltas; ++n) {
        append(n, n + 1);
    }
    CHECK(log.since(v(8)).empty());
    CHECK(log.since(v(9)).size() == feed::most_logged_deltas);
}
