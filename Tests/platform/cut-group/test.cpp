// Load pattern: a zone with a whole expert group is cut off. Its servers stay listed, and a
// try at one of them costs the time limit of a connection, half of a caller's target.
#include "policy/upstream_choice.h"

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

// One of 42 entry VMs, with 7 requests a second, before three groups of a zone each.
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

    // News of groups come each 150 ms, but not from `cut` from `cutAt` on.
    void hear(instant now, const std::string& cut, instant cutAt)
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
        m_loads.noteRanks(counts, now);
    }

    // Zone of the server of one try.
    std::string tryAt(instant now, const std::string& cut)
    {
        upstream_question question;
        question.service = service;
        question.ownZone = "b";
        question.costs = costs();
        question.promptTokens = 800;
        question.now = now;
        const std::string id = m_choice.choose(question, m_backends, m_loads, groups, server_backpressure(), m_random);
        const std::string zone = id.substr(0, 1);
        const bool reached = zone != cut;
        const instant ended = reached ? now : now + connectTimeout;
        m_backends.noteResult(id, reached ? try_result::answered : try_result::unreachable, ended);
        groups.recordReachability(service, backendHash(id), reached, ended);
        return zone;
    }

    // Zone of the second try of a request whose first one stayed silent.
    std::string retryAfterSilenceOf(const std::string& id, instant now)
    {
        upstream_question question;
        question.service = service;
        question.ownZone = "b";
        question.costs = costs();
        question.now = now;
        question.tried = { id };
        question.silent = { id };
        return m_choice.choose(question, m_backends, m_loads, groups, server_backpressure(), m_random).substr(0, 1);
    }

    group_directory groups { milliseconds(1'500) };

private:
    backend_directory m_backends;
    load_board m_loads { milliseconds(600) };
    upstream_choice m_choice;
    std::mt19937_64 m_random { 11 };
};

// Tries at the cut group in the five seconds after the cut.
int triesAtCutGroup(bool newsStop)
{
    entry_vm entry;
    const instant cutAt = zero + milliseconds(2'000);
    int tries = 0;
    for (instant now = zero; now < cutAt + milliseconds(5'000); now += milliseconds(143)) {
        entry.hear(now, newsStop ? "a" : "none", cutAt);
        const std::string cut = now < cutAt ? "none" : "a";
        if (now >= cutAt)
            tries += entry.tryAt(now, cut) == "a" ? 1 : 0;
        else
            entry.tryAt(now, cut);
    }
    return tries;
}

} // namespace

TEST_CASE("a group that is cut off is left alone as a whole, not server by server")
{
    // By failed tries alone: one every second, at the most, finds out whether it is back.
    CHECK(triesAtCutGroup(false) <= 7);
    // With its news missing too, about as many as come before the silence shows. Server by
    // server it takes 12 tries in either case.
    CHECK(triesAtCutGroup(true) <= 4);
}

TEST_CASE("a single server that cannot be reached takes its group out of nothing")
{
    entry_vm entry;
    entry.hear(zero, "none", zero);
    for (int i = 0; i < 5; ++i)
        entry.groups.recordReachability(service, backendHash(idOf("a", 3)), false, zero);
    CHECK_FALSE(entry.groups.isUnreachable(service, backendHash(idOf("a", 4)), zero));
    entry.groups.recordReachability(service, backendHash(idOf("a", 5)), false, zero);
    CHECK(entry.groups.isUnreachable(service, backendHash(idOf("a", 4)), zero));
    // Other groups are not concerned, and one success ends it.
    CHECK_FALSE(entry.groups.isUnreachable(service, backendHash(idOf("b", 4)), zero));
    entry.groups.recordReachability(service, backendHash(idOf("a", 6)), true, zero);
    CHECK_FALSE(entry.groups.isUnreachable(service, backendHash(idOf("a", 4)), zero));
}

TEST_CASE("where no group is heard of, or there is only one, silence says nothing")
{
    entry_vm entry;
    entry.hear(zero, "none", zero);
    const instant later = zero + milliseconds(5'000);
    CHECK_FALSE(entry.groups.isUnreachable(service, backendHash(idOf("a", 0)), later));
    // One is heard of again, the others are not.
    entry.groups.mergeUpdate({ { service, "b" }, { 1, true } }, milliseconds(0), later);
    CHECK(entry.groups.isUnreachable(service, backendHash(idOf("a", 0)), later));
    CHECK_FALSE(entry.groups.isUnreachable(service, backendHash(idOf("b", 0)), later));
}

TEST_CASE("servers out of reach are used where there are no others")
{
    entry_vm entry;
    entry.hear(zero, "none", zero);
    for (const std::string zone : { "a", "b", "c" }) {
        for (int rank = 0; rank < 3; ++rank)
            entry.groups.recordReachability(service, backendHash(idOf(zone, rank)), false, zero);
    }
    CHECK_FALSE(entry.tryAt(zero, "none").empty());
}

TEST_CASE("a request whose server stayed silent goes on in another group")
{
    entry_vm entry;
    entry.hear(zero, "none", zero);
    for (int i = 0; i < 50; ++i)
        CHECK(entry.retryAfterSilenceOf(idOf("b", i % ranksOfGroup), zero) != "b");
    CHECK(entry.groups.hasOtherOpenGroup(service, backendHash(idOf("b", 0)), zero));
    // With the other groups closed or cut off there is nothing to go on with.
    entry.groups.mergeUpdate({ { service, "a" }, { 1, false } }, milliseconds(0), zero);
    for (int rank = 0; rank < 2; ++rank)
        entry.groups.recordReachability(service, backendHash(idOf("c", rank)), false, zero);
    CHECK_FALSE(entry.groups.hasOtherOpenGroup(service, backendHash(idOf("b", 0)), zero));
    CHECK(entry.retryAfterSilenceOf(idOf("b", 0), zero) == "b");
}
