#include "pollenreel/entry/value_log.hpp"

#include "pollenreel/entry/traffic.hpp"
#include "pollenreel/fleet/large_values.hpp"

namespace pollenreel::entry {

using std::chrono::milliseconds;

milliseconds value_log::since(base::time_point t) const {
    return std::chrono::duration_cast<milliseconds>(m_clock.now() - t);
}

void value_log::on_references(const std::vector<fleet::key_reference>& all,
                              const base::instance_id& relay,
                              base::time_point last_contact_at) {
    for (const auto& reference : all) {
        m_referenced_at.try_emplace(reference.key, m_clock.now());
        m_log.info("value_referenced", {{"key", reference.key},
                                        {"revision", reference.at.value},
                                        {"relay", relay.str()},
                                        {"previous_contact_age_ms",
                                         since(last_contact_at).count()}});
    }
}

void value_log::on_read(const request& r, const store::reply& a) {
    if (const auto* found = std::get_if<store::found>(&a)) {
        return on_transferred(
            r, "store", found->value ? found->value->value.size() : 0, "");
    }
    const auto* unanswered = std::get_if<store::unanswered>(&a);
    on_transferred(r, "store", 0,
                   unanswered != nullptr ? unanswered->problem : "refused");
}

void value_log::on_fetched(const request& r, const base::endpoint& from,
                           const base::result<fleet::relayed_value>& v) {
    if (v) {
        on_transferred(r, from.str(), fleet::size_of(v.value()), "");
    } else {
        on_transferred(r, from.str(), 0, v.error().text());
    }
}

void value_log::on_transferred(const request& r, std::string_view from,
                               std::size_t bytes, std::string_view problem) {
    ++m_counts.value_transfers;
    m_counts.value_transfer_failures += problem.empty() ? 0 : 1;
    m_counts.value_bytes += bytes;
    m_log.info("value_transferred", {{"key", r.key},
                                     {"from", from},
                                     {"bytes", bytes},
                                     {"took_ms", since(r.sent_at).count()},
                                     {"problem", problem}});
}

fleet::change value_log::decode(const fleet::decoder& with,
                                const store::key_change& c) {
    const auto began = m_clock.now();
    auto decoded = with(c);
    m_decode_time = since(began);
    const auto referenced = m_referenced_at.extract(c.key);
    m_transfer_time = referenced ? std::chrono::duration_cast<milliseconds>(
                                       began - referenced.mapped())
                                 : milliseconds::zero();
    return decoded;
}

} // namespace pollenreel::entry
