#include "gateway/groups/rank_link.h"

#include "daemon/boot_timer.h"
#include "daemon/scope_exit.h"
#include "daemon/sleep.h"
#include "daemon/task.h"
#include "gateway/groups/expert_count_codec.h"
#include "gateway/groups/rank_wire.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    // Far above a round trip between zones (3 ms), but short enough not to wait for a stalled agent.
    constexpr milliseconds agentConnectTimeout { 100 };
    // Time that each agent reserves for returning its answer: two scheduling turns of a process that
    // has 0.15 of a core.
    constexpr milliseconds hopMargin { 30 };
    // With less time left, agents are no longer called.
    constexpr milliseconds minBudget { 15 };
    // Budget for polling one rank through its agent.
    constexpr milliseconds singlePollBudget { 250 };
    constexpr milliseconds preparedPoll { 15 };
    // How long a call waits for engines whose agents are silent, within its budget. The machine of such an agent often stands
    // still with its engine: waiting longer would delay the leader's polls, by which entry VMs choose
    // ranks, and each round of a change.
    constexpr milliseconds silentEngineWait { 150 };
    // The one in use, the one being prepared, and those of failed changes in between.
    constexpr std::size_t placementsKept = 4;
    // Orders that are older than this belong to no change in progress.
    constexpr milliseconds answeredOrderLifetime { 10'000 };

    map_order orderFor(const group_query& query, const call_target& target)
    {
        map_order order = *query.order;
        if (target.placement != 0)
            order.placement = target.placement;
        return order;
    }

    bool isSameOrder(const map_order& a, const map_order& b)
    {
        return a.kind == b.kind && a.placement == b.placement && a.step == b.step && a.epoch == b.epoch && a.fence == b.fence;
    }

    bool isDone(order_reply reply)
    {
        return reply == order_reply::accepted || reply == order_reply::already;
    }

    std::string_view nameOf(order_path path)
    {
        switch (path) {
        case order_path::own_agent:
            return "own_agent";
        case order_path::past_agent:
            return "past_agent";
        case order_path::leader:
            break;
        }
        return "leader";
    }

    bool isKnown(const gateway::rank_order& order)
    {
        return order.kind() <= static_cast<std::uint32_t>(map_order_kind::release);
    }

    bool isKnown(const gateway::rank_answer& answer)
    {
        return answer.reply() <= static_cast<std::uint32_t>(order_reply::unanswered);
    }

} // namespace

// Collects the answers to one call and wakes the caller after the last one.
struct rank_link::pending_group_call {
    explicit pending_group_call(asio::io_context& io)
        : done(io, boot_timer::time_point::max())
    {
    }

    void end()
    {
        --open;
        if (open <= openDirect)
            done.cancel();
    }

    void endDirect()
    {
        --openDirect;
        end();
    }

    group_outcome outcome;
    // Encoded once for all parts; empty without an order.
    std::optional<gateway::rank_order> wireOrder;
    std::size_t open = 0;
    // Those of them that wait for the engine of a silent agent.
    std::size_t openDirect = 0;
    boot_timer done;
};

rank_link::rank_link(process_context& context, decision_log& log, rank_port& port, unsigned short agentPort, std::string ownEngine)
    : m_context(context)
    , m_log(log)
    , m_port(port)
    , m_agentPort(agentPort)
    , m_ownEngine(std::move(ownEngine))
    , m_client(context, agentConnectTimeout)
{
}

