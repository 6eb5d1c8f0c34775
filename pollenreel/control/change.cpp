#include "pollenreel/control/change.hpp"

#include "pollenreel/control/safety.hpp"
#include "pollenreel/declarations/difference.hpp"
#include "pollenreel/language/nearest.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <set>

namespace pollenreel::control {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override {
        return "change";
    }
    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<change_error>(value)) {
        case change_error::unknown_name:
            return "unknown name";
        case change_error::no_effect:
            return "nothing to change";
        case change_error::unsafe:
            return "unsafe";
        }
        return "unknown change error";
    }
};

using declarations::configuration;
using declarations::document;

// Names of what `kind` calls, as far as they are declared.
std::vector<std::string_view> names_of(const document& d,
                                       std::string_view kind) {
    std::vector<std::string_view> names;
    for (const auto& r : d.regions) {
        if (kind == "region") {
            names.push_back(r.id.str());
        }
        for (const auto& domain : r.failure_domains) {
            if (kind == "domain") {
                names.push_back(domain.str());
            }
        }
    }
    for (const auto& s : d.services) {
        if (kind == "service") {
            names.push_back(s.id.str());
        }
        for (const auto& t : s.targets) {
            if (kind == "target") {
                names.push_back(t.id.str());
            }
        }
    }
    return names;
}

base::failure unknown(const document& d, std::string_view kind,
                      const std::string& name) {
    const auto names = names_of(d, kind);
    const auto meant = language::nearest(name, names);
    return {make_error_code(change_error::unknown_name),
            fmt::format("no {} is called '{}'{}", kind, name,
                        meant.empty()
                            ? ""
                            : fmt::format("; did you mean '{}'?", meant))};
}

base::failure no_effect(std::string why) {
    return {make_error_code(change_error::no_effect), std::move(why)};
}

const declarations::service* find_service(const document& d,
                                          const base::service_id& id) {
    const auto found = std::find_if(d.services.begin(), d.services.end(),
                                    [&](const auto& s) { return s.id == id; });
    return found == d.services.end() ? nullptr : &*found;
}

bool declares(const document& d, const base::target_id& id) {
    return std::any_of(
        d.services.begin(), d.services.end(), [&](const auto& s) {
            return std::any_of(s.targets.begin(), s.targets.end(),
                               [&](const auto& t) { return t.id == id; });
        });
}

bool declares(const document& d, const base::region_id& id) {
    return std::any_of(d.regions.begin(), d.regions.end(),
                       [&](const auto& r) { return r.id == id; });
}

bool declares(const document& d, const base::failure_domain_id& id) {
    return std::any_of(d.regions.begin(), d.regions.end(), [&](const auto& r) {
        return std::find(r.failure_domains.begin(), r.failure_domains.end(),
                         id) != r.failure_domains.end();
    });
}

// Instances are not declared; any name may be drained.
bool declares(const document&, const base::instance_id&) {
    return true;
}

std::set<base::target_id>& drained(declarations::steering& s,
                                   const base::target_id&) {
    return s.drained_targets;
}
std::set<base::failure_domain_id>& drained(declarations::steering& s,
                                           const base::failure_domain_id&) {
    return s.drained_domains;
}
std::set<base::instance_id>& drained(declarations::steering& s,
                                     const base::instance_id&) {
    return s.drained_instances;
}

std::string_view noun(const base::target_id&) {
    return "target";
}
std::string_view noun(const base::failure_domain_id&) {
    return "domain";
}
std::string_view noun(const base::instance_id&) {
    return "instance";
}

// "3 added, 1 changed".
std::string count_differences(const document& before, const document& after) {
    using declarations::change_kind;
    std::size_t counts[3] = {};
    for (const auto& d : declarations::difference(before, after)) {
        ++counts[static_cast<std::size_t>(d.kind)];
    }
    std::vector<std::string> parts;
    for (const auto& [kind, word] :
         {std::pair(change_kind::added, "added"),
          std::pair(change_kind::removed, "removed"),
          std::pair(change_kind::changed, "changed")}) {
        const auto n = counts[static_cast<std::size_t>(kind)];
        if (n > 0) {
            parts.push_back(fmt::format("{} {}", n, word));
        }
    }
    return parts.empty() ? "order only"
                         : fmt::format("{}", fmt::join(parts, ", "));
}

