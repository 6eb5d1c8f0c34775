#include "testing/shift/virtual_regions.hpp"

#include "pollenreel/base/overloaded.hpp"

#include <boost/random/poisson_distribution.hpp>

#include <algorithm>

namespace testing {

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;

constexpr duration step = 1ms;
constexpr duration control_period = 100ms;
constexpr duration between_regions = 35ms; // one way
constexpr duration within_region = 500us;
constexpr duration death_noticed = 2s;
constexpr duration restart_after = 5s;
constexpr std::uint64_t request_bytes = 1'000;
constexpr std::size_t link_ends = 2;

const base::service_id catalogue("catalogue");

base::region_id region_name(std::size_t i) {
    static const std::array<const char*, regions> names{"khomas", "erongo",
                                                        "oshana"};
    return base::region_id(names.at(i));
}

std::size_t region_index(const base::region_id& id) {
    std::size_t i = 0;
    while (region_name(i) != id) {
        ++i;
    }
    return i;
}

// In which hundredth of a shift the request moves; what one hundredth of the
// callers ask for is cached together.
std::uint64_t hundredth_of(std::uint64_t request) {
    constexpr std::uint32_t one = share::whole.value / 100;
    std::uint32_t low = 0;
    std::uint32_t high = 99;
    while (low < high) {
        const auto middle = (low + high) / 2;
        const bool moved =
            shift::moves(base::request_id(request), {(middle + 1) * one});
        (moved ? high : low) = moved ? middle : middle + 1;
    }
    return low;
}

declarations::configuration declare(const regions_options& o) {
    declarations::configuration c;
    c.declared.fleet_instances =
        static_cast<std::uint32_t>(o.entries_per_region * regions);
    declarations::service s;
    s.id = catalogue;
    for (std::size_t i = 0; i < regions; ++i) {
        const base::failure_domain_id domain(region_name(i).str() + "-a");
        c.declared.regions.push_back({region_name(i), {domain}});
        declarations::target t;
        t.id = base::target_id(region_name(i).str());
        t.failure_domain = domain;
        t.slots = static_cast<std::uint32_t>(o.slots_per_region);
        s.targets.push_back(t);
        for (std::size_t j = 0; j < i; ++j) {
            c.declared.links.push_back(
                {region_name(j), region_name(i), o.link_megabits});
        }
    }
    c.declared.services.push_back(s);
    return c;
}

} // namespace

virtual_regions::virtual_regions(regions_options o)
    : m_options(o), m_random(o.seed), m_configuration(declare(o)) {
    m_entries.resize(regions * o.entries_per_region);
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        m_entries[i].region = i / o.entries_per_region;
        start(i);
    }
    announce_members();
}

void virtual_regions::start(std::size_t i) {
    auto& e = m_entries[i];
    ++e.incarnation;
    e.dead = false;
    shift::coordinator_options o;
    o.self = {base::instance_id("i" + std::to_string(100 + i)), e.incarnation};
    o.region = region_name(e.region);
    o.address = {"127.0.0.1", static_cast<std::uint16_t>(i)};
    e.coordinator = std::make_unique<shift::coordinator>(o);
    e.coordinator->set_configuration(m_configuration);
    e.spender = std::make_unique<shift::admission_controller>();
}

void virtual_regions::command_shift(std::chrono::seconds over) {
    declarations::shift s;
    s.id = base::shift_id("s1");
    s.service = catalogue;
    s.from = region_name(0);
    s.to = region_name(1);
    s.percent = 100;
    s.cap_megabits_per_second = m_options.shift_cap_megabits;
    s.over = over;
    m_configuration.commanded.shifts.push_back(s);
    announce_configuration();
}

void virtual_regions::fail_targets(std::size_t region) {
    m_failed.at(region) = true;
    m_configuration.commanded.drained_domains.insert(
        base::failure_domain_id(region_name(region).str() + "-a"));
    announce_configuration();
}

void virtual_regions::announce_configuration() {
    for (auto& e : m_entries) {
        e.coordinator->set_configuration(m_configuration);
    }
}

void virtual_regions::announce_members() {
    std::vector<shift::member> live;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const auto& e = m_entries[i];
        if (awake(e) || m_now - e.absent_since < death_noticed) {
            live.push_back({base::instance_id("i" + std::to_string(100 + i)),
                            region_name(e.region),
                            {"127.0.0.1", static_cast<std::uint16_t>(i)}});
        }
    }
    for (auto& e : m_entries) {
        e.coordinator->set_members(live);
    }
}

bool virtual_regions::awake(const entry& e) const {
    return !e.dead && m_now >= e.paused_until;
}

void virtual_regions::run_until(duration t) {
    for (; m_now < t; m_now += step) {
        if (m_now % 1s == 0s) {
            break_entries();
            announce_members();
        }
        run_tasks();
        arrivals();
        if (m_now % control_period == 0s) {
            for (std::size_t i = 0; i < m_entries.size(); ++i) {
                control_tick(i);
            }
        }
        note_fill();
    }
}

