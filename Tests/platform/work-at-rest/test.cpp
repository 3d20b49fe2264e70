// Guards against work at rest that grows with the fleet. In a fleet of 531 entry VMs and 516 agents most processor time went into
// looking through all servers and all peers again and again though nothing had changed, and the reader of a zone answered
// more than a thousand questions about freshness a second.
#include "policy/configuration/freshness_schedule.h"
#include "policy/configuration/store_reading.h"
#include "policy/groups/group_member_list.h"
#include "policy/groups/leadership.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <doctest/doctest.h>
#include <set>

using namespace rampgap;

namespace {

const instant zero { std::chrono::hours(1) };
// Of a core, for all that a process does while it has no requests; these decisions are a part of it.
constexpr double shareAtRest = 0.010;
constexpr int secondsAtRest = 5;
constexpr std::size_t zones = 5;
constexpr std::size_t groupSize = 129;
// Twelve entry VMs and as many agents ask a relay, unevenly spread; a reader is asked by the 33 relays of 400 entry VMs.
constexpr int maxAskers = 60;

std::string zoneOf(std::size_t i) { return "zone-" + std::to_string(i % zones); }
std::string hostOf(std::size_t i) { return "10." + std::to_string(i % zones) + "." + std::to_string(i / 250) + "." + std::to_string(i % 250); }
peer_info entryAt(std::size_t i) { return { hostOf(i), zoneOf(i), peer_role::entry, 1 }; }

// The processor time of `work` for each simulated second, as a share of a core.
template <typename Work>
double processorShare(Work work)
{
    const std::clock_t before = std::clock();
    for (int second = 0; second < secondsAtRest; ++second)
        work(zero + std::chrono::seconds(second));
    return static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC / secondsAtRest;
}

// The servers of a service with several groups, as an agent knows them.
struct known_groups {
    explicit known_groups(std::size_t servers)
    {
        for (std::size_t i = 0; i < servers; ++i) {
            const std::string id = "i-" + std::to_string(1'000'000 + i);
            directory.list({ id, "model", hostOf(i) + ":8000", zoneOf(i), 6, false, i + 1 });
            roster.recordGroup(id, "group-" + std::to_string(i / groupSize), zero);
        }
    }

