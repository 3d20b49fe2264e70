#include "model/entry_model.h"

#include "policy/groups/group_wait.h"
#include "policy/requests/admission_share.h"
#include "policy/requests/attempt_rules.h"
#include "policy/requests/silence_limit.h"
#include <algorithm>

namespace rampgap::model {

namespace {

    const std::string service = "model";
    const std::string workspace = "w";
    constexpr milliseconds groupPoll { 20 };
    constexpr milliseconds fullRetryAfter { 200 };
    constexpr admission_limits startLimits { 1, 10'000 };

    std::string zoneName(std::size_t zone) { return "z" + std::to_string(zone); }

} // namespace

entry_model::entry_model(event_queue& events, const scenario& given, const ways& chosen, fleet_port& fleet, std::size_t zone, const std::vector<listed_backend>& listed, std::uint64_t seed)
    : m_events(events)
    , m_scenario(given)
    , m_ways(chosen)
    , m_fleet(fleet)
    , m_zone(zone)
    , m_listed(listed)
    , m_random(seed)
    , m_loads(loadReportLifetime)
    , m_groups(groupUpdateLifetime)
    , m_queue(startLimits)
    , m_firstEvent(initialFirstEventDelay)
    , m_run(initialRunTime)
    , m_budget({}, instant {})
{
    // Long at work: it has its part of the retry budget.
    begin(instant {} - milliseconds(20'000));
}

void entry_model::restart()
{
    begin(m_events.now());
}

void entry_model::begin(instant startedAt)
{
    m_attempts.clear();
    m_waiting.clear();
    m_loads = load_table(loadReportLifetime);
    m_groups = group_directory(groupUpdateLifetime);
    m_queue = admission_queue(startLimits);
    m_queue.setShedding(false);
    m_queue.reserve(lastChancePriority, m_ways.lastChanceNth);
    m_firstEvent = delay_estimate(initialFirstEventDelay);
    m_run = delay_estimate(initialRunTime);
    m_budget = shared_retry_budget({ m_scenario.retryRatio, m_scenario.retryAllowance, milliseconds(10'000), 0.8 }, startedAt);
    m_budget.setSharingProcesses(m_scenario.entries);
    m_backends = backend_directory();
    for (const auto& each : m_listed)
        m_backends.list(each);
}

entry_model::attempt* entry_model::find(attempt_id id)
{
    const auto held = m_attempts.find(id);
    return held == m_attempts.end() ? nullptr : &held->second;
}

void entry_model::later(const attempt& of, duration pause, std::function<void(attempt&)> action)
{
    m_events.after(pause, [this, id = of.request.id, step = of.step, action = std::move(action)] {
        attempt* held = find(id);
        if (held && held->step == step)
            action(*held);
    });
}

milliseconds entry_model::timeLeft(const attempt& of) const
{
    return std::chrono::duration_cast<milliseconds>(of.request.deadline - m_events.now());
}

milliseconds entry_model::waited(const attempt& of) const
{
    return std::chrono::duration_cast<milliseconds>(m_events.now() - of.receivedAt);
}

milliseconds entry_model::patienceOf() const
{
    return callerPatience(m_scenario.latencyTarget, m_scenario.gapTarget);
}

void entry_model::take(const model_request& request)
{
    m_budget.recordRequest(service, m_events.now());
    attempt& made = m_attempts[request.id];
    made.request = request;
    made.receivedAt = m_events.now();
    made.newestAt = m_events.now();
    next(made);
}

void entry_model::drop(attempt_id id)
{
    attempt* held = find(id);
    if (!held)
        return;
    if (held->sentAt != instant {}) {
        m_fleet.cancel(held->backend, held->sequence);
        m_loads.recordEnded(held->backend, 0);
    }
    releasePlace(*held);
    m_attempts.erase(id);
}

bool entry_model::mayRepeat(const attempt& of) const
{
    const verdict ran = of.mayHaveRun ? verdict::may_have_run : verdict::not_run;
    return mayAttemptAgain({ ran, true, true, m_scenario.maxAttempts, of.runs, of.tried.size(), of.delivered > 0 });
}

void entry_model::next(attempt& of)
{
    ++of.step;
    if (timeLeft(of) < groupPoll || (of.last && !mayRepeat(of)))
        return refuse(of, fullRetryAfter);
    group_wait_input question;
    question.timeLeft = timeLeft(of);
    question.patience = patienceOf();
    question.waited = waited(of);
    question.run = m_run.mean();
    if (m_ways.endsLongWaits)
        question.closedFor = m_groups.closedFor(service, m_events.now());
    const auto decision = decideGroupWait(question);
    const milliseconds longest = of.delivered > 0 ? resumeWait : decision.wait;
    awaitGroup(of, m_events.now() + longest, decision.retryAfter);
}

void entry_model::awaitGroup(attempt& of, instant until, milliseconds retryAfter)
{
    if (!m_groups.closed(service, m_events.now()))
        return askPlace(of);
    if (m_events.now() >= until)
        return refuse(of, retryAfter);
    later(of, groupPoll, [this, until, retryAfter](attempt& held) { awaitGroup(held, until, retryAfter); });
}

void entry_model::setSlots()
{
    const milliseconds gap = passTimeLimit(m_scenario.gapTarget);
    const pool_load load = poolLoad({ service, m_scenario.costs, gap, m_run.mean(), m_events.now() }, m_backends, m_loads, m_groups, m_backpressure);
    m_busyPart = load.capacity > 0 ? static_cast<double>(load.requests) / load.capacity : 1;
    m_slots = admissionShare({ load.targetRunning, load.requests, m_queue.running(), m_scenario.entries, m_groups.openFor(service, m_events.now()) });
    m_queue.setLimits({ m_slots, startLimits.maxQueued });
}

void entry_model::askPlace(attempt& of)
{
    setSlots();
    admission_wait_input question;
    question.begun = of.delivered > 0;
    question.slotsFree = m_queue.running() < m_slots;
    question.latencyTarget = m_scenario.latencyTarget;
    question.firstEvent = std::min(m_firstEvent.value(), m_scenario.gapTarget * firstEventPasses);
    question.run = m_run.mean();
    question.waited = waited(of);
    question.timeLeft = timeLeft(of);
    question.patience = patienceOf();
    const auto fromStart = std::chrono::duration_cast<milliseconds>(of.request.deadline - of.receivedAt);
    question.firstTime = isFirstCall(fromStart, m_scenario.deadline) && !of.last;
    of.stages = planAdmission(question);
    nextStage(of);
}

void entry_model::nextStage(attempt& of)
{
    ++of.step;
    if (of.stages.empty()) {
        const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
        return refuse(of, backlogRetryDelay(timeLeft(of), draw));
    }
    const admission_stage stage = of.stages.front();
    of.stages.erase(of.stages.begin());
    admission_outcome outcome;
    const instant until = m_events.now() + stage.longest;
    const admission_id place = m_queue.offer({ workspace, stage.priority, until }, m_events.now(), outcome);
    of.place = place;
    m_waiting[place] = of.request.id;
    later(of, stage.longest, [this, place](attempt& held) {
        m_queue.withdraw(place);
        m_waiting.erase(place);
        held.place.reset();
        nextStage(held);
    });
    carryOut(outcome);
}

void entry_model::carryOut(const admission_outcome& outcome)
{
    // What is carried out may start or refuse others: ids first, then actions.
    std::vector<attempt_id> started;
    for (const auto place : outcome.started) {
        const auto held = m_waiting.find(place);
        if (held == m_waiting.end())
            continue;
        started.push_back(held->second);
        m_waiting.erase(held);
    }
    for (const auto id : started) {
        if (attempt* held = find(id))
            send(*held);
    }
}

void entry_model::releasePlace(attempt& of)
{
    if (!of.place)
        return;
    const admission_id place = *of.place;
    of.place.reset();
    if (m_waiting.erase(place) > 0) {
        m_queue.withdraw(place);
        return;
    }
    admission_outcome outcome;
    m_queue.finish(place, duration::zero(), m_events.now(), outcome);
    carryOut(outcome);
}

void entry_model::send(attempt& of)
{
    ++of.step;
    const instant now = m_events.now();
    if (of.last && *of.last != attempt_result::unreachable) {
        if (!m_budget.tryConsume(service, now))
            return refuse(of, fullRetryAfter);
        ++m_secondTries;
    }
    upstream_input question;
    question.service = service;
    question.costs = m_scenario.costs;
    question.promptTokens = static_cast<std::int64_t>(of.request.promptTokens);
    question.tried = of.tried;
    if (m_ways.groupReach)
        question.silent = of.silent;
    question.ownZone = zoneName(m_zone);
    question.now = now;
    if (m_ways.groupsByPass)
        question.longestGap = m_scenario.gapTarget;
    of.backend = m_choice.choose(question, m_backends, m_loads, m_groups, m_backpressure, m_random);
    if (of.backend.empty())
        return refuse(of, fullRetryAfter);
    of.tried.push_back(of.backend);
    of.sequence = of.request.id * triesOfAttempt + of.tried.size();
    of.sentAt = now;
    of.newestAt = now;
    m_loads.recordSent(of.backend, 0, now);
    if (!m_fleet.reaches(m_zone, of.backend))
        later(of, serverConnectTimeout, [this](attempt& held) { endTry(held, attempt_result::unreachable); });
    else
        later(of, m_fleet.delayTo(m_zone, of.backend), [this](attempt& held) { arrive(held); });
}

void entry_model::arrive(attempt& of)
{
    const sequence asked { of.sequence, of.request.promptTokens, of.request.events - of.delivered, false, false };
    if (!m_fleet.submit(of.backend, asked)) {
        later(of, m_fleet.delayTo(m_zone, of.backend), [this](attempt& held) { endTry(held, attempt_result::refused); });
        return;
    }
    of.mayHaveRun = true;
    ++of.runs;
    watchFirstEvent(of);
    watchSilence(of);
}

bool entry_model::mayGoElsewhere(const attempt& of)
{
    return of.runs < m_scenario.maxAttempts && m_budget.allowsRetry(service, m_events.now());
}

void entry_model::watchFirstEvent(attempt& of)
{
    if (m_ways.firstEvent == silence_way::none || !mayGoElsewhere(of) || of.delivered > 0)
        return;
    std::optional<milliseconds> limit = m_ways.constantFirstEvent;
    if (m_ways.firstEvent == silence_way::learnt)
        limit = firstEventLimit({ m_firstEvent.value(), m_scenario.latencyTarget, patienceOf(), waited(of), m_busyPart });
    if (!limit)
        return;
    later(of, *limit, [this](attempt& held) {
        if (held.newestAt == held.sentAt)
            endTry(held, attempt_result::silent);
    });
}

void entry_model::watchSilence(attempt& of)
{
    if (!mayGoElsewhere(of))
        return;
    const bool elsewhere = m_ways.silenceOfOneGroup && m_groups.hasOtherOpenGroup(service, backendHash(of.backend), m_events.now());
    const milliseconds limit = streamSilenceLimit(elsewhere);
    const auto silence = m_events.now() - of.newestAt;
    if (silence >= limit)
        return endTry(of, attempt_result::silent);
    later(of, limit - silence, [this](attempt& held) { watchSilence(held); });
}

void entry_model::hearEvent(attempt_id id, sequence_id of, bool last)
{
    attempt* held = find(id);
    if (!held || held->sequence != of || !m_fleet.reaches(m_zone, held->backend))
        return;
    if (held->newestAt == held->sentAt && held->delivered == 0)
        m_firstEvent.observe(std::chrono::duration_cast<milliseconds>(m_events.now() - held->sentAt));
    held->newestAt = m_events.now();
    ++held->delivered;
    m_fleet.passOn(id);
    held = find(id);
    if (!held || !last)
        return;
    m_loads.recordEnded(held->backend, 0);
    m_run.observe(std::chrono::duration_cast<milliseconds>(m_events.now() - held->sentAt));
    m_backends.recordResult(held->backend, attempt_result::answered, m_events.now());
    if (m_ways.groupReach)
        m_groups.recordReachability(service, backendHash(held->backend), true, m_events.now());
    held->sentAt = {};
    finish(*held, { true, false, milliseconds(0) });
}

void entry_model::hearCut(attempt_id id, sequence_id of)
{
    attempt* held = find(id);
    if (held && held->sequence == of && m_fleet.reaches(m_zone, held->backend))
        endTry(*held, attempt_result::failed);
}

void entry_model::hear(const group_report& told)
{
    m_groups.mergeUpdate({ told.key, told.phase }, milliseconds(0), m_events.now());
    m_groups.recordSlowdown(told.key, told.slowdown, m_events.now());
    for (const auto& [hash, load] : told.loads)
        m_groups.recordMember(hash, told.key);
    m_loads.mergeRankLoads(told.loads, m_events.now());
}

void entry_model::endTry(attempt& of, attempt_result result)
{
    ++of.step;
    const instant now = m_events.now();
    m_fleet.cancel(of.backend, of.sequence);
    m_loads.recordEnded(of.backend, 0);
    m_backends.recordResult(of.backend, result, now);
    if (m_ways.groupReach)
        m_groups.recordReachability(service, backendHash(of.backend), result != attempt_result::unreachable, now);
    if (result == attempt_result::silent || result == attempt_result::unreachable)
        of.silent.push_back(of.backend);
    if (result == attempt_result::refused && m_loads.isKnownRank(of.backend) && m_loads.total(of.backend, now).requests <= m_scenario.costs.capacity)
        m_groups.recordRefusal(service, backendHash(of.backend), now);
    of.sentAt = {};
    of.last = result;
    releasePlace(of);
    next(of);
}

void entry_model::refuse(attempt& of, milliseconds retryAfter)
{
    finish(of, { false, !of.mayHaveRun, retryAfter });
}

void entry_model::finish(attempt& of, attempt_end how)
{
    ++of.step;
    const attempt_id id = of.request.id;
    releasePlace(of);
    m_attempts.erase(id);
    m_fleet.end(id, how);
}

} // namespace rampgap::model
