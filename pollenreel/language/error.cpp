#include "pollenreel/language/error.hpp"

#include <string>

namespace pollenreel::language {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override {
        return "language";
    }
    [[nodiscard]] std::string message(int) const override {
        return "syntax error";
    }
};

} // namespace

std::error_code make_error_code(error e) {
    static const category instance;
    return {static_cast<int>(e), instance};
}

} // namespace pollenreel::language
