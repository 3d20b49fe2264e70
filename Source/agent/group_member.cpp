#include "agent/group_member.h"

#include "daemon/boot_timer.h"
#include "daemon/log.h"
#include "daemon/scope_exit.h"
#include "daemon/task.h"
#include "peer.pb.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    constexpr milliseconds turn { 20 };
    constexpr milliseconds messageTimeout { 500 };
    constexpr milliseconds orderPause { 1 };
    // How far ahead of the highest known step a switch is planned.
    constexpr step_number stepsAhead = 40;
    // An outranked coordinator that is still declared comes back after this many turns.
    constexpr std::uint64_t comeBackAfter = 50;
    constexpr double levelWeight = 0.8;
    constexpr double trendDamping = 0.8;
    constexpr std::size_t stragglerPatience = 3;

    // The wire keeps the kinds of the state machines under their numbers.
    map_message fromWire(const wire::GroupMessage& message)
    {
        map_message made;
        made.kind = static_cast<map_message_kind>(message.kind());
        made.fence = { message.fence(), message.fence_owner() };
        made.incarnation = message.incarnation();
        made.map = message.map();
        made.step = message.step();
        made.state = { message.state_step(), message.committed_map(), message.committed_step(), message.staged_map(), message.staged_step() };
        return made;
    }

    std::vector<std::uint32_t> slotsOf(const expert_placement& placement)
    {
        return { placement.slots().begin(), placement.slots().end() };
    }

} // namespace

group_member::coordination::coordination(const group_declaration& group, std::string owner)
    : coordinator(std::move(owner), group.ranks.size())
    , popularity(static_cast<std::size_t>(group.experts), levelWeight, trendDamping)
    , stragglers(group.ranks.size(), stragglerPatience)
    , placement(group.ranks.size(), static_cast<std::size_t>(group.slotsPerRank), static_cast<std::size_t>(group.experts))
    , proposed(placement)
    , policy(std::move(rebalancer::make("few_moves", rebalance_settings::make(group.skewWeight, group.costWeight)).value()))
{
}

group_member::group_member(process_context& context, http_client& client, peer_client& peers, const configuration_node& configuration, std::string engine, milliseconds rebalanceInterval)
    : m_context(context)
    , m_peers(peers)
    , m_configuration(configuration)
    , m_engine(rank_engine::makeHttp(client, std::move(engine)))
    , m_rebalanceInterval(rebalanceInterval)
{
}

void group_member::start()
{
    startLoop(m_context, "coordinate", [this] { return coordinate(); });
}

void group_member::apply(const declaration& current)
{
    std::optional<group_declaration> own;
    for (const auto& group : current.groups()) {
        if (std::find(group.ranks.begin(), group.ranks.end(), m_context.name()) != group.ranks.end())
            own = group;
    }
    if (own == m_group)
        return;
    m_group = own;
    m_coordination.reset();
    if (!m_group || m_group->ranks.front() != m_context.name())
        return;
    const std::string owner = m_context.name() + "/" + std::to_string(m_context.incarnation()) + "/" + std::to_string(++m_coordinations);
    m_coordination = std::make_unique<coordination>(*m_group, owner);
    m_coordination->coordinator.claim();
}

std::string group_member::peerOf(std::size_t rank) const
{
    const auto current = m_configuration.chain().inForce();
    const backend_declaration* backend = current ? current->findBackend(m_group->ranks[rank]) : nullptr;
    return backend ? backend->peerAddress : std::string();
}

wire::GroupMessage group_member::toWire(const map_message& message) const
{
    wire::GroupMessage made;
    m_configuration.fillSender(made);
    made.set_group(m_group ? m_group->name : "");
    made.set_kind(static_cast<std::uint32_t>(message.kind));
    made.set_fence(message.fence.number);
    made.set_fence_owner(message.fence.owner);
    made.set_incarnation(message.incarnation);
    made.set_map(message.map);
    made.set_step(message.step);
    made.set_state_step(message.state.step);
    made.set_committed_map(message.state.committedMap);
    made.set_committed_step(message.state.committedStep);
    made.set_staged_map(message.state.stagedMap);
    made.set_staged_step(message.state.stagedStep);
    return made;
}