void virtual_regions::note_fill() {
    constexpr double steps = 1000; // in one second
    for (std::size_t r = 0; r < regions; ++r) {
        m_fill_sum[r] += m_in_flight[r] / m_options.slots_per_region;
        if (m_now % 1s == 0s) {
            m_peak[r] = std::max(m_peak[r], m_fill_sum[r] / steps);
            m_fill_sum[r] = 0;
        }
    }
}

void virtual_regions::break_entries() {
    constexpr double per_second = 1.0 / 60;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        auto& e = m_entries[i];
        if (!awake(e)) {
            continue;
        }
        if (m_random.unit() < m_options.pauses_per_minute * per_second) {
            e.absent_since = m_now;
            e.paused_until =
                m_now + std::chrono::duration_cast<duration>(
                            m_random.unit() * m_options.longest_pause);
        } else if (m_random.unit() < m_options.deaths_per_minute * per_second) {
            e.absent_since = m_now;
            e.dead = true;
            m_tasks.emplace(m_now + restart_after,
                            task{m_entries.size(), 0, [this, i] { start(i); }});
        }
    }
}

void virtual_regions::at(duration when, std::size_t of,
                         std::function<void()> run) {
    m_tasks.emplace(when, task{of, m_entries[of].incarnation, std::move(run)});
}

void virtual_regions::run_tasks() {
    while (!m_tasks.empty() && m_tasks.begin()->first <= m_now) {
        auto t = std::move(m_tasks.begin()->second);
        m_tasks.erase(m_tasks.begin());
        if (t.entry == m_entries.size()) { // nobody's own
            t.run();
            continue;
        }
        const auto& e = m_entries[t.entry];
        if (e.dead || e.incarnation != t.incarnation) {
            continue;
        }
        if (!awake(e)) { // handled when it wakes
            m_tasks.emplace(e.paused_until, std::move(t));
            continue;
        }
        t.run();
    }
}

void virtual_regions::control_tick(std::size_t i) {
    auto& e = m_entries[i];
    if (!awake(e)) {
        return;
    }
    e.coordinator->on_traffic(e.spender->take_report());
    carry_out(i, e.coordinator->tick(clock()));
}

void virtual_regions::carry_out(std::size_t i, shift::effects out) {
    for (auto& one : out) {
        std::visit(
            base::overloaded{
                [&](store::request& r) { call_store(i, r); },
                [&](shift::send& s) {
                    ++m_message_count;
                    if (m_random.unit() < m_options.message_loss) {
                        return;
                    }
                    const std::size_t to = s.to.port;
                    const bool far =
                        m_entries[to].region != m_entries[i].region;
                    at(m_now + (far ? between_regions : within_region), to,
                       [this, to, m = std::move(s.message)] {
                           carry_out(to, m_entries[to].coordinator->on_message(
                                             m, clock()));
                       });
                },
                [&](shift::allowances_ptr& a) {
                    m_entries[i].spender->set_allowances(policy(std::move(a)));
                },
            },
            one);
    }
}

shift::allowances_ptr virtual_regions::policy(shift::allowances_ptr a) const {
    if (m_options.paced && !m_options.static_split && m_options.split_spill) {
        return a;
    }
    auto changed = *a;
    constexpr std::uint64_t endless = 1ULL << 50;
    for (auto& m : changed.moves) {
        const auto part =
            m_options.shift_cap_megabits * 125'000 / m_entries.size();
        const auto rate = m_options.static_split ? part : endless;
        m.bytes_per_second = {rate, rate, {}};
    }
    for (auto& [to, rate] : changed.link_rates) {
        rate = {endless, endless, {}};
    }
    if (!m_options.split_spill) {
        for (auto& [p, most] : changed.spill) {
            most = 1'000'000;
        }
    }
    return std::make_shared<const shift::allowances>(std::move(changed));
}

void virtual_regions::call_store(std::size_t i, const store::request& r) {
    ++m_store_calls;
    const bool down =
        m_now >= m_options.store_down_from &&
        m_now < m_options.store_down_from + m_options.store_down_for;
    auto reply = down ? store::reply(store::unreachable{}) : apply(r);
    if (!down && m_random.unit() < m_options.lost_answers) {
        reply = store::unanswered{};
    }
    const auto way = m_entries[i].region == 0 ? within_region : between_regions;
    at(m_now + link_ends * way, i, [this, i, reply] {
        m_entries[i].coordinator->on_reply(reply, clock());
    });
}

store::reply virtual_regions::apply(const store::request& r) {
    if (const auto* read = std::get_if<store::read>(&r)) {
        const auto found = m_store.find(read->key);
        store::found answer;
        if (found != m_store.end()) {
            answer.value = found->second;
        }
        return answer;
    }
    const auto& swap = std::get<store::compare_and_swap>(r);
    const auto found = m_store.find(swap.key);
    const auto current =
        found == m_store.end() ? store::revision{} : found->second.modified;
    if (current != swap.expected) {
        store::conflicting answer;
        if (found != m_store.end()) {
            answer.current = found->second;
        }
        return answer;
    }
    m_store[swap.key] = {swap.key, swap.value, {++m_revision}};
    return store::swapped{{m_revision}};
}

