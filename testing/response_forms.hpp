// What HTTP calls a response and what it does not, as bytes: a table for tests
// of everything that reads responses.
#pragma once

#include "testing/raw_server.hpp"

#include <optional>
#include <string>
#include <vector>

namespace pollenreel::testing {

struct response_form {
    std::string name;
    // "@" stands for further fields.
    std::string bytes;
    after_reply then = after_reply::closes;
    // What a reader delivers; nullopt if the bytes are no whole response.
    struct delivered {
        unsigned status;
        std::string body;
    };
    std::optional<delivered> expected;
};

// Responses to a GET, and to a POST whose body was read.
[[nodiscard]] const std::vector<response_form>& response_forms();

// Some of them with that body, for clients that read its contents and take none
// that ends with the connection.
[[nodiscard]] std::vector<response_form>
response_forms_with(const std::string& body);

// Puts whole lines of fields in place of the mark in a form's bytes.
[[nodiscard]] std::string with_fields(std::string bytes,
                                      const std::string& fields);

} // namespace pollenreel::testing
