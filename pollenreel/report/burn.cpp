#include "pollenreel/report/burn.hpp"

namespace pollenreel::report {

namespace {

constexpr double million = 1'000'000;

// Indices of `windows`.
enum window_index : std::size_t {
    five_minutes,
    thirty_minutes,
    one_hour,
    six_hours,
    three_days,
};

struct rule {
    double rate;
    window_index longer;
    window_index shorter;
    alarm raises;
};

constexpr rule rules[] = {
    {14.4, one_hour, five_minutes, alarm::page},
    {6, six_hours, thirty_minutes, alarm::page},
    {1, three_days, six_hours, alarm::ticket},
};

bool reaches(const level& l, window_index window, double rate) {
    const auto burning = burn_rate(l.in_window.at(window), l.objective);
    return burning && *burning >= rate;
}

burn_row row_of(const level_key& key, const level& l) {
    burn_row row{key, l, {}, alarm_of(l)};
    for (std::size_t i = 0; i < windows.size(); ++i) {
        row.rate.at(i) = burn_rate(l.in_window.at(i), l.objective);
    }
    return row;
}

} // namespace

std::string_view to_string(alarm a) {
    switch (a) {
    case alarm::none:
        return "-";
    case alarm::ticket:
        return "TICKET";
    case alarm::page:
        return "PAGE";
    }
    return "";
}

std::optional<double> burn_rate(const level_counts& c,
                                const declarations::objective& o) {
    if (c.total == 0) {
        return std::nullopt;
    }
    const auto bad = static_cast<double>(c.total - c.good);
    const auto allowed = (million - o.good_per_million) / million;
    return bad / static_cast<double>(c.total) / allowed;
}

alarm alarm_of(const level& l) {
    for (const auto& r : rules) {
        if (reaches(l, r.longer, r.rate) && reaches(l, r.shorter, r.rate)) {
            return r.raises;
        }
    }
    return alarm::none;
}

std::vector<burn_row> burn_rows(const service_levels& s) {
    std::map<level_key, level> all;
    for (const auto& [key, l] : s.levels) {
        all[key].add(l);
        all[{key.service, key.kind, {}}].add(l);
    }
    std::vector<burn_row> rows;
    rows.reserve(all.size());
    for (const auto& [key, l] : all) { // an empty region sorts first
        rows.push_back(row_of(key, l));
    }
    return rows;
}

} // namespace pollenreel::report
