#include "gateway/requests/slot_allocator.h"

#include "daemon/scope_exit.h"
#include "policy/groups/group_wait.h"
#include "policy/requests/admission_share.h"
#include "policy/requests/admission_wait.h"
#include "policy/routing/upstream_choice.h"
#include <algorithm>
#include <cmath>

namespace rampgap {

namespace {

    // Engines limit their own queues, so a request is refused only when its time runs out.
    constexpr bool shedding = false;
    constexpr double loggedChange = 0.1;
    constexpr milliseconds targetLogPeriod { 1'000 };

} // namespace

slot_allocator::service_slots::service_slots(process_context& context)
    : gate(context, admission_limits {}, shedding)
    , firstEvent(initialFirstEventDelay)
    , openingFirstEvent(initialOpeningFirstEvent)
    , run(initialRunTime)
    , draw(std::uniform_real_distribution<double>(0, 1)(context.random()))
{
    gate.reserve(lastChancePriority, lastChanceNth);
}

slot_allocator::slot_allocator(process_context& context, decision_log& log, fleet_state& state, load_table& loads, group_directory& groups, const server_backpressure& backpressure)
    : m_context(context)
    , m_log(log)
    , m_state(state)
    , m_loads(loads)
    , m_groups(groups)
    , m_backpressure(backpressure)
{
}

awaitable<result<admission_slot>> slot_allocator::acquire(http_exchange& exchange, const admitted_request& request, bool begun, bool again)
{
    if (!request.costs)
        co_return admission_slot();
    const instant now = m_context.now();
    service_slots& slots = slotsFor(request.service);
    // A route without a gap does not end the measured limit of the others that share the service.
    if (measuresPasses(request)) {
        slots.costs = request.costs;
        slots.gapTarget = request.route.gapTarget;
    }
    setSlots(request.service, request.costs, request.route.gapTarget, slots, slots.gate.queue().running(), true);
    admission_wait_input input;
    input.begun = begun;
    input.slotsFree = !slots.gate.full();
    input.latencyTarget = request.route.latencyTarget;
    input.firstEvent = std::min(slots.firstEvent.value(), request.route.gapTarget * firstEventPasses);
    input.slowFirstEvent = expectedFirstEvent(request, now);
    input.run = slots.run.mean();
    input.waited = request.waited(now);
    input.timeLeft = request.timeLeft(now);
    input.patience = callerPatience(request.route.latencyTarget, request.route.gapTarget);
    input.firstTime = request.isFirstAttempt() && !again;
    admission_request asked { request.workspace, resumedStreamPriority, now, request.priority };
    failure refused = notRun(failure_reason::queue_full, "no request slot became free in time");
    const std::vector<admission_stage> stages = planAdmission(input);
    if (auto early = refuseEarly(request, input, stages.front().priority, slots))
        co_return *early;
    for (const auto& stage : stages) {
        asked.priority = stage.priority;
        asked.deadline += stage.longest;
        auto slot = co_await enter(slots, asked, exchange);
        if (slot)
            slots.starts.recordStart();
        if (slot || exchange.callerGone())
            co_return slot;
        refused = slot.error();
    }
    if (refused.reason == failure_reason::queue_full && !begun)
        refused.retryAfter = planReturn(request);
    co_return refused;
}

std::optional<failure> slot_allocator::refuseEarly(const admitted_request& request, const admission_wait_input& input, int priority, service_slots& slots)
{
    if (request.route.gapTarget <= milliseconds(0))
        return std::nullopt;
    const slot_forecast forecast { slots.gate.queue().forecast(request.workspace, priority, request.priority), slots.gate.slots(), input.run };
    if (!shouldReturnLater(input, forecast))
        return std::nullopt;
    const auto pause = reserveReturn(request, slots);
    if (!pause)
        return std::nullopt;
    auto line = m_log.requestLine("admission_refused");
    line.add("request", request.parsed.id).add("urgency", request.priority).add("predicted_wait_ms", predictSlotWait(forecast)).add("run_ms", input.run).add("slots", forecast.slots);
    line.add("ahead", forecast.queue.ahead).add("starts_until", forecast.queue.startsUntil).add("retry_after_ms", *pause);
    m_context.counters().add(metric::requests_refused_early);
    return notRun(failure_reason::queue_full, "no request slot is expected in time", *pause);
}

// A caller that is refused once more gets a moment too: it may still come back, and its refusal shows that there is
// less room than planned.
milliseconds slot_allocator::planReturn(const admitted_request& request)
{
    service_slots& slots = slotsFor(request.service);
    const auto pause = reserveReturn(request, slots);
    return pause ? *pause : slots.returns.leastReserved(returnRequest(request, slots), m_context.now());
}

return_request slot_allocator::returnRequest(const admitted_request& request, const service_slots& slots) const
{
    const double draw = std::uniform_real_distribution<double>(0, 1)(m_context.random());
    return { request.timeLeft(m_context.now()), slots.run.mean(), request.priority, draw };
}

std::optional<milliseconds> slot_allocator::reserveReturn(const admitted_request& request, service_slots& slots)
{
    slots.returns.setWaiting(slots.lastChances);
    const auto pause = slots.returns.reserve(returnRequest(request, slots), m_context.now());
    if (pause)
        m_context.counters().add(metric::returns_planned);
    return pause;
}

milliseconds slot_allocator::expectedFirstEvent(const admitted_request& request, instant now)
{
    if (request.route.gapTarget <= milliseconds(0))
        return milliseconds(0);
    const service_slots& slots = slotsFor(request.service);
    // Engines without groups do not open.
    milliseconds openFor = m_groups.hasGroups(request.service, now) ? m_groups.openFor(request.service, now) : openingTime;
    if (m_groups.closed(request.service, now))
        openFor = milliseconds(0);
    const first_event_times times { slots.firstEvent.mean(), slots.openingFirstEvent.mean() };
    const milliseconds patience = callerPatience(request.route.latencyTarget, request.route.gapTarget);
    return rampgap::expectedFirstEvent(times, openFor, patience);
}

void slot_allocator::setSlots(const std::string& service, const std::optional<engine_costs>& costs, milliseconds gapTarget, service_slots& slots, int own, bool wanted)
{
    const instant now = m_context.now();
    const milliseconds gap = passTimeLimit(gapTarget);
    if (slots.costs)
        updatePasses(service, *slots.costs, gap, slots);
    const pool_load load = poolLoad({ service, costs, gap, slots.run.mean(), now }, m_state.backends(), m_loads, m_groups, m_backpressure);
    slots.busyShare = load.capacity > 0 ? static_cast<double>(load.requests) / load.capacity : 1;
    admission_share_input input { load.targetRunning, load.requests, own, m_entries, m_groups.openFor(service, now) };
    if (slots.costs && slots.measured) {
        input.slots = load.capacity;
        input.sentRecently = load.sentRecently;
        input.draw = slots.draw;
        slots.starts.update(input, slots.run.mean(), wanted, std::uniform_real_distribution<double>(0, 1)(m_context.random()), now);
        input.starts = slots.starts.starts();
        m_context.counters().set(metric::target_running, load.targetRunning);
    }
    const int share = admissionShare(input);
    slots.gate.setSlots(share);
    slots.returns.setRate(returnRate({ share, slots.run.mean(), slots.newCallers.perSecond(now) }));
}

void slot_allocator::updatePasses(const std::string& service, const engine_costs& costs, milliseconds gap, service_slots& slots)
{
    if (!m_passes.update(service, costs, m_state.backends(), m_loads, m_groups, m_context.now()))
        return;
    const auto measures = m_passes.measures(service);
    slots.measured = !measures.empty();
    const auto longest = std::max_element(measures.begin(), measures.end(), [](const auto& a, const auto& b) { return a.measured.meanMs < b.measured.meanMs; });
    if (longest != measures.end()) {
        m_context.counters().set(metric::measured_pass, longest->measured.meanMs);
        m_context.counters().set(metric::token_factor, longest->slowdown.tokenFactor);
    }
    for (const auto& each : measures)
        logTarget(each, sequencesToRun(costs, each.slowdown, gap));
}

void slot_allocator::logTarget(const pass_measure& measure, double running)
{
    const instant now = m_context.now();
    logged_target& last = m_loggedTargets[measure.key];
    if (now - last.at < targetLogPeriod || std::abs(running - last.running) <= loggedChange * last.running)
        return;
    last = { running, now };
    auto line = m_log.line("pass_limit");
    line.add("service", measure.key.service).add("group", measure.key.group).add("target", running).add("measured_ms", measure.measured.meanMs).add("predicted_ms", measure.predictedMs);
    line.add("factor", measure.slowdown.tokenFactor).add("skew", measure.slowdown.expertSkew).add("pace", measure.slowdown.slowestPace).add("sequences", measure.measured.sequences);
    line.add("own", static_cast<int>(measure.measured.own)).add("age_ms", measure.age);
}

bool slot_allocator::measuresPasses(const admitted_request& request)
{
    return request.costs && request.costs->layerSets > 0 && request.route.gapTarget > milliseconds(0);
}

void slot_allocator::recordGap(const admitted_request& request, std::uint32_t backendHash, duration gap)
{
    m_passes.recordGap(request.service, *request.costs, backendHash, gap, m_groups, m_context.now());
}

void slot_allocator::recordEnd(const admitted_request& request)
{
    if (!measuresPasses(request))
        return;
    service_slots& slots = slotsFor(request.service);
    if (slots.measured && slots.costs)
        setSlots(request.service, slots.costs, slots.gapTarget, slots, std::max(0, slots.gate.queue().running() - 1), slots.gate.queue().queued() > 0);
}

// Without it a request that waits here would get a slot only when another one arrives or ends.
void slot_allocator::runPeriodicWork()
{
    for (auto& [service, slots] : m_slotsByService) {
        const admission_queue& queue = slots.gate.queue();
        if (!slots.costs || queue.running() + queue.queued() == 0)
            continue;
        setSlots(service, slots.costs, slots.gapTarget, slots, queue.running(), queue.queued() > 0);
        if (slots.measured)
            slots.gate.startFitting();
    }
}

awaitable<result<admission_slot>> slot_allocator::enter(service_slots& slots, admission_request asked, http_exchange& exchange)
{
    const int counted = asked.priority == lastChancePriority ? 1 : 0;
    slots.lastChances += counted;
    const scope_exit left(m_context, [&slots, counted] { slots.lastChances -= counted; });
    const auto entered = co_await slots.gate.enter(asked, exchange);
    if (!entered)
        co_return entered.error();
    co_return admission_slot(slots.gate, entered.value());
}

void slot_allocator::recordFirstEvent(const std::string& service, milliseconds elapsed)
{
    service_slots& slots = slotsFor(service);
    slots.firstEvent.observe(elapsed);
    const milliseconds openFor = m_groups.openFor(service, m_context.now());
    if (openFor > elapsed && openFor - elapsed < openingTime)
        slots.openingFirstEvent.observe(elapsed);
}

void slot_allocator::recordCompletion(const std::string& service, milliseconds elapsed)
{
    slotsFor(service).run.observe(elapsed);
}

milliseconds slot_allocator::typicalRun(const std::string& service)
{
    return slotsFor(service).run.mean();
}

slot_allocator::service_slots& slot_allocator::slotsFor(const std::string& service)
{
    return m_slotsByService.try_emplace(service, m_context).first->second;
}

} // namespace rampgap
