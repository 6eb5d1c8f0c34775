// pollenreel: the operators' tool.
#include "cli/burn_report.hpp"
#include "cli/explain.hpp"
#include "cli/options.hpp"
#include "cli/render.hpp"
#include "cli/wait_in_force.hpp"
#include "pollenreel/language/parser.hpp"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <tclap/ArgException.h>

#include <cstdio>
#include <string_view>

namespace {

using namespace pollenreel;
using cli::exit_code;

void print(const cli::options& o, const cli::reply& r,
           const std::string& text) {
    if (o.json) {
        fmt::print("{}\n", boost::json::serialize(r.body));
    } else {
        fmt::print("{}", text);
    }
    (void)std::fflush(stdout); // before anything that takes long
}

// Says that there is no answer and what that means.
exit_code without_answer(const cli::options& o, const cli::reply& r,
                         bool changes) {
    fmt::print(stderr, "{}\n", r.problem);
    if (r.code == exit_code::unreachable) {
        fmt::print(stderr, "nothing was changed; ask another instance\n");
    } else if (changes) {
        fmt::print(stderr,
                   "unknown: it may have been accepted; ask again with "
                   "--command-id {}\n",
                   o.who.command_id);
    }
    return r.code;
}

exit_code finish_change(const cli::options& o,
                        const cli::instance_client& client,
                        const cli::reply& r) {
    if (!r.problem.empty()) {
        return without_answer(o, r, true);
    }
    print(o, r, cli::render_outcome(r.body, o.who.command_id));
    if (o.wait && r.code == exit_code::done) {
        return cli::wait_in_force(
            client, r.body.at("version").to_number<std::uint64_t>(),
            o.wait_at_most);
    }
    return r.code;
}

exit_code plan(const cli::options& o, const cli::instance_client& client) {
    const auto r =
        client.call("POST", "/v1/plan", cli::read_whole(o.words.at(1)));
    if (!r.problem.empty()) {
        return without_answer(o, r, false);
    }
    if (r.code != exit_code::done) {
        print(o, r, cli::render_outcome(r.body, ""));
        return r.code;
    }
    print(o, r, cli::render_plan(r.body));
    if (r.body.at("differences").as_array().empty()) {
        return exit_code::done;
    }
    return r.body.at("objections").as_array().empty() ? exit_code::differences
                                                      : exit_code::refused;
}

exit_code apply(const cli::options& o, const cli::instance_client& client) {
    return finish_change(
        o, client,
        client.call("PUT", "/v1/declarations", cli::read_whole(o.words.at(1))));
}

exit_code ask_or_command(const cli::options& o,
                         const cli::instance_client& client) {
    const auto line = fmt::format("{}", fmt::join(o.words, " "));
    const auto parsed = language::parse_line(line);
    if (!parsed) {
        const auto& problem = parsed.error();
        fmt::print(stderr, "{}",
                   cli::render_caret(line, problem.column, problem.text()));
        return exit_code::bad_usage;
    }
    if (parsed.value() ==
        language::command(language::query(language::report_burn{}))) {
        return cli::burn_report(o);
    }
    const auto r = client.call("POST", "/v1/command", line);
    if (std::holds_alternative<language::change>(parsed.value())) {
        return finish_change(o, client, r);
    }
    if (!r.problem.empty()) {
        return without_answer(o, r, false);
    }
    print(o, r, cli::render(parsed.value(), r.body));
    return r.code;
}

exit_code run(const cli::options& o) {
    const cli::instance_client client(o.instances, o.who);
    if (o.words.size() == 2 && o.words[0] == "plan") {
        return plan(o, client);
    }
    if (o.words.size() == 2 && o.words[0] == "apply") {
        return apply(o, client);
    }
    return ask_or_command(o, client);
}

} // namespace

int main(int argc, char** argv) {
    try {
        // Reads files only: needs no instance and no token.
        if (argc > 1 && std::string_view(argv[1]) == "explain") {
            return static_cast<int>(cli::run_explain(argc - 1, argv + 1));
        }
        return static_cast<int>(run(cli::read_options(argc, argv)));
    } catch (const TCLAP::ArgException& e) {
        fmt::print(stderr, "{} {}\n", e.error(), e.argId());
        return static_cast<int>(exit_code::bad_usage);
    } catch (const std::exception& e) {
        fmt::print(stderr, "the answer cannot be read: {}\n", e.what());
        return static_cast<int>(exit_code::unknown);
    }
}
