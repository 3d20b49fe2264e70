// Who gets the next request slot, and who is refused at once, when callers exceed the slots: in virtual time, with
// one entry VM's part of a group.
#include "policy/configuration/fleet_configuration.h"
#include "policy/requests/admission_queue.h"
#include "policy/requests/admission_wait.h"
#include "policy/requests/return_schedule.h"

#include <doctest/doctest.h>
#include <map>
#include <random>

using namespace rampgap;

namespace {

const instant zero = instant() + std::chrono::hours(1);
constexpr std::size_t kinds = 3;
constexpr int slots = 19;
constexpr milliseconds run { 2'000 };
constexpr milliseconds firstEvent { 200 };
constexpr milliseconds tickTime { 5 };
constexpr milliseconds burstFrom { 4'000 };
constexpr double startsPerTick = 1.0 * slots * tickTime.count() / run.count();
constexpr std::array<milliseconds, kinds> targets { milliseconds(500), milliseconds(700), milliseconds(1'000) };

struct load_case {
    // Demand of each kind as a fraction of the capacity during the burst.
    std::array<double, kinds> burst { 0.27, 0.27, 0.27 };
    milliseconds burstUntil { 9'000 };
    // Callers of the burst are held until then, as before a closed group.
    milliseconds openFrom { 0 };
    bool byUrgency = true;
    bool earlyRefusal = true;
};

struct load_result {
    std::array<double, kinds> value {};
    std::array<double, kinds> answered {};
    std::array<double, kinds> came {};
    // One of 21 requests comes from a small workspace.
    double smallAnswered = 0;
    double smallCame = 0;
    double refused = 0;
    double waitOfRefusedMs = 0;

    double part(std::size_t kind) const { return value.at(kind) / came.at(kind); }
    double goodput() const { return value[0] + value[1] + value[2]; }
    double meanWaitOfRefused() const { return waitOfRefusedMs / std::max(1.0, refused); }
    double answeredOfAll() const { return (answered[0] + answered[1] + answered[2]) / (came[0] + came[1] + came[2]); }
    // Every kind and the small workspace have at least half the chance of all.
    bool nobodyStarves() const
    {
        const double half = 0.5 * answeredOfAll();
        bool fair = smallAnswered > half * smallCame;
        for (std::size_t kind = 0; kind < kinds; ++kind)
            fair = fair && answered.at(kind) > half * came.at(kind);
        return fair;
    }
};

struct caller {
    std::size_t kind = 0;
    bool isSmall = false;
    instant cameAt;
    bool firstTime = true;
    instant triedAt {};
    std::vector<admission_stage> stages {};
    instant stageUntil {};

    int urgency() const { return static_cast<int>(kind); }
    milliseconds timeLeft(instant now) const { return milliseconds(8'000) - std::chrono::duration_cast<milliseconds>(now - cameAt); }
};

class load_run {
public:
    load_run(const load_case& given, unsigned seed, load_result& result)
        : m_case(given)
        , m_result(result)
        , m_random(seed)
    {
        m_queue.setShedding(false);
        m_queue.reserve(lastChancePriority, lastChanceNth);
        m_returns.setRate(1'000.0 * slots / run.count() / lastChanceNth);
    }

    void play()
    {
        for (; m_now < zero + milliseconds(24'000); m_now += tickTime) {
            arrive();
            for (; !m_returning.empty() && m_returning.begin()->first <= m_now; m_returning.erase(m_returning.begin()))
                attempt(m_returning.begin()->second);
            for (; !m_ends.empty() && m_ends.begin()->first <= m_now; m_ends.erase(m_ends.begin())) {
                admission_outcome outcome;
                m_queue.finish(m_ends.begin()->second, run, m_now, outcome);
                apply(outcome);
            }
            std::vector<admission_id> over;
            for (const auto& [id, who] : m_waiting) {
                if (who.stageUntil <= m_now)
                    over.push_back(id);
            }
            for (const auto id : over) {
                m_queue.withdraw(id);
                endStage(id);
            }
        }
    }

private:
    void arrive()
    {
        const auto at = std::chrono::duration_cast<milliseconds>(m_now - zero);
        const load_case usual;
        for (std::size_t kind = 0; kind < kinds && at < milliseconds(14'000); ++kind) {
            const auto& demand = at >= burstFrom && at < m_case.burstUntil ? m_case.burst : usual.burst;
            m_due.at(kind) += demand.at(kind) * startsPerTick * (0.5 + m_random() % 1'001 / 1'000.0);
            if (m_due.at(kind) < 1)
                continue;
            m_due.at(kind) -= 1;
            m_result.came.at(kind) += 1;
            const bool isSmall = ++m_arrivals % 21 == 0;
            m_result.smallCame += isSmall ? 1 : 0;
            m_returning.emplace(at < burstFrom ? m_now : std::max(m_now, zero + m_case.openFrom), caller { .kind = kind, .isSmall = isSmall, .cameAt = m_now });
        }
    }

    void attempt(caller who)
    {
        who.triedAt = who.stageUntil = m_now;
        admission_wait_input input { .latencyTarget = targets.at(who.kind), .firstEvent = firstEvent, .run = run, .timeLeft = who.timeLeft(m_now), .patience = milliseconds(2'000) };
        input.waited = who.firstTime ? milliseconds(8'000) - input.timeLeft : milliseconds(0);
        input.firstTime = who.firstTime;
        input.slotsFree = m_queue.running() < slots;
        who.stages = planAdmission(input);
        const auto asked = request(who);
        if (m_case.earlyRefusal && shouldReturnLater(input, { m_queue.forecast(asked.workspace, asked.priority, asked.urgency), slots, run })) {
            if (const auto pause = m_returns.reserve({ input.timeLeft, run, who.urgency() }, m_now))
                return refuse(who, *pause);
        }
        enter(who);
    }

    admission_request request(const caller& who) const
    {
        const std::string workspace = who.isSmall ? "small" : std::string(1, static_cast<char>('a' + who.kind));
        return { workspace, who.stages.front().priority, who.stageUntil, m_case.byUrgency ? who.urgency() : 0 };
    }

    void enter(caller who)
    {
        who.stageUntil += who.stages.front().longest;
        admission_outcome outcome;
        m_waiting[m_queue.offer(request(who), m_now, outcome)] = who;
        apply(outcome);
    }

    void apply(const admission_outcome& outcome)
    {
        for (const auto id : outcome.started) {
            const caller who = m_waiting.extract(id).mapped();
            m_result.answered.at(who.kind) += 1;
            m_result.value.at(who.kind) += m_now + firstEvent - who.cameAt <= targets.at(who.kind) ? 1 : 0.5;
            m_result.smallAnswered += who.isSmall ? 1 : 0;
            m_ends.emplace(m_now + milliseconds(500 + m_random() % 3'000), id);
        }
        for (const auto& [id, failed] : outcome.refused)
            endStage(id);
    }

    void endStage(admission_id id)
    {
        caller who = m_waiting.extract(id).mapped();
        who.stages.erase(who.stages.begin());
        if (who.stages.empty())
            refuse(who, backlogRetryDelay(who.timeLeft(m_now), 0.5));
        else
            enter(who);
    }

    void refuse(caller who, milliseconds pause)
    {
        if (!std::exchange(who.firstTime, false))
            return;
        m_result.refused += 1;
        m_result.waitOfRefusedMs += std::chrono::duration<double, std::milli>(m_now - who.triedAt).count();
        m_returning.emplace(m_now + pause, who);
    }

    load_case m_case;
    load_result& m_result;
    std::mt19937 m_random;
    instant m_now = zero;
    admission_queue m_queue { { slots, 1'000 } };
    return_schedule m_returns;
    std::array<double, kinds> m_due {};
    int m_arrivals = 0;
    std::map<admission_id, caller> m_waiting;
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
        load_run(given, seed, sum).play();
    MESSAGE("value " << sum.part(0) << " " << sum.part(1) << " " << sum.part(2) << ", answered " << sum.answered[0] / sum.came[0] << " " << sum.answered[1] / sum.came[1] << " " << sum.answered[2] / sum.came[2]
                     << ", goodput " << sum.goodput() << ", refused " << sum.refused << " after " << sum.meanWaitOfRefused() << " ms, small " << sum.smallAnswered / sum.smallCame);
    return sum;
}

} // namespace

TEST_CASE("in a wave the most urgent kind is served best, nobody starves, and early refusals cost little")
{
    const load_case wave { .burst = { 0.6, 0.6, 0.6 }, .burstUntil = milliseconds(8'000) };
    const auto before = play(wave, false, false);
    CHECK(before.part(0) < before.part(2));
    const auto ordered = play(wave, true, false);
    CHECK(ordered.part(0) > before.part(0) + 0.08);
    CHECK(ordered.part(0) > ordered.part(1));
    CHECK(ordered.part(1) > ordered.part(2));
    CHECK(ordered.goodput() > 0.99 * before.goodput());
    CHECK(ordered.nobodyStarves());
    const auto early = play(wave, true, true);
    CHECK(early.meanWaitOfRefused() < 0.65 * ordered.meanWaitOfRefused());
    // Those who return during the wave take slots from others who would be on time.
    CHECK(early.goodput() > 0.96 * ordered.goodput());
    CHECK(early.nobodyStarves());
}

TEST_CASE("a burst of the least urgent kind takes nothing from the most urgent one, nor from a small workspace")
{
    const load_case burst { .burst = { 0.27, 0.27, 1.35 } };
    const auto ordered = play(burst, true, false);
    CHECK(ordered.part(0) > 0.94);
    CHECK(ordered.part(0) > ordered.part(2));
    CHECK(ordered.nobodyStarves());
    const auto early = play(burst, true, true);
    CHECK(early.smallAnswered > 0.95 * early.smallCame);
}

TEST_CASE("while every kind alone nearly fills the slots, nobody starves")
{
    const load_case burst { .burst = { 1.0, 0.9, 0.9 }, .burstUntil = milliseconds(12'000) };
    CHECK(play(burst, true, false).nobodyStarves());
    CHECK(play(burst, true, true).nobodyStarves());
}

TEST_CASE("after a hold of 1.7 s the backlog is served about as before")
{
    const load_case hold { .burst = { 0.5, 0.5, 0.5 }, .burstUntil = milliseconds(5'700), .openFrom = milliseconds(5'700) };
    const auto before = play(hold, false, false);
    const auto early = play(hold, true, true);
    CHECK(early.goodput() >= 0.99 * before.goodput());
    CHECK(early.answeredOfAll() > 0.99);
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