    backend_directory directory;
    group_roster roster;
};

peer_table tableOf(peer_info self, std::size_t entries)
{
    peer_table table(std::move(self), {}, milliseconds(3'000));
    for (std::size_t i = 0; i < entries; ++i)
        table.recordContact(entryAt(i), zero);
    return table;
}

} // namespace

TEST_CASE("an agent at rest looks for its group's members and leader in a hundredth of a core")
{
    for (const std::size_t servers : { 516, 2'000 }) {
        CAPTURE(servers);
        known_groups known(servers);
        group_member_list members;
        leadership leader;
        const std::string own = "i-1000001";
        const double share = processorShare([&](instant second) {
            // Checks for a change of the placement, polls of the ranks, and queries for unknown groups.
            for (int check = 0; check < 50; ++check) {
                const auto& ranks = members.members(known.directory, "model", known.roster, { "group-0", groupSize });
                leader.leads(own, ranks, second + milliseconds(20 * check));
                REQUIRE(ranks.size() == groupSize);
            }
            for (int check = 0; check < 4; ++check)
                known.roster.selectDueQueries(known.directory.activeServers("model"), own, second + milliseconds(250 * check));
        });
        CHECK(share < shareAtRest);
    }
}

TEST_CASE("an entry VM at rest follows its peers and chooses who reads in a hundredth of a core")
{
    for (const std::size_t entries : { 531, 2'000 }) {
        CAPTURE(entries);
        auto table = tableOf(entryAt(0), entries);
        std::mt19937_64 random(1);
        const double share = processorShare([&](instant second) {
            for (int check = 0; check < 20; ++check)
                shouldRead(table, milliseconds(900), {});
            for (std::size_t datagram = 0; datagram < 48; ++datagram)
                table.recordContact(entryAt(random() % entries), second);
            for (std::size_t report = 0; report < 12 * 24; ++report)
                table.mergeReport(entryAt(random() % entries), milliseconds(300), second);
            for (int round = 0; round < 4; ++round) {
                table.samplePreferringOwnZone(peer_role::entry, gossipFanout, random);
                freshnessSource(table, {});
            }
        });
        CHECK(share < shareAtRest);
        CHECK(table.count(peer_role::entry) == entries - 1);
    }
}

TEST_CASE("an agent asks for the groups of a bounded number of servers a second, however many there are")
{
    for (const std::size_t servers : { 72, 516, 2'000 }) {
        CAPTURE(servers);
        known_groups known(servers);
        std::size_t asked = 0;
        constexpr int seconds = 600;
        for (int quarter = 0; quarter < 4 * seconds; ++quarter) {
            const instant now = zero + milliseconds(250 * quarter);
            for (const auto& id : known.roster.selectDueQueries(known.directory.activeServers("model"), "own", now)) {
                known.roster.recordGroup(id, known.roster.groupOf(id), now);
                ++asked;
            }
        }
        CHECK(asked <= 10 * seconds);
    }
}

TEST_CASE("servers that never reply are asked less and less often, and one that has replied is asked again at once")
{
    for (const std::size_t servers : { 72, 516, 3'000 }) {
        CAPTURE(servers);
        known_groups listed(servers);
        group_roster roster;
        std::size_t asked = 0;
        constexpr int seconds = 1'200;
        constexpr int settledSeconds = 800;
        for (int quarter = 0; quarter < 4 * seconds; ++quarter) {
            const auto due = roster.selectDueQueries(listed.directory.activeServers("model"), "own", zero + milliseconds(250 * quarter));
            asked += quarter >= 4 * settledSeconds ? due.size() : 0;
        }
        CHECK(asked <= 10 * (seconds - settledSeconds));
    }
}

TEST_CASE("the order of a zone follows its members")
{
    auto table = tableOf(entryAt(0), 30);
    const std::vector<std::string> before = table.zoneOrder("key");
    CHECK(before.size() == 6);
    CHECK(table.zoneOrder("key") == before);
    table.recordLeaving(before.front() == hostOf(0) ? before[1] : before.front());
    CHECK(table.zoneOrder("key").size() == 5);
    table.recordContact(entryAt(100), zero);
    CHECK(table.zoneOrder("key").size() == 6);
    CHECK(table.zoneOrder("other").size() == 6);
    const peer_table alone({ "10.200.0.1", "zone-1", peer_role::agent, 1 }, {}, milliseconds(3'000));
    CHECK(alone.zoneOrder("key").empty());
    CHECK(freshnessSource(alone, {}).empty());
}

TEST_CASE("the list of members follows changes of the servers and of their groups")
{
    known_groups known(4);
    group_member_list members;
    const auto current = [&] { return members.members(known.directory, "model", known.roster, { "group-0", 2 }); };
    CHECK(current().size() == 4);
    known.roster.recordGroup("i-1000002", "group-1", zero);
    CHECK(current() == std::vector<std::string> { "i-1000000", "i-1000001", "i-1000003" });
    known.directory.recordLeaving("i-1000000", zero);
    CHECK(current() == std::vector<std::string> { "i-1000001", "i-1000003" });
    // An evacuated zone gets no requests, but its ranks still belong to their group.
    known.directory.setEvacuated(zoneOf(3), true);
    CHECK(current() == std::vector<std::string> { "i-1000001", "i-1000003" });
    CHECK(known.directory.pool("model") == std::vector<std::string> { "i-1000001", "i-1000002" });
}

TEST_CASE("the freshness of a reader reaches each process of its zone in two hops, and no process is asked by many")
{
    for (const std::size_t entries : { 5, 35, 531, 2'000 }) {
        CAPTURE(entries);
        std::map<std::string, int> askers;
        std::map<std::string, std::string> sources;
        for (std::size_t i = 0; i < entries; ++i) {
            const std::string source = freshnessSource(tableOf(entryAt(i), entries), {});
            sources[hostOf(i)] = source;
            ++askers[source];
            // An agent on another machine of the zone.
            ++askers[freshnessSource(tableOf({ "10.200.0." + std::to_string(i), zoneOf(i), peer_role::agent, 1 }, entries), {})];
        }
        // Each zone has one reader, which asks nobody.
        CHECK(static_cast<std::size_t>(askers[""]) == std::min(zones, entries));
        askers.erase("");
        for (const auto& [host, count] : askers)
            CHECK(count <= maxAskers);
        for (const auto& [host, source] : sources) {
            const std::string& second = source.empty() ? source : sources[source];
            CHECK((second.empty() || sources[second].empty()));
        }
    }
}

TEST_CASE("when no copy is fresh any more, a few standbys of a zone read first and the others later")
{
    constexpr std::size_t entries = 531;
    const auto readersAt = [&](milliseconds age) {
        int readers = 0;
        for (std::size_t i = 0; i < entries; i += zones)
            readers += shouldRead(tableOf(entryAt(i), entries), age, {}) ? 1 : 0;
        return readers;
    };
    CHECK(readersAt(milliseconds(1'800)) == 1);
    CHECK(readersAt(milliseconds(2'000)) == 4);
    CHECK(readersAt(milliseconds(2'200)) == 7);
    CHECK(readersAt(milliseconds(2'500)) == 107);
}

// The readers and standbys of a zone call each 0.6 s, and the others the less often the later they are in the order, each
// 5 s at the least: a VM that is cut off from its peers must find the store's return by itself.
TEST_CASE("while the store fails, the calls of a zone grow with the logarithm of its size, and by one each 5 s for a VM")
{
    constexpr double perSecondAtFirst = 12;
    for (const std::size_t entries : { 35, 531, 2'000 }) {
        CAPTURE(entries);
        double callsPerSecond = 0;
        for (std::size_t i = 0; i < entries; ++i)
            callsPerSecond += 1'000.0 / static_cast<double>(longestReadingPause(tableOf(entryAt(i), entries), {}).count());
        CHECK(callsPerSecond <= static_cast<double>(zones) * perSecondAtFirst * (1 + std::log(static_cast<double>(entries) / zones)) + static_cast<double>(entries) / 5);
    }
}

namespace {

// A process that asks another one for its freshness, waking up at least each 150 ms.
struct freshness_follower {
    // `source`: as of when the process that it asks is fresh.
    void run(instant now, instant source)
    {
        if (now < wakesAt)
            return;
        schedule.recordFreshness(freshAsOf);
        if (now >= schedule.dueAt()) {
            schedule.recordAsked(now);
            freshAsOf = std::max(freshAsOf, source);
            ++questions;
        }
        wakesAt = std::min(now + milliseconds(150), std::max(schedule.dueAt(), now + milliseconds(10)));
    }

    freshness_schedule schedule { freshness_pace {} };
    instant freshAsOf = zero;
    instant wakesAt = zero;
    int questions = 0;
};

} // namespace

TEST_CASE("a process that learns nothing newer asks less and less often, and as usual once it has")
{
    freshness_schedule schedule { freshness_pace {} };
    schedule.recordFreshness(zero);
    int questions = 0;
    instant now = zero + milliseconds(1'610);
    for (; now < zero + milliseconds(11'610); now += milliseconds(10)) {
        if (now < schedule.dueAt())
            continue;
        schedule.recordAsked(now);
        ++questions;
    }
    CHECK(questions <= 3 * 10);
    schedule.recordFreshness(now - milliseconds(1'600));
    CHECK(schedule.dueAt() == now + milliseconds(10));
}

TEST_CASE("a process two hops from a reader stays fresh with a few questions a second")
{
    // The reader's freshness is renewed each 800 ms, and is as old by then.
    constexpr int renewal = 800;
    constexpr int seconds = 60;
    for (int phase = 0; phase < renewal; phase += 37) {
        freshness_follower relay;
        freshness_follower process;
        milliseconds oldest { 0 };
        for (int ms = 2 * renewal; ms < 1'000 * seconds; ++ms) {
            const instant now = zero + milliseconds(ms);
            relay.run(now, zero + milliseconds((ms - phase) / renewal * renewal + phase - renewal));
            process.run(now, relay.freshAsOf);
            if (ms > 5 * renewal)
                oldest = std::max(oldest, std::chrono::duration_cast<milliseconds>(now - process.freshAsOf));
        }
        CAPTURE(phase);
        CHECK(oldest + milliseconds(100) < reading_settings {}.maxFreshnessAge);
        CHECK(process.questions <= 4 * seconds);
    }
}
