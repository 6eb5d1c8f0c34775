#include "testing/platform_standin.hpp"

#include "pollenreel/store/etcd_client.hpp"

#include <doctest/doctest.h>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
namespace asio = boost::asio;

base::endpoint free_endpoint() {
    asio::io_context io;
    const asio::ip::tcp::acceptor probe(io,
                                        {asio::ip::address_v4::loopback(), 0});
    return {"127.0.0.1", probe.local_endpoint().port()};
}

// The adapter and the stand-in on one thread.
struct fixture {
    asio::io_context io;
    base::endpoint at = free_endpoint();
    testing::platform_standin platform{io, at};
    store::etcd_client client{io, {at}, 200ms};

    fixture() { REQUIRE(platform.start().has_value()); }

    store::reply call(const store::request& r) {
        std::optional<store::reply> got;
        client.call(r, [&](const store::reply& one) { got = one; });
        while (!got) {
            io.run_one();
        }
        return *got;
    }
    template <class Reply>
    Reply expect(const store::request& r) {
        auto got = call(r);
        REQUIRE(std::holds_alternative<Reply>(got));
        return std::get<Reply>(got);
    }
};

// Collects what a watch brings.
struct watcher {
    fixture& f;
    std::vector<store::watch_report> reports;
    std::unique_ptr<store::open_watch> open;

    watcher(fixture& on, const store::watch& w)
        : f(on), open(on.client.open(
                     w, [this](const auto& r) { reports.push_back(r); })) {}
    template <class Report>
    Report next(std::size_t index) {
        while (reports.size() <= index) {
            f.io.run_one();
        }
        REQUIRE(std::holds_alternative<Report>(reports[index]));
        return std::get<Report>(reports[index]);
    }
};

} // namespace

TEST_CASE("calls over HTTP mean what their messages say") {
    fixture f;
    using store::revision;
    const auto first =
        f.expect<store::swapped>(store::compare_and_swap{"p/a", "1", {}});
    CHECK(f.expect<store::conflicting>(store::compare_and_swap{"p/a", "2", {}})
              .current->value == "1");
    const auto lease = f.expect<store::lease_held>(store::grant_lease{60s});
    CHECK(lease.time_to_live == 60s);
    f.expect<store::swapped>(
        store::compare_and_swap{"p/b", "bound", {}, lease.lease});
    const auto all = f.expect<store::found_all>(store::read_prefix{"p/"});
    REQUIRE(all.entries.size() == 2);
    CHECK(all.entries[1].lease == lease.lease);
    CHECK(f.expect<store::lease_held>(store::keep_alive{lease.lease}).lease ==
          lease.lease);
    f.expect<store::lease_revoked>(store::revoke_lease{lease.lease});
    f.expect<store::lease_revoked>(store::revoke_lease{lease.lease});
    f.expect<store::lease_gone>(store::keep_alive{lease.lease});
    CHECK(!f.expect<store::found>(store::read{"p/b"}).value.has_value());
    f.expect<store::lease_gone>(
        store::compare_and_swap{"p/c", "late", {}, lease.lease});
    const auto probe = f.expect<store::found>(store::read{"p/a", true});
    CHECK(probe.value->value.empty());
    CHECK(probe.value->modified == first.at);
    f.expect<store::conflicting>(
        store::compare_and_remove{"p/a", revision{first.at.value + 1}});
    f.expect<store::removed>(store::compare_and_remove{"p/a", first.at});
    CHECK(f.platform.calls() == 14);
}

TEST_CASE("an answer that was lost after the write leaves the write") {
    fixture f;
    f.platform.faults.lose_next = 1;
    f.expect<store::unanswered>(store::compare_and_swap{"k", "1", {}});
    CHECK(f.expect<store::found>(store::read{"k"}).value->value == "1");
    f.platform.faults.down = true;
    f.expect<store::unanswered>(store::read{"k"});
}

TEST_CASE("a watch brings changes from its revision on and counts as one") {
    fixture f;
    const auto first =
        f.expect<store::swapped>(store::compare_and_swap{"k/1", "a", {}});
    watcher w(f, {"k/", true, first.at});
    (void)w.next<store::watch_opened>(0);
    const auto old = w.next<store::watch_changed>(1);
    REQUIRE(old.changes.size() == 1);
    CHECK(old.changes[0].value->value == "a");
    f.expect<store::removed>(store::compare_and_remove{"k/1", first.at});
    const auto gone = w.next<store::watch_changed>(2);
    CHECK(gone.changes.at(0).key == "k/1");
    CHECK(!gone.changes.at(0).value.has_value());
    CHECK(f.platform.calls() == 3);
    f.platform.cut_watches();
    (void)w.next<store::watch_closed>(3);
}

TEST_CASE("a lapsed lease removes its keys and watches see it") {
    fixture f;
    const auto lease = f.expect<store::lease_held>(store::grant_lease{1s});
    f.expect<store::swapped>(
        store::compare_and_swap{"k", "bound", {}, lease.lease});
    watcher w(f, {"k", false, {2}});
    (void)w.next<store::watch_opened>(0);
    CHECK(!w.next<store::watch_changed>(1).changes.at(0).value.has_value());
}
