#include "pollenreel/control/committer.hpp"

namespace pollenreel::control {

namespace {

// Reads after a write whose answer was lost, before the change is called
// undecided.
constexpr int most_checks = 3;

} // namespace

committer::committer(std::string key) : m_key(std::move(key)) {}

committer::step committer::submit(change c) {
    step out;
    m_queue.push_back(std::move(c));
    if (m_phase == phase::idle) {
        start_next(out);
    }
    return out;
}

committer::step committer::on_reply(const store::reply& r) {
    step out;
    if (m_phase != phase::idle) {
        std::visit([&](const auto& one) { on(one, out); }, r);
    }
    return out;
}

void committer::start_next(step& out) {
    if (m_queue.empty()) {
        m_phase = phase::idle;
        return;
    }
    m_phase = phase::reading;
    m_checks_left = most_checks;
    out.call = store::read{m_key};
}

void committer::on(const store::found& r, step& out) {
    declarations::configuration current;
    store::revision at;
    if (r.value) {
        auto decoded = declarations::decode(r.value->value);
        if (!decoded) {
            return finish(refused{"the stored configuration is damaged: " +
                                  decoded.error().text()},
                          out);
        }
        current = std::move(decoded.value());
        at = r.value->modified;
        out.seen = current;
    }
    if (current.command == m_queue.front().command) {
        return finish(accepted{current}, out);
    }
    write(current, at, out);
}

void committer::write(const declarations::configuration& current,
                      store::revision at, step& out) {
    auto proposed = apply(m_queue.front(), current);
    if (!proposed && proposed.error().code == change_error::no_effect) {
        return finish(unchanged{current.version, proposed.error().detail}, out);
    }
    if (!proposed) {
        return finish(refused{proposed.error().text()}, out);
    }
    m_proposed = std::move(proposed.value());
    m_phase = phase::writing;
    out.call =
        store::compare_and_swap{m_key, declarations::encode(m_proposed), at};
}

void committer::on(const store::swapped&, step& out) {
    out.seen = m_proposed;
    finish(accepted{m_proposed}, out);
}

void committer::on(const store::conflicting& r, step& out) {
    if (r.current) {
        if (auto winner = declarations::decode(r.current->value)) {
            out.seen = winner.value();
            if (winner.value().command == m_queue.front().command) {
                return finish(accepted{winner.value()}, out);
            }
            return finish(lost_race{winner.value().version,
                                    winner.value().author,
                                    winner.value().summary},
                          out);
        }
    }
    finish(refused{"the stored configuration vanished or is damaged"}, out);
}

void committer::on(const store::unreachable&, step& out) {
    if (m_phase == phase::checking && m_checks_left > 0) {
        --m_checks_left;
        out.call = store::read{m_key};
        return;
    }
    if (m_phase == phase::checking) {
        return finish(undecided{}, out);
    }
    finish(refused{"the store cannot be reached; nothing was changed"}, out);
}

void committer::on(const store::unanswered&, step& out) {
    if (m_phase == phase::reading) {
        return finish(refused{"the store does not answer; nothing was changed"},
                      out);
    }
    if (m_checks_left == 0) {
        return finish(undecided{}, out);
    }
    --m_checks_left;
    m_phase = phase::checking;
    out.call = store::read{m_key};
}

void committer::finish(verdict v, step& out) {
    out.finished.push_back({m_queue.front().command, std::move(v)});
    m_queue.pop_front();
    start_next(out);
}

} // namespace pollenreel::control