awaitable<group_outcome> rank_link::call(group_query query, std::vector<call_target> targets, milliseconds budget)
{
    const instant began = m_context.now();
    const instant until = began + budget;
    const instant directUntil = began + std::min(silentEngineWait, budget);
    auto pending = std::make_shared<pending_group_call>(m_context.io());
    if (query.order)
        pending->wireOrder = toWire(*query.order);
    const auto own = std::find_if(targets.begin(), targets.end(), [this](const call_target& target) { return target.address == m_ownEngine; });
    if (own != targets.end()) {
        const call_target ownTarget = *own;
        targets.erase(own);
        ++pending->open;
        startTask(m_context, "call_own_engine", callOwnEngine(pending, query, ownTarget, until));
    }
    for (auto& part : splitCall(targets)) {
        ++pending->open;
        startTask(m_context, "call_agents", callPart(pending, query, std::move(part), until));
    }
    while (pending->open > 0) {
        const bool onlyDirect = pending->open == pending->openDirect;
        if (onlyDirect && m_context.now() >= directUntil)
            break;
        pending->done.expires_at(onlyDirect ? directUntil : boot_timer::time_point::max());
        co_await pending->done.async_wait(asTuple);
    }
    // Engines that answer after this change a state that nobody reads any more.
    group_outcome outcome = std::move(pending->outcome);
    co_return outcome;
}

awaitable<void> rank_link::callOwnEngine(std::shared_ptr<pending_group_call> pending, group_query query, call_target target, instant until)
{
    const scope_exit ended(m_context, [&pending] { pending->end(); });
    rank_outcome outcome;
    outcome.index = target.index;
    outcome.reached = true;
    std::optional<map_order> order;
    if (query.order) {
        order = orderFor(query, target);
        order_answer answer = co_await orderOwnEngine(*order, target.backendId, until);
        outcome.reply = answer.reply;
        outcome.after = std::move(answer.after);
    }
    if (query.wantsExpertCounts) {
        auto counts = co_await m_port.counts(m_ownEngine);
        if (counts)
            addExpertCounts(pending->outcome.expertCounts, m_expertCounts.countSinceLast(std::move(counts.value().counts), counts.value().incarnation));
    }
    if (!outcome.after)
        outcome.after = co_await readOwnState();
    if (outcome.after && m_onOwnState)
        m_onOwnState(*outcome.after);
    if (order)
        logOrder(*order, target.backendId, outcome, order_path::own_agent);
    pending->outcome.ranks.push_back(std::move(outcome));
}

awaitable<std::optional<rank_view>> rank_link::readOwnState()
{
    const auto state = co_await m_port.state(m_ownEngine);
    if (state)
        co_return state.value();
    m_log.line("rank_state_unknown").add("address", m_ownEngine).add("reason", state.error().message);
    co_return std::nullopt;
}

awaitable<order_answer> rank_link::orderOwnEngine(map_order order, std::string backendId, instant until)
{
    m_highestFence = std::max(m_highestFence, order.fence);
    order_answer answer = co_await m_port.order(m_ownEngine, backendId, order);
    if (order.kind != map_order_kind::prepare)
        co_return answer;
    m_prepared[order.placement] = order.contents;
    while (m_prepared.size() > placementsKept)
        m_prepared.erase(m_prepared.begin());
    // An order to prepare without an answer may be executed seconds later. Sent again it starts
    // now, and the late one finds its placement number already used.
    while (answer.reply == order_reply::unanswered && m_context.now() + hopMargin < until)
        answer = co_await m_port.order(m_ownEngine, backendId, order);
    if (answer.reply != order_reply::fenced && answer.reply != order_reply::refused)
        co_await awaitPrepared(order.placement, until - hopMargin);
    // The state was read before the engine had copied the experts: the caller of this reads it again.
    answer.after.reset();
    co_return answer;
}

awaitable<void> rank_link::awaitPrepared(std::uint64_t placement, instant until)
{
    while (m_context.now() < until) {
        const auto state = co_await m_port.state(m_ownEngine);
        if (state && state.value().preparedPlacement >= placement)
            co_return;
        co_await sleepFor(m_context.io(), preparedPoll);
    }
}

awaitable<void> rank_link::callPart(std::shared_ptr<pending_group_call> pending, group_query query, std::vector<call_target> part, instant until)
{
    const scope_exit ended(m_context, [&pending] { pending->end(); });
    while (!part.empty()) {
        const call_target first = part.front();
        if (first.reachability == agent_reachability::unreachable) {
            ++pending->open;
            ++pending->openDirect;
            startTask(m_context, "call_engine", callEngineDirectly(pending, query, first));
            part.erase(part.begin());
            continue;
        }
        const bool answered = co_await forwardCall(pending, query, part, until);
        if (answered)
            break;
        pending->outcome.ranks.push_back({ first.index, false, order_reply::unanswered, std::nullopt });
        part.erase(part.begin());
        if (m_context.now() + minBudget >= until)
            break;
    }
}

