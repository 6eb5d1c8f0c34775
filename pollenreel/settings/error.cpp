#include "pollenreel/settings/error.hpp"

#include <string>

namespace pollenreel::settings {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override {
        return "settings";
    }
    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<error>(value)) {
        case error::unreadable_file:
            return "cannot read the settings file";
        case error::unknown_key:
            return "unknown settings key";
        case error::missing_key:
            return "missing settings key";
        case error::bad_value:
            return "bad settings value";
        case error::clash:
            return "settings clash";
        }
        return "unknown settings error";
    }
};

} // namespace

std::error_code make_error_code(error e) {
    static const category instance;
    return {static_cast<int>(e), instance};
}

} // namespace pollenreel::settings
