#include "model/caller_crowd.h"

#include "policy/groups/group_wait.h"
#include <algorithm>
#include <cmath>
#include <numbers>

namespace rampgap::model {

namespace {

    constexpr double wavePeriodMs = 11'000;
    // A caller that could not connect tries again after this.
    constexpr milliseconds connectRetry { 1'000 };
    constexpr double busyWeight = 3;
    // Answers of more events than this many times the mean are cut to it.
    constexpr double longestAnswer = 2.5;

} // namespace

caller_crowd::caller_crowd(event_queue& events, const scenario& given, std::mt19937_64& random, const std::vector<std::unique_ptr<entry_model>>& entries, outcome& seen)
    : m_events(events)
    , m_scenario(given)
    , m_random(random)
    , m_entries(entries)
    , m_seen(seen)
{
    m_seen.seconds.resize(static_cast<std::size_t>(given.length.count() / 1'000 + 1));
    for (std::size_t i = 0; i < given.entries; ++i)
        m_weights.push_back(static_cast<double>(i) < given.busyEntries * static_cast<double>(given.entries) ? busyWeight : 1);
}

void caller_crowd::start()
{
    scheduleArrival();
}

entry_model* caller_crowd::entryOf(attempt_id id)
{
    const caller* held = callerOf(id);
    return held ? m_entries[held->entry].get() : nullptr;
}

// Those who had no event yet come back.
void caller_crowd::loseEntries()
{
    m_nobodyListens = true;
    std::vector<std::uint64_t> cut;
    for (const auto& [attempt, id] : m_attempts)
        cut.push_back(id);
    m_attempts.clear();
    for (const auto id : cut) {
        caller& who = m_callers.at(id);
        if (who.eventsSeen == 0 && who.returnsLeft-- > 0)
            later(id, connectRetry);
        else
            end(who, caller_end::failed);
    }
}

void caller_crowd::finish()
{
    for (auto& [id, held] : m_callers)
        end(held, held.eventsSeen > 0 ? caller_end::failed : caller_end::refused);
}

void caller_crowd::passOn(attempt_id id)
{
    caller* held = callerOf(id);
    if (!held)
        return;
    const instant now = m_events.now() + m_scenario.callerDelay;
    if (held->firstEventAt)
        held->longestGap = std::max(held->longestGap, now - held->newestAt);
    else
        held->firstEventAt = now;
    held->newestAt = now;
    ++held->eventsSeen;
}

void caller_crowd::end(attempt_id id, attempt_end how)
{
    caller* held = callerOf(id);
    if (!held)
        return;
    if (how.answered)
        return end(*held, inTime(*held) ? caller_end::in_time : caller_end::late);
    m_attempts.erase(id);
    if (held->returnsLeft-- > 0 && held->eventsSeen == 0)
        return comeBack(*held, how.retryAfter);
    end(*held, how.notRun ? caller_end::refused : caller_end::failed);
}

caller_crowd::caller* caller_crowd::callerOf(attempt_id id)
{
    const auto held = m_attempts.find(id);
    if (held == m_attempts.end())
        return nullptr;
    const auto found = m_callers.find(held->second);
    return found == m_callers.end() ? nullptr : &found->second;
}

bool caller_crowd::inTime(const caller& who) const
{
    return *who.firstEventAt - who.cameAt <= m_scenario.latencyTarget && who.longestGap <= m_scenario.gapTarget;
}

void caller_crowd::scheduleArrival()
{
    const double elapsed = std::chrono::duration<double, std::milli>(m_events.now() - instant {}).count();
    const double wave = 1 + m_scenario.swing * std::sin(2 * std::numbers::pi * elapsed / wavePeriodMs);
    const double perMs = m_scenario.requestsPerSecond * wave * m_rate / 1'000;
    const double pause = std::exponential_distribution<double>(std::max(perMs, 1e-6))(m_random);
    m_events.after(std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(pause)), [this] {
        if (m_events.now() - instant {} >= m_scenario.length)
            return;
        arrive();
        scheduleArrival();
    });
}

void caller_crowd::arrive()
{
    const std::uint64_t id = ++m_callerIds;
    caller& who = m_callers[id];
    who.id = id;
    who.cameAt = m_events.now();
    who.deadline = who.cameAt + m_scenario.deadline;
    who.zone = std::uniform_int_distribution<std::size_t>(0, m_scenario.zones - 1)(m_random);
    const double spread = m_scenario.eventSpread;
    const double draw = std::lognormal_distribution<double>(-spread * spread / 2, spread)(m_random);
    who.events = std::max(1, static_cast<int>(m_scenario.meanEvents * std::min(draw, longestAnswer)));
    who.promptTokens = m_scenario.meanPromptTokens * std::uniform_real_distribution<double>(0.5, 1.5)(m_random);
    who.returnsLeft = m_scenario.returns;
    connect(id);
}

void caller_crowd::connect(std::uint64_t id)
{
    caller& who = m_callers.at(id);
    who.newestAt = m_events.now();
    if (m_nobodyListens) {
        if (who.returnsLeft-- > 0)
            return later(id, connectRetry);
        return end(who, caller_end::failed);
    }
    std::vector<double> weights = m_weights;
    for (std::size_t i = 0; i < weights.size(); ++i)
        weights[i] = m_entries[i]->zone() == who.zone ? weights[i] : 0;
    who.entry = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random);
    who.attempt = ++m_attemptIds;
    m_attempts[who.attempt] = id;
    watchPatience(id, who.attempt);
    const model_request asked { who.attempt, who.promptTokens, who.events, who.deadline };
    m_events.after(m_scenario.callerDelay, [this, entry = who.entry, asked] { m_entries[entry]->take(asked); });
}

void caller_crowd::comeBack(caller& who, milliseconds pause)
{
    const auto left = std::chrono::duration_cast<milliseconds>(who.deadline - m_events.now());
    later(who.id, std::min(pause, longestRetryPause(left)));
}

void caller_crowd::later(std::uint64_t id, milliseconds pause)
{
    m_events.after(pause + m_scenario.callerDelay, [this, id] {
        if (m_callers.contains(id))
            connect(id);
    });
}

void caller_crowd::watchPatience(std::uint64_t id, attempt_id attempt)
{
    const auto held = m_callers.find(id);
    if (held == m_callers.end() || held->second.attempt != attempt)
        return;
    caller& who = held->second;
    const instant leaves = std::min(who.deadline, who.newestAt + callerPatience(m_scenario.latencyTarget, m_scenario.gapTarget));
    if (m_events.now() < leaves) {
        m_events.at(leaves, [this, id, attempt] { watchPatience(id, attempt); });
        return;
    }
    m_entries[who.entry]->drop(attempt);
    m_attempts.erase(attempt);
    if (m_events.now() < who.deadline && who.eventsSeen == 0 && who.returnsLeft-- > 0)
        return connect(id);
    end(who, caller_end::failed);
}

void caller_crowd::end(caller& who, caller_end how)
{
    if (std::exchange(who.ended, true))
        return;
    m_ended.push_back(who.id);
    m_attempts.erase(who.attempt);
    // The caller is erased by a later event, since functions that called this one may still refer to it.
    m_events.after(duration::zero(), [this] {
        for (const auto id : m_ended)
            m_callers.erase(id);
        m_ended.clear();
    });
    if (who.cameAt - instant {} >= m_scenario.warmUp)
        count(who, how);
}

void caller_crowd::count(const caller& who, caller_end how)
{
    const auto second = static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(who.cameAt - instant {}).count());
    second_tally& tally = m_seen.seconds[second];
    switch (how) {
    case caller_end::in_time:
        ++tally.in_time;
        break;
    case caller_end::late:
        ++tally.late;
        break;
    case caller_end::refused:
        ++tally.refused;
        break;
    case caller_end::failed:
        ++tally.failed;
        break;
    }
    if (who.firstEventAt) {
        m_seen.firstEventMs.push_back(std::chrono::duration<double, std::milli>(*who.firstEventAt - who.cameAt).count());
        m_seen.longestGapMs.push_back(std::chrono::duration<double, std::milli>(who.longestGap).count());
    }
}

} // namespace rampgap::model
