#include "pollenreel/declarations/error.hpp"

#include <string>

namespace pollenreel::declarations {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override {
        return "declarations";
    }
    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<error>(value)) {
        case error::not_json:
            return "not JSON";
        case error::wrong_type:
            return "wrong type";
        case error::unknown_key:
            return "unknown key";
        case error::missing_key:
            return "missing key";
        case error::out_of_range:
            return "out of range";
        case error::duplicate:
            return "declared twice";
        case error::unknown_reference:
            return "refers to something undeclared";
        }
        return "unknown declarations error";
    }
};

} // namespace

std::error_code make_error_code(error e) {
    static const category instance;
    return {static_cast<int>(e), instance};
}

} // namespace pollenreel::declarations
