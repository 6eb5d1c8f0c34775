#include "cli/options.hpp"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <fstream>
#include <sstream>

namespace pollenreel::cli {

namespace {

constexpr std::string_view about =
    "Asks and commands a pollenreel fleet through any of its instances. "
    "COMMAND is one of: status | where SERVICE from DOMAIN | why SERVICE from "
    "DOMAIN | shifts | history | report burn | drain PLACE | undrain PLACE | "
    "shift SERVICE REGION -> REGION SHARE cap BANDWIDTH over DURATION | pause, "
    "resume, reverse or abort shift ID | limit SERVICE in REGION RATE | "
    "unlimit SERVICE in REGION | plan FILE | apply FILE | explain REQUEST-ID "
    "LOGFILE... (see 'explain --help'). PLACE is target "
    "NAME, domain NAME or instance NAME. Quote '->'. ";

std::string first_line(const std::string& text) {
    return text.substr(0, text.find_first_of("\r\n"));
}

std::vector<base::endpoint> read_endpoints(const std::string& text) {
    auto list = text.starts_with('@') ? read_whole(text.substr(1)) : text;
    std::vector<std::string> parts;
    boost::split(parts, list, boost::is_any_of(", \r\n"),
                 boost::token_compress_on);
    std::vector<base::endpoint> endpoints;
    for (const auto& part : parts) {
        if (part.empty()) {
            continue;
        }
        auto parsed = base::parse_endpoint(part);
        if (!parsed) {
            throw TCLAP::ArgException(parsed.error().detail, "instance");
        }
        endpoints.push_back(parsed.value());
    }
    if (endpoints.empty()) {
        throw TCLAP::ArgException("names no instance", "instance");
    }
    return endpoints;
}

} // namespace

std::string read_whole(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        throw TCLAP::ArgException("cannot read " + path);
    }
    return text.str();
}

options read_options(int argc, char** argv) {
    TCLAP::CmdLine cmd(std::string(about) + std::string(exit_codes_help), ' ',
                       POLLENREEL_VERSION);
    const TCLAP::ValueArg<std::string> instance(
        "i", "instance",
        "Operators' listeners of one or more instances, comma-separated, or "
        "of those that FILE lists. The first that can be reached is asked; "
        "'report burn' asks all",
        true, "", "IP:PORT,...|@FILE", cmd);
    const TCLAP::ValueArg<std::string> token_file(
        "t", "token-file", "File that holds the operators' token", true, "",
        "FILE", cmd);
    const TCLAP::ValueArg<std::string> author(
        "a", "author", "Name under which changes are recorded", false,
        "unnamed", "NAME", cmd);
    const TCLAP::ValueArg<std::string> command_id(
        "c", "command-id", "Repeat the command with this id", false, "", "ID",
        cmd);
    const TCLAP::SwitchArg json("j", "json", "Answer in JSON, for machines",
                                cmd);
    const TCLAP::SwitchArg wait(
        "w", "wait", "After a change, wait until it is in force", cmd);
    const TCLAP::ValueArg<std::uint32_t> wait_seconds(
        "", "wait-seconds", "Longest that --wait waits", false, 30, "SECONDS",
        cmd);
    const TCLAP::ValueArg<std::string> html(
        "", "html", "Write 'report burn' as a page to FILE", false, "", "FILE",
        cmd);
    const TCLAP::UnlabeledMultiArg<std::string> words(
        "command", "Query or command", true, "COMMAND", cmd);
    cmd.parse(argc, argv);
    auto id = command_id.getValue();
    if (id.empty()) {
        id = to_string(boost::uuids::random_generator()());
    }
    return {
        read_endpoints(instance.getValue()),
        {first_line(read_whole(token_file.getValue())), author.getValue(), id},
        json.getValue(),
        wait.getValue(),
        std::chrono::seconds(wait_seconds.getValue()),
        html.getValue(),
        words.getValue()};
}

} // namespace pollenreel::cli
