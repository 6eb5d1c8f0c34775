#include "testing/request/virtual_fleet.hpp"

#include "pollenreel/base/overloaded.hpp"

#include <boost/random/exponential_distribution.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <memory>

namespace pollenreel::testing {

namespace {

const base::region_id only_region("region");
const base::failure_domain_id only_domain("region-a");

routing::snapshot_ptr snapshot_for(const fleet_options& o, std::size_t entry) {
    auto s = std::make_shared<routing::snapshot>();
    s->version = base::config_version(1);
    s->region = only_region;
    for (std::size_t i = 0; i < o.entries; ++i) {
        s->instances.push_back(
            {base::instance_id(fmt::format("entry-{:04}", i)),
             only_domain,
             {}});
    }
    s->region_of[only_domain] = only_region;
    s->self = s->instances[entry].id;
    auto& service = s->services[o.service.id];
    service.id = o.service.id;
    service.max_connections_per_target = o.service.max_connections_per_target;
    service.kinds = o.service.kinds;
    service.long_running_percent = o.service.long_running_percent;
    service.queue_limit = o.service.queue_limit;
    service.in_flight_percent = o.service.in_flight_percent;
    service.slow_start = o.service.slow_start;
    for (std::size_t i = 0; i < o.targets.targets; ++i) {
        routing::target t;
        t.id = base::target_id(std::to_string(i));
        t.region = only_region;
        t.slots = static_cast<std::uint32_t>(o.targets.slots);
        service.targets.push_back(std::move(t));
    }
    return s;
}

// One run. Requests are numbered over the whole fleet.
class run {
public:
    explicit run(const fleet_options& o)
        : m_options(o), m_random(o.seed), m_targets(m_queue, o.targets),
          m_begin(m_queue.now() + o.warm_up), m_end(m_begin + o.length) {
        m_record.streams.resize(o.streams.size());
        for (std::size_t i = 0; i < o.entries && !o.ideal; ++i) {
            m_entries.push_back({o.make_core(o.seed * 1000 + i), {}, {}});
            handle(i, request::snapshot_changed{snapshot_for(o, i)});
        }
    }

    fleet_record go() {
        for (std::size_t s = 0; s < m_options.streams.size(); ++s) {
            schedule_arrival(s);
            for (std::size_t k = 0; k < m_options.streams[s].closed_loop; ++k) {
                arrive(s, k % m_options.entries);
            }
        }
        while (m_queue.step(m_end)) {
        }
        for (auto& s : m_record.streams) {
            std::sort(s.latencies_ms.begin(), s.latencies_ms.end());
        }
        for (const auto& e : m_entries) {
            m_record.requests += e.core.counts().requests;
            m_record.attempts += e.core.counts().attempts;
        }
        return std::move(m_record);
    }

private:
    struct request_state {
        std::size_t stream = 0;
        std::size_t entry = 0;
        base::time_point arrived;
        base::duration work{};
        bool straggler = false;
    };
    struct attempt_state {
        base::request_id request;
        std::size_t target = 0;
    };
    struct entry {
        request::core core;
        boost::unordered_flat_map<base::attempt_id, attempt_state> attempts;
        base::time_point armed;
    };

    double draw_exponential() {
        return boost::random::exponential_distribution<double>(1.0)(
            m_random.engine());
    }

    void schedule_arrival(std::size_t s) {
        const auto& stream = m_options.streams[s];
        const auto rate =
            stream.per_second * (m_queue.now() >= m_begin ? stream.surge : 1);
        if (rate <= 0) {
            return;
        }
        const std::chrono::duration<double> gap(draw_exponential() / rate);
        m_queue.after(std::chrono::duration_cast<base::duration>(gap),
                      [this, s] {
                          schedule_arrival(s);
                          arrive(s, m_random.below(m_options.entries));
                      });
    }

    void arrive(std::size_t s, std::size_t at_entry) {
        const auto& stream = m_options.streams[s];
        m_last_request = m_last_request.next();
        const auto id = m_last_request;
        const bool straggler = m_random.unit() < stream.straggler_share;
        const auto work = stream.mean_work *
                          (stream.exponential ? draw_exponential() : 1.0) *
                          (straggler ? stream.straggler_factor : 1.0);
        m_requests[id] = {s, at_entry, m_queue.now(),
                          std::chrono::duration_cast<base::duration>(work),
                          straggler};
        if (m_options.ideal) {
            (stream.closed_loop > 0 ? m_ideal_long : m_ideal_short)
                .push_back(id);
            return serve_ideal();
        }
        handle(at_entry, request::incoming_request{
                             id, m_options.service.id, "GET", stream.kind, {}});
    }

    void serve_ideal() {
        while (!m_ideal_short.empty() || !m_ideal_long.empty()) {
            const auto best = fastest_free_target();
            if (best == m_options.targets.targets) {
                return;
            }
            auto& from = m_ideal_short.empty() ? m_ideal_long : m_ideal_short;
            const auto id = from.front();
            from.pop_front();
            m_targets.start(best, id.value(), m_requests.at(id).work,
                            [this, id](fake_targets::result) {
                                finish(id, {});
                                serve_ideal();
                            });
        }
    }

