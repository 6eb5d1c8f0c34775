// Several committers on one store that loses, delays and doubles, by seeds.
#include "pollenreel/base/random.hpp"
#include "pollenreel/control/committer.hpp"
#include "testing/store_model.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <map>

namespace {

using namespace pollenreel;
using control::committer;

constexpr base::time_point start{std::chrono::hours(1)};
constexpr std::size_t instances = 4;
constexpr int changes = 40;

declarations::configuration first_configuration() {
    declarations::configuration c;
    c.version = base::config_version(1);
    c.command = base::command_id("first");
    c.author = "ops";
    c.summary = "first";
    c.declared.fleet_instances = instances;
    return c;
}

// One store, `instances` committers, and the faults between them.
class world {
public:
    explicit world(std::uint64_t seed) : m_random(seed) {
        (void)m_store.serve(
            store::compare_and_swap{
                "k", declarations::encode(first_configuration()), {}},
            start);
    }

    void run() {
        for (int i = 0; i < changes; ++i) {
            submit(m_random.below(instances), i);
            if (m_random.below(3) != 0) {
                move();
            }
        }
        while (!m_under_way.empty()) {
            move();
        }
        for (const auto& late : m_late) {
            (void)m_store.serve(late, start);
        }
    }

    [[nodiscard]] declarations::configuration stored() {
        const auto got = m_store.serve(store::read{"k"}, start);
        return declarations::decode(std::get<store::found>(got).value->value)
            .value();
    }

    std::map<base::command_id, control::verdict> verdicts;

private:
    void submit(std::size_t who, int number) {
        const base::instance_id drained(
            fmt::format("i{}", m_random.below(instances * 2)));
        const bool back = m_random.below(2) == 0;
        const auto what = back ? language::change(language::undrain{drained})
                               : language::change(language::drain{drained});
        follow(who, m_committers[who].submit(
                        {base::command_id(fmt::format("c{}", number)), "ops",
                         what}));
    }

    void follow(std::size_t who, committer::step step) {
        for (auto& d : step.finished) {
            REQUIRE(verdicts.emplace(d.command, d.verdict).second);
        }
        if (step.call) {
            m_under_way.emplace_back(who, *step.call);
        }
    }

    // Lets one of the calls under way meet its fate.
    void move() {
        if (m_under_way.empty()) {
            return;
        }
        const auto index = m_random.below(m_under_way.size());
        const auto [who, call] = m_under_way[index];
        m_under_way.erase(m_under_way.begin() +
                          static_cast<std::ptrdiff_t>(index));
        follow(who, m_committers[who].on_reply(fate(call)));
        if (!m_late.empty() && m_random.below(4) == 0) {
            (void)m_store.serve(m_late.back(), start);
            m_late.pop_back();
        }
    }

    store::reply fate(const store::request& call) {
        switch (m_random.below(8)) {
        case 0: // the answer is lost after the call was served
            (void)m_store.serve(call, start);
            return store::unanswered{};
        case 1: // the call arrives later than its timeout
            m_late.push_back(call);
            return store::unanswered{};
        case 2:
            return store::unreachable{};
        default:
            return m_store.serve(call, start);
        }
    }

    base::random m_random;
    testing::store_model m_store;
    std::vector<committer> m_committers{instances, committer("k")};
    std::vector<std::pair<std::size_t, store::request>> m_under_way;
    std::vector<store::request> m_late;
};

} // namespace

TEST_CASE("whatever is lost, late or doubled, verdicts are true") {
    std::size_t seen[4] = {};
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        world w(seed);
        w.run();
        const auto end = w.stored();
        CHECK(end.version.value() == 1 + end.recent.size());
        for (const auto& one : w.verdicts) {
            const auto& command = one.first;
            const auto& verdict = one.second;
            CAPTURE(command.str());
            ++seen[verdict.index()];
            const auto times = std::count_if(
                end.recent.begin(), end.recent.end(),
                [&](const auto& r) { return r.command == command; });
            const auto* record = end.find_change(command);
            if (const auto* a = std::get_if<control::accepted>(&verdict)) {
                REQUIRE(times == 1);
                CHECK(record->version == a->version);
            } else if (std::holds_alternative<control::undecided>(verdict)) {
                CHECK(times <= 1);
            } else {
                CHECK(times == 0);
            }
        }
        CHECK(w.verdicts.size() == changes);
    }
    for (const auto n : seen) {
        CHECK(n > 0); // the seeds provoke every verdict
    }
}
