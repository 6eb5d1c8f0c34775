// `pollenreel explain REQUEST-ID FILE...`: tells what became of one request
// from the logs of any number of instances.
#pragma once

#include "cli/exit_code.hpp"

#include <string>
#include <vector>

namespace pollenreel::cli {

// Lines of one instance's log.
struct log_file {
    std::string name;
    std::string text;
};

struct story {
    std::string text; // one line an event, in the order of time
    std::size_t events = 0;
    std::size_t unreadable = 0; // lines that are no JSON objects, or cut short
};

// Text before the first brace of a line is ignored, so that collectors may
// prefix lines.
[[nodiscard]] story explain(const std::string& request,
                            const std::vector<log_file>& files);

// The subcommand; `argv[0]` is its name. Throws TCLAP::ArgException.
[[nodiscard]] exit_code run_explain(int argc, char** argv);

} // namespace pollenreel::cli