base::result<std::string> mutate(configuration& c, const apply_document& m) {
    if (c.declared == m.document) {
        return no_effect("this is declared already");
    }
    auto summary = fmt::format("apply declarations: {}",
                               count_differences(c.declared, m.document));
    c.declared = m.document;
    return summary;
}

base::result<std::string> mutate(configuration& c, const language::drain& m) {
    return std::visit(
        [&](const auto& id) -> base::result<std::string> {
            if (!declares(c.declared, id)) {
                return unknown(c.declared, noun(id), id.str());
            }
            if (!drained(c.commanded, id).insert(id).second) {
                return no_effect(fmt::format("{} {} is drained already",
                                             noun(id), id.str()));
            }
            return fmt::format("drain {} {}", noun(id), id.str());
        },
        m.what);
}

base::result<std::string> mutate(configuration& c, const language::undrain& m) {
    return std::visit(
        [&](const auto& id) -> base::result<std::string> {
            if (drained(c.commanded, id).erase(id) == 0) {
                return no_effect(
                    fmt::format("{} {} is not drained", noun(id), id.str()));
            }
            return fmt::format("undrain {} {}", noun(id), id.str());
        },
        m.what);
}

base::result<std::string> mutate(configuration& c,
                                 const language::start_shift& m) {
    if (find_service(c.declared, m.service) == nullptr) {
        return unknown(c.declared, "service", m.service.str());
    }
    for (const auto& region : {m.from, m.to}) {
        if (!declares(c.declared, region)) {
            return unknown(c.declared, "region", region.str());
        }
    }
    c.commanded.shifts.push_back(
        {base::shift_id(c.command.str()), m.service, m.from, m.to, m.percent,
         m.cap_megabits_per_second, m.over, declarations::shift_state::active});
    return fmt::format("shift {} {} -> {} {}%", m.service.str(), m.from.str(),
                       m.to.str(), m.percent);
}

base::result<std::string> set_state(configuration& c, const base::shift_id& id,
                                    declarations::shift_state state,
                                    std::string_view verb) {
    for (auto& s : c.commanded.shifts) {
        if (s.id == id) {
            if (s.state == state) {
                return no_effect("the shift is in that state already");
            }
            s.state = state;
            return fmt::format("{} shift {}", verb, id.str());
        }
    }
    return unknown(c.declared, "shift", id.str());
}

base::result<std::string> mutate(configuration& c,
                                 const language::pause_shift& m) {
    return set_state(c, m.shift, declarations::shift_state::paused, "pause");
}

base::result<std::string> mutate(configuration& c,
                                 const language::resume_shift& m) {
    return set_state(c, m.shift, declarations::shift_state::active, "resume");
}

base::result<std::string> mutate(configuration& c,
                                 const language::reverse_shift& m) {
    return set_state(c, m.shift, declarations::shift_state::reversing,
                     "reverse");
}

base::result<std::string> mutate(configuration& c,
                                 const language::abort_shift& m) {
    const auto gone = std::erase_if(
        c.commanded.shifts, [&](const auto& s) { return s.id == m.shift; });
    if (gone == 0) {
        return unknown(c.declared, "shift", m.shift.str());
    }
    return "abort shift " + m.shift.str();
}

bool same_scope(const declarations::limit& l, const base::service_id& service,
                const base::region_id& region) {
    return l.service == service && l.region == region;
}

base::result<std::string> mutate(configuration& c,
                                 const language::set_limit& m) {
    if (find_service(c.declared, m.service) == nullptr) {
        return unknown(c.declared, "service", m.service.str());
    }
    if (!declares(c.declared, m.region)) {
        return unknown(c.declared, "region", m.region.str());
    }
    std::erase_if(c.commanded.limits, [&](const auto& l) {
        return same_scope(l, m.service, m.region);
    });
    c.commanded.limits.push_back({m.service, m.region, m.requests_per_second});
    return fmt::format("limit {} in {} to {}/s", m.service.str(),
                       m.region.str(), m.requests_per_second);
}

