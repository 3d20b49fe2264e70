// Who gets the next request slot, and who is refused at once, when callers exceed the slots: in virtual time, with
// one entry VM's part of a group.
#include "policy/configuration/fleet_configuration.h"
#include "policy/requests/admission_queue.h"
#include "policy/requests/admission_wait.h"
#include "policy/requests/return_schedule.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <map>
#include <random>

using namespace rampgap;

namespace {

const instant zero = instant() + std::chrono::hours(1);
constexpr int kinds = 3;
constexpr int slots = 19;
constexpr milliseconds run { 2'000 };
constexpr milliseconds firstEvent { 200 };
constexpr milliseconds tickTime { 5 };
constexpr double startsPerSecond = 1'000.0 * slots / run.count();

struct load_case {
    // Demand of each kind as a fraction of the capacity, before and during the burst.
    std::array<double, kinds> usual { 0.27, 0.27, 0.27 };
    std::array<double, kinds> burst { 0.27, 0.27, 0.27 };
    milliseconds burstFrom { 4'000 };
    milliseconds burstUntil { 9'000 };
    // No request gets a slot until then, as before a closed group.
    milliseconds openFrom { 0 };
    // Each so many requests of a kind one comes from a small workspace.
    int smallNth = 10;
    bool byUrgency = true;
    bool earlyRefusal = true;
};

struct load_result {
    std::array<int, kinds> onTime {};
    std::array<int, kinds> late {};
    std::array<int, kinds> came {};
    int smallServed = 0;
    int smallCame = 0;
    int refused = 0;
    milliseconds waitOfRefused { 0 };

    void add(const load_result& other)
    {
        for (std::size_t kind = 0; kind < kinds; ++kind) {
            onTime.at(kind) += other.onTime.at(kind);
            late.at(kind) += other.late.at(kind);
            came.at(kind) += other.came.at(kind);
        }
        smallServed += other.smallServed;
        smallCame += other.smallCame;
        refused += other.refused;
        waitOfRefused += other.waitOfRefused;
    }
    double part(int kind) const { return (onTime.at(kind) + 0.5 * late.at(kind)) / came.at(kind); }
    double served(int kind) const { return static_cast<double>(onTime.at(kind) + late.at(kind)) / came.at(kind); }
    double servedOfSmall() const { return static_cast<double>(smallServed) / smallCame; }
    double servedOfAll() const { return static_cast<double>(onTime[0] + onTime[1] + onTime[2] + late[0] + late[1] + late[2]) / (came[0] + came[1] + came[2]); }
    double goodput() const
    {
        double sum = 0;
        for (int kind = 0; kind < kinds; ++kind)
            sum += part(kind) * came.at(kind);
        return sum;
    }
    double meanWaitOfRefused() const { return refused > 0 ? static_cast<double>(waitOfRefused.count()) / refused : 0; }
};

struct caller {
    int kind = 0;
    bool isSmall = false;
    bool firstTime = true;
    instant cameAt;
    instant triedAt;
    std::vector<admission_stage> stages;
    std::size_t stage = 0;
    instant stageUntil;
};

milliseconds targetOf(int kind)
{
    return std::array { milliseconds(500), milliseconds(700), milliseconds(1'000) }.at(kind);
}

class load_run {
public:
    load_run(const load_case& given, unsigned seed)
        : m_case(given)
        , m_random(seed)
    {
        m_queue.setShedding(false);
        m_queue.reserve(lastChancePriority, lastChanceNth);
        m_returns.setRate(startsPerSecond / lastChanceNth);
    }

    load_result play()
    {
        const instant end = zero + milliseconds(24'000);
        for (; m_now < end; m_now += tickTime) {
            m_queue.setLimits({ m_now - zero < m_case.openFrom ? 0 : slots, 1'000 });
            arrive();
            while (!m_returning.empty() && m_returning.begin()->first <= m_now) {
                const caller back = m_returning.begin()->second;
                m_returning.erase(m_returning.begin());
                attempt(back);
            }
            while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
                const admission_id ended = m_ends.begin()->second;
                m_ends.erase(m_ends.begin());
                admission_outcome outcome;
                m_queue.finish(ended, run, m_now, outcome);
                apply(outcome);
            }
            expire();
        }
        return m_result;
    }

private:
    void arrive()
    {
        const milliseconds at = std::chrono::duration_cast<milliseconds>(m_now - zero);
        if (at >= milliseconds(14'000))
            return;
        const bool isBurst = at >= m_case.burstFrom && at < m_case.burstUntil;
        for (int kind = 0; kind < kinds; ++kind) {
            m_due.at(kind) += (isBurst ? m_case.burst : m_case.usual).at(kind) * startsPerSecond * tickTime.count() / 1'000 * (0.5 + m_random() % 1'001 / 1'000.0);
            if (m_due.at(kind) < 1)
                continue;
            m_due.at(kind) -= 1;
            caller who;
            who.kind = kind;
            who.isSmall = m_result.came.at(kind) % m_case.smallNth == 0;
            who.cameAt = m_now;
            ++m_result.came.at(kind);
            m_result.smallCame += who.isSmall ? 1 : 0;
            if (at < m_case.openFrom)
                m_returning.emplace(zero + m_case.openFrom, who);
            else
                attempt(who);
        }
    }

    void attempt(caller who)
    {
        who.triedAt = m_now;
        admission_wait_input input;
        input.latencyTarget = targetOf(who.kind);
        input.firstEvent = firstEvent;
        input.run = run;
        input.timeLeft = timeLeft(who);
        input.patience = milliseconds(2'000);
        input.firstTime = who.firstTime;
        // Callers of a closed group are held without a place in the queue.
        input.waited = who.firstTime ? std::chrono::duration_cast<milliseconds>(m_now - who.cameAt) : milliseconds(0);
        input.slotsFree = m_queue.running() < currentSlots();
        who.stages = planAdmission(input);
        const std::string workspace = workspaceOf(who);
        const slot_forecast forecast { m_queue.forecast(workspace, who.stages.front().priority, urgencyOf(who)), slots, run };
        if (m_case.earlyRefusal && shouldReturnLater(input, forecast)) {
            if (const auto pause = m_returns.reserve({ timeLeft(who), run, who.kind }, m_now))
                return comeBack(who, *pause);
        }
        who.stageUntil = m_now;
        enter(who);
    }

    void enter(caller who)
    {
        who.stageUntil += who.stages[who.stage].longest;
        admission_outcome outcome;
        const admission_request asked { workspaceOf(who), who.stages[who.stage].priority, who.stageUntil, urgencyOf(who) };
        m_callers[m_queue.offer(asked, m_now, outcome)] = who;
        apply(outcome);
    }

    void apply(const admission_outcome& outcome)
    {
        for (const auto id : outcome.started) {
            const auto found = m_callers.find(id);
            const caller& who = found->second;
            const bool isOnTime = m_now + firstEvent - who.cameAt <= targetOf(who.kind);
            ++(isOnTime ? m_result.onTime : m_result.late).at(who.kind);
            m_result.smallServed += who.isSmall ? 1 : 0;
            m_ends.emplace(m_now + milliseconds(500 + m_random() % 3'000), id);
            m_callers.erase(found);
        }
        for (const auto& [id, failed] : outcome.refused)
            next(id);
    }

    // The stage is over: the next one, or a refusal.
    void next(admission_id id)
    {
        caller who = m_callers.at(id);
        m_callers.erase(id);
        if (++who.stage < who.stages.size())
            enter(who);
        else
            comeBack(who, backlogRetryDelay(timeLeft(who), 0.5));
    }

    void expire()
    {
        std::vector<admission_id> over;
        for (const auto& [id, who] : m_callers) {
            if (who.stageUntil <= m_now)
                over.push_back(id);
        }
        for (const auto id : over) {
            m_queue.withdraw(id);
            next(id);
        }
    }

    void comeBack(caller who, milliseconds pause)
    {
        if (!who.firstTime)
            return;
        ++m_result.refused;
        m_result.waitOfRefused += std::chrono::duration_cast<milliseconds>(m_now - who.triedAt);
        who.firstTime = false;
        who.stage = 0;
        m_returning.emplace(m_now + pause, who);
    }

    int currentSlots() const { return m_now - zero < m_case.openFrom ? 0 : slots; }
    int urgencyOf(const caller& who) const { return m_case.byUrgency ? who.kind : 0; }
    milliseconds timeLeft(const caller& who) const { return milliseconds(8'000) - std::chrono::duration_cast<milliseconds>(m_now - who.cameAt); }
    static std::string workspaceOf(const caller& who) { return std::string(1, static_cast<char>('a' + who.kind)) + (who.isSmall ? "-small" : "-large"); }

    load_case m_case;
    std::mt19937 m_random;
    load_result m_result;
    instant m_now = zero;
    admission_queue m_queue { { slots, 1'000 } };
    return_schedule m_returns;
    std::array<double, kinds> m_due {};
    std::map<admission_id, caller> m_callers;
    std::multimap<instant, caller> m_returning;
    std::multimap<instant, admission_id> m_ends;
};

// The sum of several runs: the numbers of one are small.
load_result play(load_case given, bool byUrgency, bool earlyRefusal)
{
    given.byUrgency = byUrgency;
    given.earlyRefusal = earlyRefusal;
    load_result sum;
    for (unsigned seed = 1; seed <= 12; ++seed)
        sum.add(load_run(given, seed).play());
    MESSAGE("value " << sum.part(0) << " " << sum.part(1) << " " << sum.part(2) << ", served " << sum.served(0) << " " << sum.served(1) << " " << sum.served(2) << ", goodput " << sum.goodput()
                     << ", refused " << sum.refused << " after " << sum.meanWaitOfRefused() << " ms, small workspace " << sum.servedOfSmall());
    return sum;
}

// Every request of a kind or of the small workspace has at least half the chance of any other.
void checkNobodyStarves(const load_result& result)
{
    for (int kind = 0; kind < kinds; ++kind)
        CHECK(result.served(kind) > 0.5 * result.servedOfAll());
    CHECK(result.servedOfSmall() > 0.5 * result.servedOfAll());
}

} // namespace

TEST_CASE("in a wave the most urgent kind is served best and nobody starves")
{
    const load_case wave { .burst = { 0.6, 0.6, 0.6 }, .burstUntil = milliseconds(8'000) };
    const auto before = play(wave, false, false);
    const auto ordered = play(wave, true, false);
    CHECK(before.part(0) < before.part(2));
    CHECK(ordered.part(0) > before.part(0) + 0.08);
    CHECK(ordered.part(0) > ordered.part(1));
    CHECK(ordered.part(1) > ordered.part(2));
    CHECK(ordered.goodput() > 0.99 * before.goodput());
    checkNobodyStarves(ordered);
}

TEST_CASE("a burst of the least urgent kind takes nothing from the most urgent one")
{
    const load_case burst { .burst = { 0.27, 0.27, 1.35 } };
    const auto ordered = play(burst, true, false);
    CHECK(ordered.part(0) > 0.94);
    CHECK(ordered.part(0) > ordered.part(2));
    checkNobodyStarves(ordered);
}

TEST_CASE("the most urgent kind alone fills all slots: the others keep half their chance")
{
    const load_case burst { .burst = { 1.0, 0.9, 0.9 }, .burstUntil = milliseconds(12'000) };
    checkNobodyStarves(play(burst, true, false));
    checkNobodyStarves(play(burst, true, true));
}

TEST_CASE("one workspace with 20 times the load of another leaves it its share")
{
    const load_case flood { .burst = { 0.27, 0.27, 1.35 }, .smallNth = 21 };
    CHECK(play(flood, true, true).servedOfSmall() > 0.95);
}

TEST_CASE("many who cannot be served on time are told early, at little cost")
{
    const load_case wave { .burst = { 0.6, 0.6, 0.6 }, .burstUntil = milliseconds(8'000) };
    const auto waiting = play(wave, true, false);
    const auto early = play(wave, true, true);
    CHECK(early.meanWaitOfRefused() < 0.65 * waiting.meanWaitOfRefused());
    // Those who return during the wave take slots from others who would be on time.
    CHECK(early.goodput() > 0.96 * waiting.goodput());
    checkNobodyStarves(early);
}

TEST_CASE("after a hold of 1.7 s the backlog is served as before")
{
    const load_case hold { .openFrom = milliseconds(1'700) };
    const auto before = play(hold, false, false);
    const auto early = play(hold, true, true);
    CHECK(early.goodput() >= 0.99 * before.goodput());
    CHECK(early.servedOfAll() > 0.99);
}

TEST_CASE("a caller is refused as it arrives only if it can come back and can hardly be on time")
{
    admission_wait_input input { .latencyTarget = milliseconds(500), .firstEvent = firstEvent, .run = run, .timeLeft = milliseconds(8'000), .patience = milliseconds(2'000) };
    // 2.85 starts within the 300 ms left.
    slot_forecast forecast { { 5, 6 }, slots, run };
    CHECK_FALSE(shouldReturnLater(input, forecast));
    forecast.queue.startsUntil = 7;
    CHECK(shouldReturnLater(input, forecast));
    for (auto exempt : { &admission_wait_input::begun, &admission_wait_input::slotsFree }) {
        auto other = input;
        other.*exempt = true;
        CHECK_FALSE(shouldReturnLater(other, forecast));
    }
    auto lastChance = input;
    lastChance.firstTime = false;
    CHECK_FALSE(shouldReturnLater(lastChance, forecast));
    // Few slots and nobody before it: the next free slot is its own.
    CHECK_FALSE(shouldReturnLater(input, { { 0, 1 }, 1, run }));
    CHECK(predictSlotWait({ { 18, 19 }, slots, run }) == run);
}

TEST_CASE("a forecast counts those before, and those expected to overtake")
{
    admission_queue queue({ 2, 100 });
    queue.setShedding(false);
    admission_outcome outcome;
    const instant deadline = zero + std::chrono::seconds(60);
    std::vector<admission_id> ids;
    for (int i = 0; i < 6; ++i)
        ids.push_back(queue.offer({ "w", timelyPriority, deadline, 0 }, zero, outcome));
    CHECK(queue.forecast("w", timelyPriority, 0).ahead == 4);
    CHECK(queue.forecast("w", timelyPriority, 0).startsUntil == 5);
    CHECK(queue.forecast("w", timelyPriority, 2).ahead == 4);
    // Every fourth start is reserved for it.
    CHECK(queue.forecast("w", timelyPriority, 2).startsUntil == lessUrgentNth);
    CHECK(queue.forecast("w", latePriority, 0).startsUntil > 5);
}

TEST_CASE("priorities differ at a service by its routes, or by its callers' workspaces")
{
    fleet_contents contents;
    contents.services.resize(2);
    contents.services[0].name = "s";
    contents.services[1].name = "t";
    contents.routes.resize(2);
    for (std::size_t i = 0; i < 2; ++i) {
        contents.routes[i].pathPrefix = i == 0 ? "/a/" : "/b/";
        contents.routes[i].services = { { "s", 1 } };
    }
    const auto differ = [&](const char* service) { return fleet_configuration::make(contents).value()->prioritiesDiffer(service); };
    CHECK_FALSE(differ("s"));
    contents.routes[1].priority = 2;
    CHECK(differ("s"));
    CHECK_FALSE(differ("t"));
    contents.workspaces.resize(1);
    contents.workspaces[0].priority = 1;
    CHECK_FALSE(differ("s"));
    contents.routes[0].isPublic = true;
    CHECK(differ("s"));
}
