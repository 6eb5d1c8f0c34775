#include "testing/fleet.hpp"

#include "pollenreel/http/client.hpp"
#include "testing/ports.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/process/child.hpp>
#include <boost/process/io.hpp>
#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

namespace pollenreel::testing {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds call_timeout{5000};
constexpr milliseconds poll_period{50};
constexpr int most_polls = 600;

std::vector<base::endpoint> free_endpoints(std::size_t n) {
    std::vector<base::endpoint> list(n);
    for (auto& e : list) {
        e = free_endpoint();
    }
    return list;
}

std::vector<base::endpoint> target_endpoints(const fleet_options& o) {
    return o.shared_target
               ? std::vector<base::endpoint>(o.targets, *o.shared_target)
               : free_endpoints(o.targets);
}

json::object region(const std::string& name) {
    return {{"id", name}, {"failure_domains", json::array{name + "-a"}}};
}

std::filesystem::path new_folder() {
    auto name =
        (std::filesystem::temp_directory_path() / "pollenreel-XXXXXX").string();
    return ::mkdtemp(name.data());
}

} // namespace

class process::child : public boost::process::child {
public:
    using boost::process::child::child;
};

process::process(const std::string& program,
                 const std::vector<std::string>& words,
                 const std::filesystem::path& log)
    : m_child(std::make_unique<child>(
          program, words, boost::process::std_err > log.string(),
          boost::process::std_out > log.string(),
          boost::process::std_in < boost::process::null)) {}

process::~process() {
    if (m_child->running()) {
        m_child->terminate();
    }
}

void process::signal(int number) {
    ::kill(m_child->id(), number);
}

int process::peak_memory_mb() const {
    std::ifstream status("/proc/" + std::to_string(m_child->id()) + "/status");
    const std::string field = "VmHWM:"; // in KB
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with(field)) {
            return std::stoi(line.substr(field.size())) / 1024;
        }
    }
    return 0;
}

int process::wait() {
    m_child->wait();
    return *ended();
}

std::optional<int> process::ended() {
    if (m_child->running()) {
        return std::nullopt;
    }
    constexpr int signalled = 128;
    const int status = m_child->native_exit_code();
    return WIFSIGNALED(status) ? signalled + WTERMSIG(status)
                               : WEXITSTATUS(status);
}

fleet::fleet(const fleet_options& o)
    : m_options(o), m_folder(new_folder()), m_platform(free_endpoint()),
      m_callers(free_endpoints(o.instances)),
      m_operators(free_endpoints(o.instances)),
      m_peers(free_endpoints(o.instances)), m_targets(target_endpoints(o)),
      m_daemons(o.instances) {}