base::result<std::string> mutate(configuration& c,
                                 const language::remove_limit& m) {
    const auto gone = std::erase_if(c.commanded.limits, [&](const auto& l) {
        return same_scope(l, m.service, m.region);
    });
    if (gone == 0) {
        return no_effect("there is no such limit");
    }
    return fmt::format("remove limit of {} in {}", m.service.str(),
                       m.region.str());
}

base::result<std::string> mutate(configuration& c, const language::change& m) {
    return std::visit([&](const auto& one) { return mutate(c, one); }, m);
}

std::string service_scope(std::string_view kind, const base::service_id& id) {
    return fmt::format("{} {}", kind, id.str());
}

// A shift competes with the others of its service.
std::string scope(const configuration& c, const base::shift_id& id) {
    for (const auto& s : c.commanded.shifts) {
        if (s.id == id) {
            return service_scope("shifts", s.service);
        }
    }
    return "shift " + id.str();
}

std::string scope(const base::target_id& id) {
    return "target " + id.str();
}
std::string scope(const base::failure_domain_id& id) {
    return "domain " + id.str();
}
std::string scope(const base::instance_id& id) {
    return "instance " + id.str();
}

std::string scope(const configuration&, const apply_document&) {
    return "declarations";
}
std::string scope(const configuration&, const language::drain& m) {
    return std::visit([](const auto& id) { return scope(id); }, m.what);
}
std::string scope(const configuration&, const language::undrain& m) {
    return std::visit([](const auto& id) { return scope(id); }, m.what);
}
std::string scope(const configuration&, const language::start_shift& m) {
    return service_scope("shifts", m.service);
}
std::string scope(const configuration& c, const language::pause_shift& m) {
    return scope(c, m.shift);
}
std::string scope(const configuration& c, const language::resume_shift& m) {
    return scope(c, m.shift);
}
std::string scope(const configuration& c, const language::reverse_shift& m) {
    return scope(c, m.shift);
}
std::string scope(const configuration& c, const language::abort_shift& m) {
    return scope(c, m.shift);
}
std::string scope(const configuration&, const language::set_limit& m) {
    return service_scope("limits", m.service);
}
std::string scope(const configuration&, const language::remove_limit& m) {
    return service_scope("limits", m.service);
}
std::string scope(const configuration& c, const language::change& m) {
    return std::visit([&](const auto& one) { return scope(c, one); }, m);
}

void remember(configuration& c, declarations::change_record r) {
    using declarations::most_recent_changes;
    c.recent.push_back(std::move(r));
    if (c.recent.size() > most_recent_changes) {
        c.recent.erase(c.recent.begin(), c.recent.end() - most_recent_changes);
    }
}

} // namespace

std::string scope_of(const change& c, const configuration& current) {
    return std::visit([&](const auto& m) { return scope(current, m); },
                      c.mutation);
}

std::error_code make_error_code(change_error e) {
    static const category instance;
    return {static_cast<int>(e), instance};
}

base::result<declarations::configuration>
apply(const change& c, const declarations::configuration& current) {
    auto changed = current;
    changed.command = c.command;
    changed.author = c.author;
    auto mutated = std::visit([&](const auto& m) { return mutate(changed, m); },
                              c.mutation);
    if (!mutated) {
        return mutated.error();
    }
    if (const auto why = objections(current, changed); !why.empty()) {
        return base::failure{make_error_code(change_error::unsafe),
                             fmt::format("{}", fmt::join(why, "; "))};
    }
    changed.summary = mutated.value();
    changed.version = current.version.next();
    remember(changed, {changed.version, c.command, c.author, changed.summary,
                       scope_of(c, current), c.at});
    return changed;
}

} // namespace pollenreel::control
