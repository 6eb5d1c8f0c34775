// The settings of one daemon, read from an INI file. Every key stands in one
// table (schema.hpp) with its range and default; reading, `--help` and the
// settings page all come from that table.
//
//   auto s = settings::read_file("examples/kavango/khomas-a-1.ini");
//   if (!s) log.error("settings", {{"problem", s.error().text()}});
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/base/failure.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/log/logger.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pollenreel::settings {

struct instance_settings {
    base::instance_id id;
    base::failure_domain_id failure_domain;
    log::level log_level = log::level::info;
};

struct traffic_settings {
    base::endpoint listen;
    std::uint32_t threads = 1;
    std::uint64_t max_header_bytes = 0;
    std::uint64_t max_body_bytes = 0;
    std::uint32_t max_callers = 0;
    std::chrono::milliseconds idle_timeout{};
};

struct operator_settings {
    base::endpoint listen;
    std::string token;
};

struct peer_settings {
    base::endpoint listen;
    std::vector<base::endpoint> seeds;
    // Z85 text of 40 characters each; all three empty: no encryption.
    std::string curve_public_key;
    std::string curve_secret_key;
    std::string curve_fleet_public_key;
};

struct store_settings {
    std::vector<base::endpoint> endpoints;
    std::string key_prefix;
    std::chrono::milliseconds call_timeout{};
};

struct settings {
    instance_settings instance;
    traffic_settings traffic;
    operator_settings operators;
    peer_settings peers;
    store_settings store;
};

// Reads settings from INI text. `source` names the text in errors, which name
// the key, the value and what is allowed.
[[nodiscard]] base::result<settings> read_text(std::string_view text,
                                               const std::string& source);

// The same from the file at `path`.
[[nodiscard]] base::result<settings> read_file(const std::string& path);

// One line a key: name, what is allowed, default, meaning.
[[nodiscard]] std::string describe_keys();

} // namespace pollenreel::settings
