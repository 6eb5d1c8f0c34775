#include "pollenreel/control/committer.hpp"

#include "pollenreel/base/overloaded.hpp"

namespace pollenreel::control {

namespace {

// Reads after a write whose answer was lost, before the change is called
// undecided.
constexpr int most_checks = 3;
// Writes of one change that meet others' before it is given up.
constexpr int most_attempts = 32;

} // namespace

committer::committer(std::string key) : m_key(std::move(key)) {}

void committer::learn(const declarations::configuration& applied) {
    m_applied = applied;
}

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
        std::visit(base::overloaded{
                       [&](const store::found& one) { on(one, out); },
                       [&](const store::swapped& one) { on(one, out); },
                       [&](const store::conflicting& one) { on(one, out); },
                       [&](const store::unreachable& one) { on(one, out); },
                       // Anything else is no answer to what was asked.
                       [&](const auto&) { on(store::unanswered{}, out); },
                   },
                   r);
    }
    return out;
}

void committer::start_next(step& out) {
    m_made_on.reset();
    m_unanswered_at.reset();
    m_checks_left = most_checks;
    m_attempts_left = most_attempts;
    if (m_queue.empty()) {
        m_phase = phase::idle;
        return;
    }
    if (m_stored && m_stored->value.version >= m_applied.version) {
        return proceed(out); // what was seen last is current as far as known
    }
    m_phase = phase::reading;
    out.call = store::read{m_key};
}

bool committer::take(const std::optional<store::entry>& e, step& out) {
    if (!e) {
        m_stored = stored{};
        return true;
    }
    auto decoded = declarations::decode(e->value);
    if (!decoded) {
        m_stored.reset();
        refuse("the stored configuration is damaged: " + decoded.error().text(),
               out);
        return false;
    }
    m_stored = stored{std::move(decoded.value()), e->modified};
    out.seen.push_back(e->value);
    return true;
}

void committer::on(const store::found& r, step& out) {
    if (take(r.value, out)) {
        proceed(out);
    }
}

void committer::on(const store::conflicting& r, step& out) {
    if (!r.current) {
        m_stored = stored{};
        return refuse("the stored configuration vanished", out);
    }
    if (take(r.current, out)) {
        proceed(out);
    }
}

void committer::on(const store::swapped& r, step& out) {
    m_stored = stored{m_proposed, r.at};
    out.seen.push_back(m_proposed_text);
    finish(accepted{m_proposed.version, m_proposed.summary}, out);
}

void committer::on(const store::unreachable&, step& out) {
    if (m_phase == phase::checking && m_checks_left > 0) {
        return read_again(out);
    }
    refuse("the store cannot be reached; nothing was changed", out);
}

void committer::on(const store::unanswered&, step& out) {
    if (m_phase == phase::reading) {
        return refuse("the store does not answer; nothing was changed", out);
    }
    if (m_phase == phase::writing) {
        m_unanswered_at = m_stored->at;
    }
    if (m_checks_left == 0) {
        return refuse("the store does not answer", out);
    }
    read_again(out);
}

void committer::read_again(step& out) {
    --m_checks_left;
    m_phase = phase::checking;
    out.call = store::read{m_key};
}

const declarations::configuration& committer::current() const {
    return m_stored->value.version >= m_applied.version ? m_stored->value
                                                        : m_applied;
}

void committer::proceed(step& out) {
    const auto& now = current();
    if (const auto* done = now.find_change(m_queue.front().command)) {
        return finish(accepted{done->version, done->summary}, out);
    }
    const bool all_remembered =
        !m_made_on ||
        now.version.value() - m_made_on->value() <= now.recent.size();
    if (m_unanswered_at && m_stored->at > *m_unanswered_at && all_remembered) {
        m_unanswered_at.reset(); // that write came too late for good
    }
    if (m_unanswered_at && !all_remembered) {
        return finish(undecided{}, out);
    }
    if (auto winner = conflict()) {
        return finish(std::move(*winner), out);
    }
    write(out);
}

std::optional<lost_race> committer::conflict() const {
    const auto& now = current();
    if (!m_made_on || now.version <= *m_made_on) {
        return std::nullopt;
    }
    const auto scope = scope_of(m_queue.front(), now);
    for (const auto& r : now.recent) {
        if (r.version > *m_made_on && r.scope == scope) {
            return lost_race{r.version, r.author, r.summary};
        }
    }
    if (now.version.value() - m_made_on->value() > now.recent.size()) {
        return lost_race{now.version, now.author, now.summary};
    }
    return std::nullopt;
}

void committer::write(step& out) {
    if (m_attempts_left-- == 0) {
        return refuse("too many changes at once; nothing was changed", out);
    }
    const auto& now = current();
    auto proposed = apply(m_queue.front(), now);
    if (!proposed && proposed.error().code == change_error::no_effect) {
        return refuse(proposed.error().detail, out, now.version);
    }
    if (!proposed) {
        return refuse(proposed.error().text(), out);
    }
    m_made_on = now.version;
    m_proposed = std::move(proposed.value());
    m_proposed_text = declarations::encode(m_proposed);
    if (m_proposed_text.size() > declarations::most_configuration_bytes) {
        return refuse("the configuration would exceed a value of the store",
                      out);
    }
    // What cannot be read back must never be accepted.
    if (auto back = declarations::decode(m_proposed_text); !back) {
        return refuse(back.error().text(), out);
    }
    m_phase = phase::writing;
    out.call = store::compare_and_swap{m_key, m_proposed_text, m_stored->at};
}

void committer::refuse(std::string why, step& out,
                       std::optional<base::config_version> holds_in) {
    if (m_unanswered_at) {
        return finish(undecided{}, out);
    }
    finish(refused{std::move(why), holds_in}, out);
}

void committer::finish(verdict v, step& out) {
    out.finished.push_back({m_queue.front().command, std::move(v)});
    m_queue.pop_front();
    start_next(out);
}

} // namespace pollenreel::control
