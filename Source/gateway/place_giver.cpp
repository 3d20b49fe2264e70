#include "gateway/place_giver.h"

#include "policy/admission_share.h"
#include "policy/admission_wait.h"
#include "policy/group_wait.h"
#include "policy/upstream_choice.h"
#include <algorithm>

namespace rampgap {

namespace {

    // The engines bound their own queues: requests are refused for want of time only.
    constexpr bool shedding = false;

} // namespace

place_giver::desk::desk(process_context& context)
    : gate(context, admission_limits {}, shedding)
    , firstEvent(initialFirstEventDelay)
    , run(initialRunTime)
{
    gate.reserve(lastChancePriority, lastChanceNth);
}

place_giver::place_giver(process_context& context, fleet_state& state, load_table& loads, group_directory& groups, const server_backpressure& backpressure)
    : m_context(context)
    , m_state(state)
    , m_loads(loads)
    , m_groups(groups)
    , m_backpressure(backpressure)
{
}

awaitable<result<admission_place>> place_giver::take(http_exchange& exchange, const admitted_request& request, bool begun, bool again)
{
    if (!request.costs)
        co_return admission_place();
    const instant now = m_context.now();
    desk& own = deskOf(request.service);
    setSlots(request, own);
    admission_wait_input question;
    question.begun = begun;
    question.slotsFree = !own.gate.full();
    question.latencyTarget = request.route.latencyTarget;
    question.firstEvent = std::min(own.firstEvent.value(), request.route.gapTarget * firstEventPasses);
    question.run = own.run.mean();
    question.waited = request.waited(now);
    question.timeLeft = request.timeLeft(now);
    question.patience = callerPatience(request.route.latencyTarget, request.route.gapTarget);
    question.firstTime = request.isFirstTime() && !again;
    admission_request asked { request.workspace, resumedStreamPriority, now };
    failure refused = notRun(failure_reason::queue_full, "no turn came in time");
    for (const auto& stage : planAdmission(question)) {
        asked.priority = stage.priority;
        asked.deadline += stage.longest;
        auto place = co_await enter(own.gate, asked, exchange);
        if (place || exchange.callerGone())
            co_return place;
        refused = place.error();
    }
    if (refused.reason == failure_reason::queue_full && !begun)
        refused.retryAfter = backlogRetryDelay(request.timeLeft(m_context.now()), std::uniform_real_distribution<double>(0, 1)(m_context.random()));
    co_return refused;
}

void place_giver::setSlots(const admitted_request& request, desk& own) const
{
    const instant now = m_context.now();
    const milliseconds gap = passTimeLimit(request.route.gapTarget);
    const pool_load_input question { request.service, request.costs, gap, own.run.mean(), now };
    const pool_load load = poolLoad(question, m_state.backends(), m_loads, m_groups, m_backpressure);
    own.busyFraction = load.capacity > 0 ? static_cast<double>(load.requests) / load.capacity : 1;
    own.gate.setSlots(admissionShare({ load.targetRunning, load.requests, own.gate.queue().running(), m_entries, m_groups.openFor(request.service, now) }));
}

awaitable<result<admission_place>> place_giver::enter(admission_gate& gate, admission_request asked, http_exchange& exchange)
{
    const auto entered = co_await gate.enter(asked, exchange);
    if (!entered)
        co_return entered.error();
    co_return admission_place(gate, entered.value());
}

void place_giver::noteFirstEvent(const std::string& service, milliseconds taken)
{
    deskOf(service).firstEvent.observe(taken);
}

void place_giver::noteEnd(const std::string& service, milliseconds taken)
{
    deskOf(service).run.observe(taken);
}

milliseconds place_giver::typicalRunTime(const std::string& service)
{
    return deskOf(service).run.mean();
}

place_giver::desk& place_giver::deskOf(const std::string& service)
{
    return m_desks.try_emplace(service, m_context).first->second;
}

} // namespace rampgap
