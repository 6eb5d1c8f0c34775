#include "pollenreel/request/idle_evidence.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

namespace pollenreel::request {

namespace {

using namespace std::chrono_literals;

// Older reuses say little about the network's present state.
constexpr base::duration window = 10s;
// Losses are rarer than answers, and those on other connections must not make
// an idle time look harmless that broke one just now.
constexpr base::duration loss_window = 60s;
// Percentage of the proven time that is relied on: the peer's timer differs
// from that of the instance by the time of a message's way.
constexpr int proven_percent = 60;
// Responses on connections that were idle for at least as long as the proven
// time. With fewer, a fault that drops one connection in ten goes unnoticed.
constexpr std::size_t min_answers = 20;
constexpr std::size_t max_reuses = 256;

template <class Reuses>
void add(Reuses& to, base::duration idle, base::duration kept,
         base::time_point now) {
    to.push_back({now, idle});
    while (to.size() > max_reuses || now - to.front().at > kept) {
        to.pop_front();
    }
}

} // namespace

void idle_evidence::on_answered(base::duration idle, base::time_point now) {
    add(m_answered, idle, window, now);
}

void idle_evidence::on_lost(base::duration idle, base::time_point now) {
    add(m_lost, idle, loss_window, now);
}

base::duration idle_evidence::proven(base::time_point now) const {
    std::vector<base::duration> recent;
    for (const auto& r : m_answered) {
        if (now - r.at <= window) {
            recent.push_back(r.idle);
        }
    }
    if (recent.size() < min_answers) {
        return {};
    }
    const auto nth = recent.begin() + (min_answers - 1);
    std::nth_element(recent.begin(), nth, recent.end(), std::greater<>());
    auto result = *nth * proven_percent / 100;
    for (const auto& r : m_lost) {
        if (now - r.at <= loss_window) {
            result = std::min(result, r.idle / 2);
        }
    }
    return result;
}

} // namespace pollenreel::request
