#include "pollenreel/client_block/generate.hpp"
#include "pollenreel/client_block/shard.hpp"
#include "pollenreel/client_block/table.hpp"

#include <doctest/doctest.h>

#include <string>

namespace {

using namespace pollenreel;
using client_block::block;

constexpr std::uint32_t ten = 10U << 24U;

client_block::table sample() {
    return client_block::table::make({{ten + 512, 24, 2}, {ten, 24, 1}})
        .value();
}

} // namespace

TEST_CASE("an address belongs to the block that covers it") {
    struct row {
        const char* name;
        std::uint32_t address;
        int site; // -1: none
    };
    const row rows[] = {
        {"the first of a block", ten, 1},
        {"the last of a block", ten + 255, 1},
        {"between two blocks", ten + 256, -1},
        {"the second block", ten + 600, 2},
        {"before every block", ten - 1, -1},
        {"after every block", ten + 768, -1},
    };
    const auto t = sample();
    for (const auto& r : rows) {
        INFO(std::string(r.name));
        const auto found = t.find(r.address);
        CHECK((found ? int(*found) : -1) == r.site);
    }
}

TEST_CASE("blocks that cannot be are refused") {
    struct row {
        const char* name;
        std::vector<block> blocks;
        client_block::error why;
    };
    const row rows[] = {
        {"too long", {{ten, 33, 1}}, client_block::error::bad_block},
        {"bits past the length",
         {{ten + 1, 24, 1}},
         client_block::error::bad_block},
        {"one within another",
         {{ten, 16, 1}, {ten + 256, 24, 2}},
         client_block::error::overlap},
        {"the same twice",
         {{ten, 24, 1}, {ten, 24, 2}},
         client_block::error::overlap},
    };
    for (const auto& r : rows) {
        INFO(std::string(r.name));
        const auto made = client_block::table::make(r.blocks);
        REQUIRE(!made);
        CHECK(made.error().code == make_error_code(r.why));
    }
}

TEST_CASE("a delta may be applied twice, and leaves the old table alone") {
    const auto before = sample();
    const client_block::delta d{{{ten, 24, 9}, {ten + 256, 24, 3}},
                                {{ten + 512, 24, 2}}};
    const auto after = before.apply(d).value();
    CHECK(after.find(ten) == 9);
    CHECK(after.find(ten + 256) == 3);
    CHECK(!after.find(ten + 512));
    CHECK(before.find(ten) == 1);
    const auto again = after.apply(d).value();
    CHECK(std::equal(again.blocks().begin(), again.blocks().end(),
                     after.blocks().begin(), after.blocks().end()));
    CHECK(!before.apply({{{ten, 8, 1}}, {}}));
}

TEST_CASE("shards survive the store, each within its bound") {
    for (const std::uint64_t seed : {1, 2, 3}) {
        base::random random(seed);
        const auto blocks = client_block::generate(300'000, 180, random);
        const auto t = client_block::table::make(blocks).value();
        std::vector<block> together;
        for (const auto& s : client_block::cut(t, 4)) {
            const auto bytes = client_block::encode(s);
            CHECK(bytes.size() <= client_block::most_shard_bytes);
            const auto back = client_block::decode_shard(bytes);
            REQUIRE(back.has_value());
            CHECK(*back == s);
            together.insert(together.end(), back->blocks.begin(),
                            back->blocks.end());
        }
        CHECK(together == blocks);
    }
}

TEST_CASE("bytes that are no shard are refused") {
    const auto good = client_block::encode(
        client_block::shard{1, 1, {{ten, 24, 1}, {ten + 256, 24, 1}}});
    CHECK(!client_block::decode_shard(good.substr(0, good.size() - 3)));
    CHECK(!client_block::decode_shard("\xff\xff\xff"));
    CHECK(!client_block::decode_shard(
        client_block::encode(client_block::shard{256, 1, {}})));
    CHECK(!client_block::decode_shard(
        std::string(client_block::most_shard_bytes + 1, 'x')));
    const auto delta = client_block::decode_shard_delta(client_block::encode(
        client_block::shard_delta{1, 4, 5, {{{ten, 24, 7}}, {}}}));
    REQUIRE(delta.has_value());
    CHECK(delta->from == 4);
    CHECK(delta->to == 5);
    CHECK(delta->change.put == std::vector<block>{{ten, 24, 7}});
}
