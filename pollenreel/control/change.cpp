#include "pollenreel/control/change.hpp"

#include "pollenreel/base/overloaded.hpp"

#include <algorithm>

namespace pollenreel::control {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override {
        return "change";
    }
    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<change_error>(value)) {
        case change_error::unknown_target:
            return "unknown target";
        case change_error::no_effect:
            return "nothing to change";
        }
        return "unknown change error";
    }
};

bool declares(const declarations::document& d, const base::target_id& id) {
    return std::any_of(
        d.services.begin(), d.services.end(), [&](const auto& s) {
            return std::any_of(s.targets.begin(), s.targets.end(),
                               [&](const auto& t) { return t.id == id; });
        });
}

base::result<std::string> mutate(declarations::configuration& c,
                                 const apply_document& m) {
    if (c.declared == m.document) {
        return base::failure{make_error_code(change_error::no_effect), ""};
    }
    c.declared = m.document;
    return std::string("apply declarations");
}

base::result<std::string> mutate(declarations::configuration& c,
                                 const language::drain_target& m) {
    if (!declares(c.declared, m.target)) {
        return base::failure{make_error_code(change_error::unknown_target),
                             m.target.str()};
    }
    if (!c.commanded.drained_targets.insert(m.target).second) {
        return base::failure{make_error_code(change_error::no_effect),
                             m.target.str() + " is drained already"};
    }
    return "drain target " + m.target.str();
}

base::result<std::string> mutate(declarations::configuration& c,
                                 const language::undrain_target& m) {
    if (c.commanded.drained_targets.erase(m.target) == 0) {
        return base::failure{make_error_code(change_error::no_effect),
                             m.target.str() + " is not drained"};
    }
    return "undrain target " + m.target.str();
}

} // namespace

std::error_code make_error_code(change_error e) {
    static const category instance;
    return {static_cast<int>(e), instance};
}

base::result<declarations::configuration>
apply(const change& c, const declarations::configuration& current) {
    auto changed = current;
    auto mutated = std::visit([&](const auto& m) { return mutate(changed, m); },
                              c.mutation);
    if (!mutated) {
        return mutated.error();
    }
    changed.summary = mutated.value();
    changed.version = current.version.next();
    changed.command = c.command;
    changed.author = c.author;
    return changed;
}

} // namespace pollenreel::control
