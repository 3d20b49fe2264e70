// Load pattern: a zone with a whole expert group is cut off. Its servers stay listed, and an attempt
// at one of them takes until the connection times out, which is half of a caller's target.
#include "policy/routing/upstream_choice.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

const instant zero {};
const std::string service = "model";
constexpr int ranksOfGroup = 24;
constexpr milliseconds connectTimeout { 250 };

std::string idOf(const std::string& zone, int rank) { return zone + std::to_string(rank); }

engine_costs costs()
{
    engine_costs made;
    made.stepMs = 4.55;
    made.perSequenceMs = 2;
    made.stepsPerPass = 5;
    made.prefillTokensPerMs = 61;
    return made;
}

// One of 42 entry VMs, with 7 requests per second, and three groups in a zone each.
class entry_vm {
public:
    entry_vm()
    {
        for (const std::string zone : { "a", "b", "c" }) {
            for (int rank = 0; rank < ranksOfGroup; ++rank) {
                const std::string id = idOf(zone, rank);
                m_backends.list({ id, service, "10.0." + zone + "." + std::to_string(rank) + ":80", zone, 10, false, 1 });
                groups.recordMember(backendHash(id), { service, zone });
            }
        }
    }

    // Updates of the groups arrive every 150 ms, except those of `cut` from `cutAt` on.
    void receiveUpdates(instant now, const std::string& cut, instant cutAt)
    {
        for (const std::string zone : { "a", "b", "c" }) {
            if (zone != cut || now < cutAt)
                groups.mergeUpdate({ { service, zone }, { 1, true } }, milliseconds(0), now);
        }
        // The own zone is the busiest, so that others are chosen too.
        load_report_by_hash counts;
        for (const std::string zone : { "a", "b", "c" }) {
            for (int rank = 0; rank < ranksOfGroup; ++rank)
                counts[backendHash(idOf(zone, rank))] = { zone == "b" ? 9 : std::uniform_int_distribution<int>(2, 6)(m_random), 0, 1 };
        }
        m_loads.mergeRankLoads(counts, now);
    }

    // Zone of the server of one attempt.
    std::string tryAt(instant now, const std::string& cut)
    {
        upstream_input input;
        input.service = service;
        input.ownZone = "b";
        input.costs = costs();
        input.promptTokens = 800;
        input.now = now;
        const std::string id = m_choice.choose(input, m_backends, m_loads, groups, server_backpressure(), m_random);
        const std::string zone = id.substr(0, 1);
        const bool reached = zone != cut;
        const instant ended = reached ? now : now + connectTimeout;
        m_backends.recordResult(id, reached ? attempt_result::answered : attempt_result::unreachable, ended);
        groups.recordReachability(service, backendHash(id), reached, ended);
        return zone;
    }

    // Zone of the second attempt of a request whose first server did not answer.
    std::string retryAfterSilenceOf(const std::string& id, instant now)
    {
        upstream_input input;
        input.service = service;
        input.ownZone = "b";
        input.costs = costs();
        input.now = now;
        input.tried = { id };
        input.silent = { id };
        return m_choice.choose(input, m_backends, m_loads, groups, server_backpressure(), m_random).substr(0, 1);
    }

    group_directory groups { milliseconds(1'500) };

private:
    backend_directory m_backends;
    load_table m_loads { milliseconds(600) };
    upstream_choice m_choice;
    std::mt19937_64 m_random { 11 };
};

// Number of attempts at the cut group in the five seconds after the cut.
int triesAtCutGroup(bool updatesStop)
{
    entry_vm entry;
    const instant cutAt = zero + milliseconds(2'000);
    int attempts = 0;
    for (instant now = zero; now < cutAt + milliseconds(5'000); now += milliseconds(143)) {
        entry.receiveUpdates(now, updatesStop ? "a" : "none", cutAt);
        const std::string cut = now < cutAt ? "none" : "a";
        if (now >= cutAt)
            attempts += entry.tryAt(now, cut) == "a" ? 1 : 0;
        else
            entry.tryAt(now, cut);
    }
    return attempts;
}

} // namespace

TEST_CASE("a group that is cut off is avoided as a whole, not server by server")
{
    // Failed attempts alone are seen: at most one probe per second finds out whether the group is back.
    CHECK(triesAtCutGroup(false) <= 7);
    // If its updates stop as well, only attempts before the silence is noticed. Decided server by
    // server it takes 12 attempts in either case.
    CHECK(triesAtCutGroup(true) <= 4);
}

TEST_CASE("a single unreachable server does not make its group count as unreachable")
{
    entry_vm entry;
    entry.receiveUpdates(zero, "none", zero);
    for (int i = 0; i < 5; ++i)
        entry.groups.recordReachability(service, backendHash(idOf("a", 3)), false, zero);
    CHECK_FALSE(entry.groups.isUnreachable(service, backendHash(idOf("a", 4)), zero));
    entry.groups.recordReachability(service, backendHash(idOf("a", 5)), false, zero);
    CHECK(entry.groups.isUnreachable(service, backendHash(idOf("a", 4)), zero));
    // Other groups are not affected, and one success ends it.
    CHECK_FALSE(entry.groups.isUnreachable(service, backendHash(idOf("b", 4)), zero));
    entry.groups.recordReachability(service, backendHash(idOf("a", 6)), true, zero);
    CHECK_FALSE(entry.groups.isUnreachable(service, backendHash(idOf("a", 4)), zero));
}

TEST_CASE("if updates of all groups are missing, or there is only one group, silence does not count as unreachable")
{
    entry_vm entry;
    entry.receiveUpdates(zero, "none", zero);
    const instant later = zero + milliseconds(5'000);
    CHECK_FALSE(entry.groups.isUnreachable(service, backendHash(idOf("a", 0)), later));
    // Updates of one group arrive again, those of the others do not.
    entry.groups.mergeUpdate({ { service, "b" }, { 1, true } }, milliseconds(0), later);
    CHECK(entry.groups.isUnreachable(service, backendHash(idOf("a", 0)), later));
    CHECK_FALSE(entry.groups.isUnreachable(service, backendHash(idOf("b", 0)), later));
}

TEST_CASE("unreachable servers are used if there are no others")
{
    entry_vm entry;
    entry.receiveUpdates(zero, "none", zero);
    for (const std::string zone : { "a", "b", "c" }) {
        for (int rank = 0; rank < 3; ++rank)
            entry.groups.recordReachability(service, backendHash(idOf(zone, rank)), false, zero);
    }
    CHECK_FALSE(entry.tryAt(zero, "none").empty());
}

TEST_CASE("a request whose server did not answer is retried in another group")
{
    entry_vm entry;
    entry.receiveUpdates(zero, "none", zero);
    for (int i = 0; i < 50; ++i)
        CHECK(entry.retryAfterSilenceOf(idOf("b", i % ranksOfGroup), zero) != "b");
    CHECK(entry.groups.hasOtherOpenGroup(service, backendHash(idOf("b", 0)), zero));
    // With the other groups closed or cut off it has to stay in its group.
    entry.groups.mergeUpdate({ { service, "a" }, { 1, false } }, milliseconds(0), zero);
    for (int rank = 0; rank < 2; ++rank)
        entry.groups.recordReachability(service, backendHash(idOf("c", rank)), false, zero);
    CHECK_FALSE(entry.groups.hasOtherOpenGroup(service, backendHash(idOf("b", 0)), zero));
    CHECK(entry.retryAfterSilenceOf(idOf("b", 0), zero) == "b");
}
