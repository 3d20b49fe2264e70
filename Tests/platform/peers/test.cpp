// Membership by gossip, and who reads the store.
#include "policy/peer_table.h"
#include "policy/store_reading.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

const instant zero {};
constexpr milliseconds silence { 5'000 };

peer_info entry(const std::string& host, const std::string& zone, std::uint64_t incarnation = 1)
{
    return { host, zone, peer_role::entry, incarnation };
}

} // namespace

TEST_CASE("a process that is silent is dropped, one that others heard of is kept")
{
    peer_table table(entry("10.0.0.1", "a"), { "10.0.0.2" }, silence);
    CHECK(table.seedsToAsk() == std::vector<std::string> { "10.0.0.2" });
    table.noteHeard(entry("10.0.0.2", "a"), zero);
    table.noteHeard(entry("10.0.0.3", "b"), zero);
    CHECK(table.seedsToAsk().empty());
    table.noteTold(entry("10.0.0.3", "b"), milliseconds(100), zero + milliseconds(4'000));
    const auto dropped = table.dropSilent(zero + silence);
    CHECK(dropped == std::vector<std::string> { "10.0.0.2" });
    CHECK(table.count(peer_role::entry) == 1);
    CHECK(table.mostEntries() == 3);
}

TEST_CASE("news of an earlier life of a process changes nothing")
{
    peer_table table(entry("10.0.0.1", "a"), {}, silence);
    CHECK(table.noteHeard(entry("10.0.0.2", "a", 7), zero));
    CHECK_FALSE(table.noteHeard(entry("10.0.0.2", "a", 6), zero + milliseconds(10)));
    CHECK(table.noteHeard(entry("10.0.0.2", "a", 8), zero + milliseconds(20)));
    table.noteTold(entry("10.0.0.1", "a", 99), milliseconds(0), zero);
    CHECK(table.count(peer_role::entry) == 1);
}

TEST_CASE("all processes of a zone agree on its reader, and whoever has no proof reads too")
{
    const std::vector<peer_info> all { entry("10.0.0.1", "a"), entry("10.0.0.2", "a"), entry("10.0.0.3", "a"), entry("10.0.1.1", "b") };
    int readers = 0;
    for (const auto& self : all) {
        peer_table table(self, {}, silence);
        for (const auto& other : all)
            table.noteHeard(other, zero);
        const bool reads = shouldRead(table, milliseconds(100), {});
        readers += reads && self.zone == "a" ? 1 : 0;
        CHECK(chosenReaders(table, {}).size() == 2);
        CHECK(shouldRead(table, std::nullopt, {}));
        CHECK(shouldRead(table, reading_settings {}.oldestProof + milliseconds(1), {}));
    }
    CHECK(readers == 1);
}
