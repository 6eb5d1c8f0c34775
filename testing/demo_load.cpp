// Load of the demonstration.
//
//   demo_load SERVICE REQUESTS ENTRY[,ENTRY...] TARGET[,TARGET...] [ARCHIVE]
//
// ARCHIVE is the kind of the archive work that is mixed in.
//
// Prints one line and exits 0 only if nothing was lost, doubled or crossed.
#include "testing/caller_load.hpp"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <fmt/format.h>

namespace {

using namespace pollenreel;

constexpr int callers = 8;

std::vector<base::endpoint> endpoints(const std::string& text) {
    std::vector<std::string> parts;
    boost::split(parts, text, boost::is_any_of(","));
    std::vector<base::endpoint> list;
    list.reserve(parts.size());
    for (const auto& p : parts) {
        list.push_back(base::parse_endpoint(p).value());
    }
    return list;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 5 && argc != 6) {
        fmt::print(stderr, "usage: demo_load SERVICE REQUESTS ENTRIES TARGETS "
                           "[ARCHIVE]\n");
        return 64;
    }
    const std::string service = argv[1];
    const auto t = testing::run_callers(
        {service, endpoints(argv[3]), service, argc == 6 ? argv[5] : ""},
        callers, std::stoi(argv[2]));
    const auto a = testing::account(t, service, endpoints(argv[4]));
    fmt::print(
        "{}: asked {}, answered {} (archive {}), lost {}, crossed {}, orders "
        "acknowledged {}, of unknown outcome {}, doubled {}, vanished "
        "{}, run though told not-run {}, p50 {:.1f} ms, p99 {:.1f} ms\n",
        service, t.asked, t.answered, t.archived, t.lost, t.crossed,
        t.acknowledged.size(), t.unknown.size(), a.doubled, a.vanished,
        a.phantom, testing::quantile(t.latencies_ms, 0.5),
        testing::quantile(t.latencies_ms, 0.99));
    const bool clean = t.lost == 0 && t.crossed == 0 && a.doubled == 0 &&
                       a.vanished == 0 && a.phantom == 0;
    return clean ? 0 : 1;
}
