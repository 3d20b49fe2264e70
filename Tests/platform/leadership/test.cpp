// Guards against none or several leaders in a group of 129 agents: calls are lost and late, agents are
// killed, and the network is partitioned.
#include "policy/groups/leadership.h"

#include <doctest/doctest.h>
#include <map>
#include <random>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

const instant zero {};
constexpr std::size_t agents = 129;
constexpr milliseconds callInterval { 200 };
constexpr milliseconds queryInterval { 100 };
constexpr milliseconds tick { 20 };

std::string nameOf(std::size_t agent)
{
    return "s" + std::to_string(1'000 + agent);
}

// Agents of which each leader calls all others.
class group {
public:
    group(std::uint32_t seed, int lostInHundred, milliseconds latest)
        : m_random(seed)
        , m_lostInHundred(lostInHundred)
        , m_latest(latest)
    {
        for (std::size_t i = 0; i < agents; ++i)
            m_members.push_back(nameOf(i));
    }

    void run(milliseconds length)
    {
        for (const instant until = m_now + length; m_now < until; m_now += tick)
            step();
    }

    void kill(std::size_t agent) { m_dead[agent] = true; }
    void restart(std::size_t agent)
    {
        m_dead[agent] = false;
        m_agents[agent] = leadership();
        m_leading[agent] = false;
    }
    void partition(std::size_t side) { m_partitionAt = side; }
    std::vector<std::size_t> leaders() const
    {
        std::vector<std::size_t> found;
        for (std::size_t i = 0; i < agents; ++i) {
            if (m_leading[i] && !m_dead[i])
                found.push_back(i);
        }
        return found;
    }
    int changes() const { return m_changes; }

private:
    struct late_call {
        std::size_t to;
        std::string from;
    };

    void step()
    {
        while (!m_calls.empty() && m_calls.begin()->first <= m_now) {
            const late_call call = m_calls.begin()->second;
            m_calls.erase(m_calls.begin());
            if (!m_dead[call.to])
                m_agents[call.to].recordCall(call.from, m_now);
        }
        for (std::size_t i = 0; i < agents; ++i) {
            if (m_dead[i])
                continue;
            const bool leads = m_agents[i].leads(nameOf(i), m_members, m_now);
            m_changes += leads && !m_leading[i] ? 1 : 0;
            m_leading[i] = leads;
            if (leads && m_now - m_calledAt[i] >= callInterval)
                callAll(i);
            if (m_agents[i].leaderOverdue(m_now) && m_now - m_queriedAt[i] >= queryInterval)
                querySome(i);
        }
    }

    void callAll(std::size_t from)
    {
        m_calledAt[from] = m_now;
        for (std::size_t to = 0; to < agents; ++to) {
            if (to == from || lost(from, to))
                continue;
            const milliseconds delay(std::uniform_int_distribution<std::int64_t>(5, m_latest.count())(m_random));
            m_calls.emplace(m_now + delay, late_call { to, nameOf(from) });
        }
    }

    bool lost(std::size_t from, std::size_t to)
    {
        const bool partitioned = (from < m_partitionAt) != (to < m_partitionAt);
        return partitioned || m_dead[to] || std::uniform_int_distribution<int>(0, 99)(m_random) < m_lostInHundred;
    }

    void querySome(std::size_t querying)
    {
        m_queriedAt[querying] = m_now;
        for (int query = 0; query < 3; ++query) {
            const auto queried = std::uniform_int_distribution<std::size_t>(0, agents - 1)(m_random);
            if (queried == querying || lost(querying, queried) || lost(queried, querying))
                continue;
            const auto called = m_agents[queried].lastCall(m_now);
            if (called)
                m_agents[querying].recordCall(m_agents[queried].leader(), *called);
        }
    }

    std::mt19937 m_random;
    int m_lostInHundred;
    milliseconds m_latest;
    instant m_now = zero;
    std::vector<std::string> m_members;
    std::vector<leadership> m_agents { agents };
    std::vector<bool> m_leading = std::vector<bool>(agents, false);
    std::vector<bool> m_dead = std::vector<bool>(agents, false);
    std::vector<instant> m_calledAt = std::vector<instant>(agents, zero - milliseconds(10'000));
    std::vector<instant> m_queriedAt = m_calledAt;
    std::multimap<instant, late_call> m_calls;
    // Index of the partition: agents on different sides of it do not reach each other.
    std::size_t m_partitionAt = agents;
    int m_changes = 0;
};

} // namespace

TEST_CASE("129 agents that start together have one leader, and keep it while calls are lost and late")
{
    CHECK(rc::check([] {
        group made(*rc::gen::arbitrary<std::uint32_t>(), 20, milliseconds(150));
        made.run(milliseconds(2'000));
        RC_ASSERT(made.leaders().size() == 1);
        const int before = made.changes();
        RC_ASSERT(before <= 3);
        made.run(milliseconds(10'000));
        RC_ASSERT(made.leaders().size() == 1);
        RC_ASSERT(made.changes() == before);
    }));
}

TEST_CASE("a killed leader is replaced by another one within 1.5 s, and does not lead after its restart")
{
    group made(7, 5, milliseconds(100));
    made.run(milliseconds(2'000));
    const std::size_t first = made.leaders().front();
    made.kill(first);
    made.run(milliseconds(1'500));
    REQUIRE(made.leaders().size() == 1);
    const std::size_t second = made.leaders().front();
    CHECK(second != first);
    made.restart(first);
    made.run(milliseconds(3'000));
    CHECK(made.leaders() == std::vector<std::size_t> { second });
}

TEST_CASE("half of the agents are killed at once: there is one leader within 3 s")
{
    CHECK(rc::check([] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        group made(seed, 5, milliseconds(100));
        made.run(milliseconds(2'000));
        std::mt19937 random(seed);
        for (std::size_t i = 0; i < agents; ++i) {
            if (random() % 2 == 0)
                made.kill(i);
        }
        made.run(milliseconds(3'000));
        RC_ASSERT(made.leaders().size() == 1);
    }));
}

TEST_CASE("each side of a partition has a leader, and one of the two remains after it")
{
    group made(11, 5, milliseconds(100));
    made.run(milliseconds(2'000));
    made.partition(40);
    made.run(milliseconds(4'000));
    CHECK(made.leaders().size() == 2);
    made.partition(agents);
    made.run(milliseconds(500));
    CHECK(made.leaders().size() == 1);
}

TEST_CASE("an agent that is not a member does not lead")
{
    leadership alone;
    CHECK_FALSE(alone.leads("x", { "a", "b" }, zero + milliseconds(60'000)));
    CHECK_FALSE(alone.leads("x", {}, zero + milliseconds(60'000)));
}

TEST_CASE("the agent whose engine holds a step replaces a leader that is silent for 0.2 s; no other agent does")
{
    const std::vector<std::string> members { "a", "b", "c" };
    leadership holder;
    leadership other;
    const instant called = zero + milliseconds(1'000);
    holder.recordCall("a", called);
    other.recordCall("a", called);
    holder.recordHold(true, called + milliseconds(30));
    CHECK_FALSE(holder.leaderOverdue(called + milliseconds(90)));
    CHECK(holder.leaderOverdue(called + milliseconds(110)));
    CHECK_FALSE(holder.leads("c", members, called + milliseconds(190)));
    CHECK_FALSE(other.leads("b", members, called + milliseconds(210)));
    // Another agent has been called since.
    holder.recordCall("a", called + milliseconds(50));
    CHECK_FALSE(holder.leads("c", members, called + milliseconds(210)));
    CHECK(holder.leads("c", members, called + milliseconds(250)));
    CHECK((holder.reason() == takeover_reason::step_held));
    CHECK(holder.recordHold(false, called + milliseconds(300)) == milliseconds(270));
}

TEST_CASE("a held step hastens no takeover where leaders poll rarely, where the hold is over, or where it was seen long ago")
{
    const std::vector<std::string> members { "a", "b" };
    const instant called = zero + milliseconds(1'000);
    leadership rarely;
    leadership released;
    leadership suspended;
    for (leadership* each : { &rarely, &released, &suspended }) {
        each->recordCall("a", called);
        each->recordHold(true, called);
    }
    rarely.setCallInterval(milliseconds(140));
    released.recordHold(false, called + milliseconds(100));
    CHECK_FALSE(rarely.leads("b", members, called + milliseconds(270)));
    CHECK(rarely.leads("b", members, called + milliseconds(280)));
    CHECK_FALSE(released.leads("b", members, called + milliseconds(290)));
    CHECK_FALSE(suspended.leads("b", members, called + milliseconds(310)));
}