    // Waits for a fast target rather than use a slowed one.
    [[nodiscard]] std::size_t fastest_free_target() const {
        const auto none = m_options.targets.targets;
        auto best = none;
        double least_factor = std::numeric_limits<double>::max();
        for (std::size_t t = 0; t < none; ++t) {
            const auto factor = m_targets.factor(t);
            if (factor < least_factor) {
                least_factor = factor;
                best = none;
            }
            if (factor <= least_factor && m_targets.has_free_slot(t)) {
                best = t;
            }
        }
        return best;
    }

    void handle(std::size_t at, const request::event& e) {
        for (const auto& effect : m_entries[at].core.handle(e, m_queue.now())) {
            std::visit([&](const auto& one) { carry_out(at, one); }, effect);
        }
        const auto next = m_entries[at].core.next_wakeup();
        if (next && *next != m_entries[at].armed) {
            m_entries[at].armed = *next;
            m_queue.at(std::max(*next, m_queue.now()), [this, at, w = *next] {
                if (m_entries[at].armed == w) {
                    m_entries[at].armed = {};
                    handle(at, request::tick{});
                }
            });
        }
    }

    void carry_out(std::size_t at, const request::open_attempt& e) {
        const auto target = std::stoul(e.target.id.str());
        m_entries[at].attempts[e.attempt] = {e.request, target};
        m_queue.after({}, [this, at, id = e.attempt] {
            handle(at, request::attempt_connected{id});
        });
    }

    void carry_out(std::size_t at, const request::send_attempt& e) {
        const auto a = m_entries[at].attempts.at(e.attempt);
        const auto work = m_requests.at(a.request).work;
        m_queue.after(m_options.one_way, [this, at, a, work, id = e.attempt] {
            m_targets.start(
                a.target, work_number(at, id), work,
                [this, at, id](fake_targets::result r) { answer(at, id, r); });
        });
    }

    void answer(std::size_t at, base::attempt_id id, fake_targets::result r) {
        const bool shed = r == fake_targets::result::shed;
        m_queue.after(m_options.one_way, [this, at, id, shed] {
            const request::response_info facts{shed ? 503U : 200U, shed, true};
            handle(at, request::attempt_answered{id, facts});
        });
    }

    void carry_out(std::size_t at, const request::abandon_attempt& e) {
        const auto a = m_entries[at].attempts.at(e.attempt);
        m_entries[at].attempts.erase(e.attempt);
        m_queue.after(m_options.one_way,
                      [this, a, w = work_number(at, e.attempt)] {
                          m_targets.cancel(a.target, w);
                      });
    }

    void carry_out(std::size_t at, const request::forward_response& e) {
        m_entries[at].attempts.erase(e.attempt);
        finish(e.request, {});
    }

    void carry_out(std::size_t, const request::refuse_request& e) {
        finish(e.request, e.refusal.outcome);
    }

    void finish(base::request_id id, std::optional<request::outcome> refused) {
        const auto r = m_requests.at(id);
        m_requests.erase(id);
        if (r.arrived >= m_begin) {
            record(r, refused);
        }
        if (m_options.streams[r.stream].closed_loop > 0) {
            m_queue.after(std::chrono::microseconds(1),
                          [this, r] { arrive(r.stream, r.entry); });
        }
    }

    void record(const request_state& r,
                std::optional<request::outcome> refused) {
        auto& s = m_record.streams[r.stream];
        if (refused) {
            ++(*refused == request::outcome::not_run ? s.not_run : s.unknown);
            return;
        }
        ++s.answered;
        if (!r.straggler) {
            const std::chrono::duration<double, std::milli> took =
                m_queue.now() - r.arrived;
            s.latencies_ms.push_back(took.count());
        }
    }

    [[nodiscard]] static std::uint64_t work_number(std::size_t at,
                                                   base::attempt_id id) {
        constexpr std::uint64_t most_entries = 4096;
        return id.value() * most_entries + at;
    }

    const fleet_options& m_options;
    event_queue m_queue;
    base::random m_random;
    fake_targets m_targets;
    base::time_point m_begin;
    base::time_point m_end;
    std::vector<entry> m_entries;
    boost::unordered_flat_map<base::request_id, request_state> m_requests;
    std::deque<base::request_id> m_ideal_short;
    std::deque<base::request_id> m_ideal_long;
    base::request_id m_last_request;
    fleet_record m_record;
};

} // namespace

double stream_record::quantile(double q) const {
    if (latencies_ms.empty()) {
        return 0;
    }
    const auto last = static_cast<double>(latencies_ms.size() - 1);
    return latencies_ms[static_cast<std::size_t>(q * last)];
}

fleet_record run_fleet(const fleet_options& options) {
    return run(options).go();
}

} // namespace pollenreel::testing
