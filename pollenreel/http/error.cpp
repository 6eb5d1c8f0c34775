#include "pollenreel/http/error.hpp"

#include <string>

namespace pollenreel::http {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "http"; }
    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<error>(value)) {
        case error::cannot_listen:
            return "cannot listen";
        case error::connect_failed:
            return "connect failed";
        case error::timed_out:
            return "timed out";
        case error::connection_lost:
            return "connection lost";
        case error::incomplete_message:
            return "incomplete message";
        case error::malformed_message:
            return "malformed message";
        case error::too_large:
            return "message too large";
        }
        return "unknown HTTP error";
    }
};

} // namespace

std::error_code make_error_code(error e) {
    static const category instance;
    return {static_cast<int>(e), instance};
}

} // namespace pollenreel::http
