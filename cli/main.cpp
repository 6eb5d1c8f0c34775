// pollenreel: the operators' tool.
#include "pollenreel/http/client.hpp"
#include "pollenreel/http/error.hpp"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace {

using namespace pollenreel;

constexpr int exit_refused = 1;
constexpr int exit_lost_race = 2;
constexpr int exit_unknown = 3;
constexpr int exit_bad_usage = 64;
constexpr int exit_unreachable = 69;
constexpr std::chrono::milliseconds call_timeout{15'000};

struct command_line {
    base::endpoint instance;
    std::string token;
    std::string author;
    std::string command_id;
    std::vector<std::string> words;
};

std::string read_whole(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        throw TCLAP::ArgException("cannot read " + path);
    }
    return text.str();
}

std::string first_line(const std::string& text) {
    return text.substr(0, text.find_first_of("\r\n"));
}

command_line read_command_line(int argc, char** argv) {
    TCLAP::CmdLine cmd("Operators' tool. Commands: status; where SERVICE from "
                       "DOMAIN; drain target T; undrain target T; apply FILE",
                       ' ', POLLENREEL_VERSION);
    const TCLAP::ValueArg<std::string> instance(
        "i", "instance", "Operators' listener of any instance", true, "",
        "IP:PORT", cmd);
    const TCLAP::ValueArg<std::string> token_file(
        "t", "token-file", "File that holds the operators' token", true, "",
        "FILE", cmd);
    const TCLAP::ValueArg<std::string> author(
        "a", "author", "Name under which changes are recorded", false,
        "unnamed", "NAME", cmd);
    const TCLAP::ValueArg<std::string> command_id(
        "c", "command-id", "Repeat the command with this id", false, "", "ID",
        cmd);
    const TCLAP::UnlabeledMultiArg<std::string> words(
        "command", "Query or command", true, "WORD", cmd);
    cmd.parse(argc, argv);
    auto parsed = base::parse_endpoint(instance.getValue());
    if (!parsed) {
        throw TCLAP::ArgException(parsed.error().detail, "instance");
    }
    auto id = command_id.getValue();
    if (id.empty()) {
        id = to_string(boost::uuids::random_generator()());
    }
    return {parsed.value(), first_line(read_whole(token_file.getValue())),
            author.getValue(), id, words.getValue()};
}

http::request to_request(const command_line& line) {
    http::request r;
    r.method = "POST";
    r.path = "/v1/command";
    if (line.words.size() == 2 && line.words[0] == "apply") {
        r.method = "PUT";
        r.path = "/v1/declarations";
        r.body = read_whole(line.words[1]);
    } else {
        r.body = fmt::format("{}", fmt::join(line.words, " "));
    }
    r.headers = {{"Authorization", "Bearer " + line.token},
                 {"Pollenreel-Author", line.author},
                 {"Pollenreel-Command-Id", line.command_id}};
    return r;
}

int exit_code(unsigned status) {
    switch (status) {
    case 200:
        return EXIT_SUCCESS;
    case 409:
        return exit_lost_race;
    case 504:
        return exit_unknown;
    default:
        return exit_refused;
    }
}

int run(const command_line& line) {
    const auto answer =
        http::call_and_wait(line.instance, to_request(line), call_timeout);
    if (!answer) {
        const bool not_received =
            answer.error().code ==
            http::make_error_code(http::error::connect_failed);
        fmt::print(stderr, "{}{}\n", answer.error().text(),
                   not_received ? ""
                                : fmt::format("; the command may have taken "
                                              "effect: repeat it with "
                                              "--command-id {}",
                                              line.command_id));
        return not_received ? exit_unreachable : exit_unknown;
    }
    fmt::print("{}\n", answer.value().body);
    return exit_code(answer.value().status);
}

} // namespace

int main(int argc, char** argv) {
    try {
        return run(read_command_line(argc, argv));
    } catch (const TCLAP::ArgException& e) {
        fmt::print(stderr, "{} {}\n", e.error(), e.argId());
        return exit_bad_usage;
    } catch (const std::exception& e) {
        fmt::print(stderr, "{}\n", e.what());
        return EXIT_FAILURE;
    }
}