// One message after the other, as the state machine takes them: another one in the midst
// of an order to the engine would see a state that is about to change.
awaitable<wire::GroupMessage> group_member::answer(wire::GroupMessage message)
{
    boot_timer timer(m_context.io());
    while (m_answering) {
        timer.expires_after(orderPause);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    m_answering = true;
    const scope_exit ended(m_context, [this] { m_answering = false; });
    auto reply = co_await answerInTurn(std::move(message));
    co_return reply;
}

awaitable<wire::GroupMessage> group_member::answerInTurn(wire::GroupMessage message)
{
    m_context.timeline().observe(message.sender().clock());
    const map_message order = fromWire(message);
    map_message refused;
    refused.kind = map_message_kind::refused;
    refused.map = order.map;
    const auto current = co_await m_engine->report();
    if (!current || !m_group || message.group() != m_group->name)
        co_return toWire(refused);
    if (!m_participant)
        m_participant.emplace(m_context.incarnation(), current.value().state);
    auto made = m_participant->handle(order, current.value().state);
    if (made.order.kind == engine_order_kind::none)
        co_return toWire(made.answer);
    // Only what the engine's own report confirms is answered as done.
    const auto confirmed = co_await m_engine->carryOut(made.order, { message.placement().begin(), message.placement().end() }, order.fence.number);
    if (!confirmed)
        co_return toWire(refused);
    made.answer.state = confirmed.value().state;
    m_context.recordEvent(event_kind::map_switch, "", "order=" + std::to_string(static_cast<int>(made.order.kind)) + " map=" + std::to_string(made.order.map) + " step=" + std::to_string(made.order.step));
    co_return toWire(made.answer);
}

awaitable<void> group_member::coordinate()
{
    boot_timer timer(m_context.io());
    for (;;) {
        timer.expires_after(turn);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!m_coordination || m_configuration.chain().revision() == 0)
            continue;
        co_await exchangePending();
        if (!m_coordination)
            continue;
        auto& coordinator = m_coordination->coordinator;
        if (coordinator.phase() == coordinator_phase::outranked) {
            if (++m_outrankedTurns % comeBackAfter == 0)
                coordinator.claim();
            continue;
        }
        const bool due = m_rebalanceInterval.count() > 0 && m_context.now() >= m_coordination->nextDecision;
        if (coordinator.phase() == coordinator_phase::idle && due)
            co_await decide();
    }
}

// Sends what is unanswered to all ranks at once and waits for the answers.
awaitable<void> group_member::exchangePending()
{
    const auto messages = m_coordination->coordinator.pending();
    if (messages.empty())
        co_return;
    auto open = std::make_shared<std::size_t>(messages.size());
    boot_timer done(m_context.io(), instant::max());
    for (const auto& message : messages) {
        startTask(m_context, "group_message", sendCounted(message, open, done));
    }
    // A call to a peer that is cut off fails at once: all may have ended by now.
    while (*open > 0)
        co_await done.async_wait(asio::as_tuple(asio::use_awaitable));
}

awaitable<void> group_member::sendCounted(rank_message outgoing, std::shared_ptr<std::size_t> open, boot_timer& done)
{
    const scope_exit ended(m_context, [&open, &done] {
        if (--*open == 0)
            done.cancel();
    });
    co_await sendTo(std::move(outgoing));
}

awaitable<void> group_member::sendTo(rank_message outgoing)
{
    wire::GroupMessage message = toWire(outgoing.message);
    if (outgoing.message.kind == map_message_kind::prepare) {
        for (const std::uint32_t expert : slotsOf(m_coordination->proposed))
            message.add_placement(expert);
    }
    const std::string address = peerOf(outgoing.rank);
    if (address.empty())
        co_return;
    const std::uint64_t coordination = m_coordinations;
    auto reply = co_await m_peers.group(address, std::move(message), messageTimeout);
    // This reply must not reach a later coordination, which may be of another group and did not send the message.
    if (!reply || !m_coordination || m_coordinations != coordination)
        co_return;
    const auto before = m_coordination->coordinator.phase();
    m_coordination->coordinator.handleAnswer(outgoing.rank, fromWire(reply.value()));
    noteOutcome(before);
}

void group_member::noteOutcome(coordinator_phase before)
{
    auto& own = *m_coordination;
    if (before != coordinator_phase::committing || own.coordinator.phase() != coordinator_phase::idle)
        return;
    own.placement = own.proposed;
    m_context.counters().add(metric::map_switches);
    logStateChange("map_committed", "group=" + m_group->name + " map=" + std::to_string(own.coordinator.map()));
}

awaitable<bool> group_member::readReports()
{
    const auto report = co_await m_engine->report();
    if (!report || !m_coordination || !report.value().capabilities.gatesAtStep)
        co_return false;
    if (report.value().expertCounts.size() != static_cast<std::size_t>(m_group->experts))
        co_return false;
    m_coordination->popularity.observe(report.value().expertCounts);
    m_coordination->coordinator.recordStep(report.value().state.step);
    co_return true;
}

awaitable<void> group_member::decide()
{
    m_coordination->nextDecision = m_context.now() + m_rebalanceInterval;
    const bool read = co_await readReports();
    if (!read || !m_coordination)
        co_return;
    auto& own = *m_coordination;
    const auto popularity = own.popularity.predicted();
    const auto speeds = own.stragglers.speeds();
    own.skew = stepSkew(rankTimes(own.placement, popularity, speeds));
    own.proposed = own.policy->decide(own.placement, popularity, speeds);
    own.weightsMoved = rampgap::weightsMoved(own.placement, own.proposed);
    if (own.weightsMoved == 0)
        co_return;
    logStateChange("map_proposed", "group=" + m_group->name + " weights=" + std::to_string(own.weightsMoved));
    own.coordinator.propose(own.coordinator.highestStep() + stepsAhead);
}

std::string group_member::describe() const
{
    if (!m_group)
        return {};
    boost::json::object page { { "group", m_group->name }, { "ranks", m_group->ranks.size() }, { "coordinator", m_coordination != nullptr } };
    if (m_coordination) {
        page["map"] = m_coordination->coordinator.map();
        page["switches"] = m_coordination->coordinator.commits();
        page["predicted_skew"] = m_coordination->skew;
    }
    return boost::json::serialize(page);
}

} // namespace rampgap
