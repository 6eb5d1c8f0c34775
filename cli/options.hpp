// The tool's command line.
#pragma once

#include "cli/instance_client.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace pollenreel::cli {

struct options {
    std::vector<base::endpoint> instances; // asked in this order
    credentials who;
    bool json = false;
    bool wait = false;
    std::chrono::seconds wait_at_most{30};
    std::string html_path; // of `report burn`; empty: none
    std::vector<std::string> words;
};

// Throws TCLAP::ArgException; ends the process after --help and --version.
[[nodiscard]] options read_options(int argc, char** argv);

// Throws TCLAP::ArgException when `path` cannot be read.
[[nodiscard]] std::string read_whole(const std::string& path);

} // namespace pollenreel::cli
