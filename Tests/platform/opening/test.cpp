// Load pattern: all groups open at one moment, while the callers of the last 0.7 s and of the outage before
// are waiting. For 1.7 s passes take twice as long, and there are too few slots for the callers who arrive
// in that time.
#include "policy/requests/admission_queue.h"
#include "policy/requests/admission_wait.h"

#include <doctest/doctest.h>
#include <map>
#include <random>

using namespace rampgap;

namespace {

const instant zero {};
constexpr int slots = 612;
constexpr int timelyPriority = 2;
constexpr int lastChancePriority = 3;
constexpr int latePriority = 4;
constexpr milliseconds patience { 2'000 };
constexpr milliseconds tick { 5 };

struct outcome {
    int callers = 0;
    int timely = 0;
    int lost = 0;
    // Milliseconds that lost callers waited without getting a slot, in total.
    double lostWaitMs = 0;
};

// Variants of the rules, to compare with the current ones.
struct rules {
    // 0: returning callers wait behind all who can be on time.
    int lastChanceNth = 4;
};

class opening {
public:
    explicit opening(rules which, double callersPerMs = 0.3)
        : m_rules(which)
        , m_callersPerMs(callersPerMs)
    {
        m_queue.setShedding(false);
        m_queue.reserve(lastChancePriority, which.lastChanceNth);
    }

    outcome run()
    {
        for (int i = 0; i < 400; ++i)
            come(false);
        // Callers that the outage cut off come back over the first second.
        for (int i = 0; i < 200; ++i)
            m_returns.emplace(zero + milliseconds(5 * i), 0);
        for (; m_now < zero + milliseconds(8'000); m_now += tick) {
            endRuns();
            giveUp();
            for (; !m_returns.empty() && m_returns.begin()->first <= m_now; m_returns.erase(m_returns.begin()))
                come(true);
            const bool callersCome = m_now < zero + milliseconds(5'000);
            for (m_due += callersCome ? m_callersPerMs * static_cast<double>(tick.count()) : 0; m_due >= 1; --m_due)
                come(false);
        }
        return m_outcome;
    }

private:
    struct caller {
        instant cameAt;
        instant waitingSince;
        bool returned = false;
        bool timelyWait = false;
    };

    milliseconds runOf()
    {
        const double mean = m_now < zero + milliseconds(1'700) ? 2'400 : 1'300;
        return milliseconds(static_cast<std::int64_t>(mean * std::uniform_real_distribution<double>(0.5, 1.5)(m_random)));
    }

    void come(bool returned)
    {
        m_outcome.callers += returned ? 0 : 1;
        offer({ m_now, m_now, returned, !returned });
    }

    void offer(caller who)
    {
        admission_wait_input question;
        question.latencyTarget = milliseconds(500);
        question.firstEvent = milliseconds(250);
        question.run = milliseconds(1'500);
        question.timeLeft = milliseconds(who.returned ? 5'000 : 8'000);
        question.patience = patience;
        question.waited = std::chrono::duration_cast<milliseconds>(m_now - who.cameAt);
        question.firstTime = !who.returned;
        const admission_wait wait = planAdmissionWait(question);
        const int priority = who.timelyWait ? timelyPriority : who.returned && m_rules.lastChanceNth > 0 ? lastChancePriority
                                                                                                         : latePriority;
        const milliseconds longest = who.timelyWait ? wait.timely : wait.late;
        admission_outcome result;
        const auto id = m_queue.offer({ "w", priority, m_now + longest }, m_now, result);
        m_waiting[id] = { who, m_now + longest };
        recordOutcome(result);
    }

    void refuse(const caller& who)
    {
        if (who.returned) {
            ++m_outcome.lost;
            m_outcome.lostWaitMs += std::chrono::duration<double, std::milli>(m_now - who.waitingSince).count();
            return;
        }
        const int pause = std::uniform_int_distribution<int>(1'200, 2'500)(m_random);
        m_returns.emplace(m_now + milliseconds(pause), 0);
    }

    void recordOutcome(const admission_outcome& result)
    {
        for (const auto id : result.started) {
            const caller who = m_waiting.at(id).first;
            m_waiting.erase(id);
            m_outcome.timely += who.returned || m_now - who.cameAt > milliseconds(250) ? 0 : 1;
            m_ends.emplace(m_now + runOf(), id);
        }
    }

    void endRuns()
    {
        while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
            const auto id = m_ends.begin()->second;
            m_ends.erase(m_ends.begin());
            admission_outcome result;
            m_queue.finish(id, milliseconds(0), m_now, result);
            recordOutcome(result);
        }
    }

    void giveUp()
    {
        std::vector<std::pair<admission_id, caller>> over;
        for (const auto& [id, waiting] : m_waiting) {
            if (waiting.second <= m_now)
                over.emplace_back(id, waiting.first);
        }
        for (auto& [id, who] : over) {
            m_queue.withdraw(id);
            m_waiting.erase(id);
            if (who.timelyWait) {
                who.timelyWait = false;
                offer(who);
            } else {
                refuse(who);
            }
        }
    }

    rules m_rules;
    double m_callersPerMs;
    admission_queue m_queue { { slots, 10'000 } };
    std::mt19937_64 m_random { 7 };
    instant m_now = zero;
    double m_due = 0;
    std::map<admission_id, std::pair<caller, instant>> m_waiting;
    std::multimap<instant, admission_id> m_ends;
    std::multimap<instant, int> m_returns;
    outcome m_outcome;
};

} // namespace

TEST_CASE("after an opening hardly any returning caller is lost to those who can be on time")
{
    const outcome before = opening({ 0 }).run();
    const outcome now = opening({}).run();
    CHECK(before.lost > 100);
    CHECK(now.lost <= 10);
    CHECK(now.timely * 10 >= before.timely * 9);
}

TEST_CASE("under twice the load that can be served, fewer callers are lost")
{
    const outcome before = opening({ 0 }, 0.6).run();
    const outcome now = opening({}, 0.6).run();
    CHECK(now.lost * 2 < before.lost);
    CHECK(now.timely * 10 > before.timely * 7);
}
