#include "testing/scripted_target.hpp"

#include "testing/response_forms.hpp"

#include <utility>

namespace pollenreel::testing {

scripted_target::scripted_target(target_protocol p)
    : m_protocol(std::move(p)),
      m_server([this](const std::string& head) { return reply(head); }) {}

void scripted_target::send(raw_reply r) {
    const std::lock_guard guard(m_mutex);
    m_reply = std::move(r);
}

void scripted_target::send_to(std::string start, raw_reply r) {
    const std::lock_guard guard(m_mutex);
    m_replies_to[std::move(start)] = std::move(r);
}

int scripted_target::times_run(const std::string& id) {
    const std::lock_guard guard(m_mutex);
    return m_ran[id];
}

raw_reply scripted_target::reply(const std::string& head) {
    const std::lock_guard guard(m_mutex);
    for (const auto& [start, r] : m_replies_to) {
        if (head.starts_with(start)) {
            return r;
        }
    }
    ++m_ran[m_protocol.id_of(head)];
    auto r = m_reply;
    r.bytes = with_fields(std::move(r.bytes), m_protocol.fields_for(head));
    return r;
}

} // namespace pollenreel::testing
