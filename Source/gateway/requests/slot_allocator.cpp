#include "gateway/requests/slot_allocator.h"

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
    slots.costs = measuresPasses(request) ? request.costs : std::nullopt;
    slots.gapTarget = request.route.gapTarget;
    setSlots(request.service, request.costs, request.route.gapTarget, slots, slots.gate.queue().running(), true);
    admission_wait_input input;
    input.begun = begun;
    input.slotsFree = !slots.gate.full();
    input.latencyTarget = request.route.latencyTarget;
    input.firstEvent = std::min(slots.firstEvent.value(), request.route.gapTarget * firstEventPasses);
    input.run = slots.run.mean();
    input.waited = request.waited(now);
    input.timeLeft = request.timeLeft(now);
    input.patience = callerPatience(request.route.latencyTarget, request.route.gapTarget);
    input.firstTime = request.isFirstAttempt() && !again;
    admission_request asked { request.workspace, resumedStreamPriority, now };
    failure refused = notRun(failure_reason::queue_full, "no request slot became free in time");
    for (const auto& stage : planAdmission(input)) {
        asked.priority = stage.priority;
        asked.deadline += stage.longest;
        auto slot = co_await enter(slots.gate, asked, exchange);
        if (slot)
            slots.starts.recordStart();
        if (slot || exchange.callerGone())
            co_return slot;
        refused = slot.error();
    }
    if (refused.reason == failure_reason::queue_full && !begun)
        refused.retryAfter = backlogRetryDelay(request.timeLeft(m_context.now()), std::uniform_real_distribution<double>(0, 1)(m_context.random()));
    co_return refused;
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
    slots.gate.setSlots(admissionShare(input));
}

void slot_allocator::updatePasses(const std::string& service, const engine_costs& costs, milliseconds gap, service_slots& slots)
{
    if (!m_passes.update(service, costs, m_state.backends(), m_loads, m_groups, m_context.now()))
        return;
    const auto measures = m_passes.measures(service);
    slots.measured = !measures.empty();
    const auto longest = std::max_element(measures.begin(), measures.end(), [](const auto& a, const auto& b) { return a.measured.upperMs < b.measured.upperMs; });
    if (longest != measures.end()) {
        m_context.counters().set(metric::measured_pass, longest->measured.upperMs);
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
    line.add("service", measure.key.service).add("group", measure.key.group).add("target", running).add("measured_ms", measure.measured.upperMs).add("predicted_ms", measure.predictedMs);
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

awaitable<result<admission_slot>> slot_allocator::enter(admission_gate& gate, admission_request asked, http_exchange& exchange)
{
    const auto entered = co_await gate.enter(asked, exchange);
    if (!entered)
        co_return entered.error();
    co_return admission_slot(gate, entered.value());
}

void slot_allocator::recordFirstEvent(const std::string& service, milliseconds elapsed)
{
    slotsFor(service).firstEvent.observe(elapsed);
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