fleet::~fleet() {
    m_daemons.clear();
    m_standins.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

bool fleet::start() {
    m_standins.push_back(std::make_unique<process>(
        PLATFORM_STANDIN, std::vector{m_platform.str()},
        m_folder / "platform.log"));
    for (const auto& t :
         m_options.shared_target ? std::vector<base::endpoint>() : m_targets) {
        m_standins.push_back(std::make_unique<process>(
            TARGET_STANDIN,
            std::vector<std::string>{
                t.str(), "6", std::to_string(m_options.service_time.count())},
            m_folder / "target.log"));
    }
    for (std::size_t i = 0; i < m_options.instances; ++i) {
        write_settings(i);
        start_instance(i);
    }
    for (int i = 0; i < most_polls; ++i) {
        if (in_force()) {
            return true;
        }
        std::this_thread::sleep_for(poll_period);
    }
    return false;
}

void fleet::start_instance(std::size_t i) {
    const auto name = std::to_string(i);
    // A log is opened without truncating it; the tail of an earlier, longer
    // one would be read as the new daemon's.
    std::filesystem::remove(m_folder / (name + ".log"));
    m_daemons[i] = std::make_unique<process>(
        POLLENREELD,
        std::vector<std::string>{"--settings",
                                 (m_folder / (name + ".ini")).string()},
        m_folder / (name + ".log"));
}

void fleet::signal(std::size_t i, int number) {
    m_daemons[i]->signal(number);
}

int fleet::wait(std::size_t i) {
    return m_daemons[i]->wait();
}

int fleet::peak_memory_mb(std::size_t i) const {
    return m_daemons[i]->peak_memory_mb();
}

// Declares what is to be declared, until every instance applies it.
bool fleet::in_force() const {
    http::request put;
    put.method = "PUT";
    put.path = "/v1/declarations";
    put.headers = {{"Authorization", std::string("Bearer ") + token}};
    put.body = declarations();
    (void)http::call_and_wait(m_operators[0], put, call_timeout);
    for (std::size_t i = 0; i < m_options.instances; ++i) {
        const auto status = command(i, "status");
        if (status.status != 200) {
            return false;
        }
        const auto body = json::parse(status.body);
        const auto members = body.at("members").as_array().size();
        if (body.at("version").to_number<int>() != 1 ||
            members + 1 != m_options.instances ||
            !body.at("in_force").as_bool()) {
            return false;
        }
    }
    return true;
}

http::response fleet::command(std::size_t i, const std::string& text) const {
    http::request post;
    post.method = "POST";
    post.path = "/v1/command";
    post.headers = {{"Authorization", std::string("Bearer ") + token}};
    post.body = text;
    auto answer = http::call_and_wait(m_operators[i], post, call_timeout);
    return answer ? std::move(answer.value()) : http::response{0, {}, ""};
}

std::string fleet::log_of(std::size_t i) const {
    std::ifstream file(m_folder / (std::to_string(i) + ".log"));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string fleet::domain_of(std::size_t i) const {
    return m_options.two_regions && i % 2 == 1 ? "erongo-a" : "khomas-a";
}

void fleet::write_settings(std::size_t i) const {
    std::ofstream file(m_folder / (std::to_string(i) + ".ini"));
    file << fmt::format("[instance]\nid = {}-{}\n"
                        "failure_domain = {}\n"
                        "[traffic]\nlisten = {}\n"
                        "[operators]\nlisten = {}\ntoken = {}\n"
                        "[peers]\nlisten = {}\nseeds = {}, {}\n"
                        "[store]\nendpoints = {}\n",
                        domain_of(i), i, domain_of(i), m_callers[i].str(),
                        m_operators[i].str(), token, m_peers[i].str(),
                        m_peers.front().str(), m_peers.back().str(),
                        m_platform.str());
}

std::string fleet::declarations() const {
    json::array list;
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        list.emplace_back(json::object{{"id", "cat-" + std::to_string(i)},
                                       {"failure_domain", domain_of(i)},
                                       {"address", m_targets[i].str()},
                                       {"slots", 6}});
    }
    json::array regions{region("khomas")};
    json::array links;
    if (m_options.two_regions) {
        regions.emplace_back(region("erongo"));
        links.emplace_back(json::object{{"first", "khomas"},
                                        {"second", "erongo"},
                                        {"megabits_per_second", 4000}});
    }
    const json::array kinds{
        json::object{{"id", "browse"},
                     {"methods", json::array{"GET", "HEAD"}},
                     {"idempotent", true},
                     {"deadline_ms", 2000},
                     {"priority", 3}},
        json::object{{"id", "order"},
                     {"methods", json::array{"POST"}},
                     {"idempotent", false},
                     {"deadline_ms", 5000},
                     {"priority", 0}}};
    return json::serialize(json::object{
        {"fleet_instances", m_options.instances},
        {"regions", regions},
        {"links", links},
        {"client_blocks", json::array{}},
        {"services",
         json::array{json::object{{"id", service},
                                  {"max_connections_per_target", 400},
                                  {"kinds", kinds},
                                  {"targets", list}}}}});
}

const std::vector<base::endpoint>& fleet::callers() const {
    return m_callers;
}
const std::vector<base::endpoint>& fleet::operators() const {
    return m_operators;
}
const std::vector<base::endpoint>& fleet::peers() const {
    return m_peers;
}
const std::vector<base::endpoint>& fleet::targets() const {
    return m_targets;
}
const base::endpoint& fleet::platform() const {
    return m_platform;
}

} // namespace pollenreel::testing