awaitable<bool> rank_link::forwardCall(std::shared_ptr<pending_group_call> pending, group_query query, std::vector<call_target> part, instant until)
{
    const milliseconds left = std::chrono::duration_cast<milliseconds>(until - m_context.now());
    gateway::group_call wire;
    wire.set_leader(query.leader);
    wire.set_group(query.group);
    wire.set_wants_choices(query.wantsExpertCounts);
    wire.set_budget_ms(static_cast<std::uint32_t>(std::max(minBudget, left - hopMargin).count()));
    if (pending->wireOrder)
        *wire.mutable_order() = *pending->wireOrder;
    addTargets(wire, part);
    const std::string agent = agentAddress(part.front().address);
    http_request request { http::verb::post, groupCallPath, 11 };
    request.body() = wire.SerializeAsString();
    const auto response = co_await m_client.fetch(agent, std::move(request), std::max(minBudget, left));
    gateway::group_answer answer;
    const bool readable = response && response.value().result() == http::status::ok && answer.ParseFromString(response.value().body());
    const auto expertCounts = unpackExpertCounts(answer.choices());
    if (!readable || !expertCounts) {
        m_log.line("agent_unreachable").add("agent", agent).add("order", query.order ? toString(query.order->kind) : "none").add("passed_on", part.size() - 1).add("reason", response ? "unreadable answer" : response.error().message);
        co_return false;
    }
    addExpertCounts(pending->outcome.expertCounts, *expertCounts);
    for (const auto& rank : answer.ranks()) {
        rank_outcome outcome;
        outcome.index = rank.index();
        outcome.reached = rank.reached() && isKnown(rank);
        if (outcome.reached)
            outcome.reply = static_cast<order_reply>(rank.reply());
        if (rank.has_view())
            outcome.after = fromWire(rank.view());
        pending->outcome.ranks.push_back(std::move(outcome));
    }
    co_return true;
}

awaitable<void> rank_link::callEngineDirectly(std::shared_ptr<pending_group_call> pending, group_query query, call_target target)
{
    const scope_exit ended(m_context, [&pending] { pending->endDirect(); });
    rank_outcome outcome;
    outcome.index = target.index;
    if (query.order) {
        const map_order order = orderFor(query, target);
        order_answer answer = co_await orderEngineOnce(target, order);
        outcome.reply = answer.reply;
        outcome.after = std::move(answer.after);
        if (outcome.after)
            outcome.after->fresh = false;
        else
            outcome.after = co_await readEngineState(target.address);
        logOrder(order, target.backendId, outcome, order_path::past_agent);
    } else {
        outcome.after = co_await readEngineState(target.address);
    }
    outcome.reached = outcome.after.has_value() || outcome.reply != order_reply::unanswered;
    pending->outcome.ranks.push_back(std::move(outcome));
}

// An order whose effect a reading does not show yet is repeated in each round, and each order from another machine has its price.
awaitable<order_answer> rank_link::orderEngineOnce(const call_target& target, map_order order)
{
    const instant now = m_context.now();
    std::erase_if(m_answeredOrders, [now](const auto& entry) { return now - entry.second.at > answeredOrderLifetime; });
    const auto known = m_answeredOrders.find(target.address);
    if (known != m_answeredOrders.end() && isSameOrder(known->second.order, order))
        co_return order_answer { known->second.reply, std::nullopt };
    order_answer answer = co_await m_port.order(target.address, target.backendId, order);
    if (isDone(answer.reply)) {
        order.contents.reset();
        m_answeredOrders.insert_or_assign(target.address, answered_order { order, answer.reply, m_context.now() });
    }
    co_return answer;
}