void virtual_regions::arrivals() {
    constexpr double per_step = 0.001;
    for (std::size_t r = 0; r < regions; ++r) {
        std::vector<std::size_t> awake_ones;
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            if (m_entries[i].region == r && awake(m_entries[i])) {
                awake_ones.push_back(i);
            }
        }
        for (std::size_t k = 0; k < kinds; ++k) {
            boost::random::poisson_distribution<int> count(
                m_options.requests_per_second.at(k) *
                (r == 0 ? 1 : m_options.elsewhere) * per_step);
            const int n = awake_ones.empty() ? 0 : count(m_random.engine());
            for (int j = 0; j < n; ++j) {
                arrive(awake_ones[m_random.below(awake_ones.size())], k);
            }
        }
    }
}

void virtual_regions::arrive(std::size_t i, std::size_t kind) {
    auto& e = m_entries[i];
    auto& counts = m_counts[e.region][kind];
    ++counts.arrived;
    shift::candidate c;
    c.service = catalogue;
    c.request = base::request_id(++m_last_request);
    c.request_bytes = request_bytes;
    c.own = region_name(e.region);
    c.own_available = !m_failed.at(e.region);
    c.priority = m_options.priority.at(kind);
    const auto first = m_random.below(regions);
    for (std::size_t j = 0; j < regions; ++j) {
        const auto r = (first + j) % regions;
        if (r != e.region && !m_failed.at(r)) {
            c.others.push_back(region_name(r));
        }
    }
    const auto d = e.spender->decide(c, clock());
    if (const auto* g = std::get_if<shift::admission>(&d)) {
        ++counts.served;
        e.spender->started(base::attempt_id(m_last_request), *g, clock());
        serve(i, kind, *g);
    } else {
        ++counts.refused;
    }
}

void virtual_regions::serve(std::size_t i, std::size_t,
                            const shift::admission& g) {
    const auto from = m_entries[i].region;
    const auto to = region_index(g.to);
    const auto answer = static_cast<std::uint64_t>(
        static_cast<double>(m_options.answer_bytes) * (0.5 + m_random.unit()));
    if (g.shift) {
        cross(from, to, request_bytes);
    }
    const auto took = service_time(to, m_last_request, from != to);
    const auto ways = 2 * (from == to ? within_region : between_regions);
    const auto anybody = m_entries.size();
    m_tasks.emplace(m_now + ways / 2,
                    task{anybody, 0, [this, to] { ++m_in_flight[to]; }});
    m_tasks.emplace(m_now + took + ways / 2,
                    task{anybody, 0, [this, to] { --m_in_flight[to]; }});
    if (g.shift) {
        m_tasks.emplace(m_now + took + ways,
                        task{anybody, 0, [this, from, to, answer] {
                                 cross(to, from, answer);
                                 m_bytes_moved += answer;
                             }});
    }
    at(m_now + took + ways, i,
       [this, i, attempt = base::attempt_id(m_last_request), answer] {
           m_entries[i].spender->finished(attempt, answer, clock());
       });
}

duration virtual_regions::service_time(std::size_t region,
                                       std::uint64_t request, bool foreign) {
    double factor = 0.5 + m_random.unit();
    if (foreign) {
        const auto first =
            m_first_seen[region].emplace(hundredth_of(request), m_now);
        if (m_now - first.first->second < m_options.cold_for) {
            factor *= m_options.cold_factor;
        }
    }
    const double fill = m_in_flight[region] / m_options.slots_per_region;
    factor *= std::max(1.0, fill);
    return std::chrono::duration_cast<duration>(m_options.service_time *
                                                factor);
}

void virtual_regions::cross(std::size_t from, std::size_t to,
                            std::uint64_t bytes) {
    if (from + to != 1) {
        return; // not between the first two regions
    }
    auto& way = m_crossed[from];
    const auto ms = static_cast<std::size_t>(m_now / step);
    if (way.size() <= ms) {
        way.resize(ms + 1);
    }
    way[ms] += bytes;
}

std::uint64_t virtual_regions::windows_over(std::uint64_t bytes) const {
    constexpr std::size_t window = 100;
    std::uint64_t over = 0;
    for (const auto& way : m_crossed) {
        std::uint64_t sum = 0;
        for (std::size_t ms = 0; ms < way.size(); ++ms) {
            sum += way[ms];
            sum -= ms >= window ? way[ms - window] : 0;
            over += sum > bytes ? 1 : 0;
        }
    }
    return over;
}

double virtual_regions::moved() const {
    for (const auto& e : m_entries) {
        if (e.region == 0 && awake(e)) {
            const auto all = e.coordinator->shifts(clock());
            return all.empty() ? 0 : all[0].moved.value / 1e6;
        }
    }
    return 0;
}

} // namespace testing