awaitable<rank_outcome> rank_link::orderDirectly(group_query query, call_target target)
{
    rank_outcome outcome;
    outcome.index = target.index;
    const map_order order = orderFor(query, target);
    const order_answer answer = co_await m_port.order(target.address, target.backendId, order);
    outcome.reply = answer.reply;
    group_query poll = query;
    poll.order.reset();
    group_outcome seen;
    if (target.reachability != agent_reachability::unreachable) {
        std::vector<call_target> only { target };
        seen = co_await call(std::move(poll), std::move(only), singlePollBudget);
    }
    if (!seen.ranks.empty() && seen.ranks.front().after)
        outcome.after = seen.ranks.front().after;
    else
        outcome.after = co_await readEngineState(target.address);
    outcome.reached = outcome.after.has_value();
    logOrder(order, target.backendId, outcome, order_path::leader);
    co_return outcome;
}

// Shows with the answer the state that the leader decides on, and who read it: a state may be older than the answer.
void rank_link::logOrder(const map_order& order, const std::string& backendId, const rank_outcome& outcome, order_path path)
{
    auto line = m_log.line("rank_order");
    line.add("order", toString(order.kind)).add("backend", backendId).add("placement", order.placement).add("step", order.step).add("epoch", order.epoch).add("fence", order.fence).add("outcome", toString(outcome.reply)).add("path", nameOf(path));
    if (!outcome.after) {
        line.add("read_on", "none");
        return;
    }
    const rank_view& seen = *outcome.after;
    line.add("read_on", seen.fresh ? "own_machine" : "other_machine").add("in_use", seen.placementInUse).add("prepared", seen.preparedPlacement).add("armed", seen.armedPlacement).add("armed_step", seen.armedStep).add("held", seen.heldStep).add("begun", seen.step).add("orders", seen.orders).add("seen_epoch", seen.epoch);
}

std::string rank_link::agentAddress(const std::string& engineAddress) const
{
    return hostOf(engineAddress) + ":" + std::to_string(m_agentPort);
}

awaitable<std::optional<rank_view>> rank_link::readEngineState(std::string address)
{
    const auto state = co_await m_port.state(address);
    if (!state) {
        m_log.line("rank_state_unknown").add("address", address).add("reason", state.error().message);
        co_return std::nullopt;
    }
    rank_view seen = state.value();
    seen.fresh = false;
    co_return seen;
}

awaitable<std::optional<rank_experts>> rank_link::experts(std::string address)
{
    const auto found = co_await m_port.experts(address);
    if (!found) {
        m_log.line("rank_experts_unknown").add("address", address).add("reason", found.error().message);
        co_return std::nullopt;
    }
    co_return found.value();
}

std::shared_ptr<const group_placement> rank_link::prepared(std::uint64_t placement) const
{
    const auto found = m_prepared.find(placement);
    return found == m_prepared.end() ? nullptr : found->second;
}

awaitable<http_response> rank_link::serve(const http_request& request)
{
    gateway::group_call wire;
    if (!wire.ParseFromString(request.body()) || (wire.has_order() && !isKnown(wire.order())))
        co_return makeResponse(400, "text/plain", "the body is not a group call\n");
    group_query query;
    query.leader = wire.leader();
    query.group = wire.group();
    query.wantsExpertCounts = wire.wants_choices();
    if (wire.has_order())
        query.order = fromWire(wire.order());
    if (m_onCalled)
        m_onCalled(query.leader, query.group);
    auto outcome = co_await call(std::move(query), targetsOf(wire), milliseconds(wire.budget_ms()));
    gateway::group_answer answer;
    answer.set_choices(packExpertCounts(outcome.expertCounts));
    for (const auto& rank : outcome.ranks) {
        auto* added = answer.add_ranks();
        added->set_index(rank.index);
        added->set_reached(rank.reached);
        added->set_reply(static_cast<std::uint32_t>(rank.reply));
        if (rank.after)
            *added->mutable_view() = toWire(*rank.after);
    }
    co_return makeResponse(200, "application/x-protobuf", answer.SerializeAsString());
}

} // namespace rampgap
