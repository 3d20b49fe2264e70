#include "agent/home_keeper.h"

#include "daemon/log.h"
#include "daemon/task.h"
#include "peer.pb.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    constexpr milliseconds askInterval { 100 };
    constexpr milliseconds askTimeout { 1'000 };
    constexpr int mostMemoryTurns = 20;

} // namespace

home_keeper::home_keeper(process_context& context, peer_client& peers, const configuration_node& configuration, execution_guard& guard)
    : m_context(context)
    , m_peers(peers)
    , m_configuration(configuration)
    , m_guard(guard)
    , m_timer(context.io())
{
}

void home_keeper::start()
{
    startLoop(m_context, "keep_ids", [this] { return loop(); });
}

void home_keeper::poke()
{
    m_timer.cancel();
}

awaitable<void> home_keeper::loop()
{
    for (;;) {
        if (!m_guard.ownership().allConfirmed()) {
            for (const auto& name : m_guard.ownership().unconfirmedAgents())
                co_await askForProof(name);
        }
        for (const auto& name : m_guard.ownership().pendingHandovers())
            co_await askForHandover(name);
        // Last, so that the keeper answers for the ids until this agent can.
        if (m_guard.ownership().revisionConfirmed() && !m_memorySought)
            co_await restoreMemory();
        m_timer.expires_after(askInterval);
        co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

std::string home_keeper::peerAddress(const std::string& name) const
{
    const auto current = m_configuration.chain().inForce();
    const backend_declaration* backend = current ? current->findBackend(name) : nullptr;
    return backend ? backend->peerAddress : std::string();
}

wire::HandoverRequest home_keeper::makeRequest(bool takeBack, bool wantIds) const
{
    wire::HandoverRequest request;
    m_configuration.fillSender(request);
    request.set_take_back(takeBack);
    request.set_want_ids(wantIds);
    return request;
}

agent_status home_keeper::standingOf(const wire::Standing& sender)
{
    m_context.timeline().observe(sender.clock());
    return { sender.name(), sender.incarnation(), sender.revision() };
}

handover_answer home_keeper::answerOf(const wire::HandoverReply& reply)
{
    handover_answer answer;
    answer.sender = standingOf(reply.sender());
    answer.vouches = reply.vouches();
    if (reply.gave_back())
        answer.grantRevision = reply.grant_revision();
    answer.ids.assign(reply.ids().begin(), reply.ids().end());
    return answer;
}

awaitable<void> home_keeper::askForProof(std::string name)
{
    const std::string address = peerAddress(name);
    if (address.empty())
        co_return;
    const auto reply = co_await m_peers.handover(address, makeRequest(false, false), askTimeout);
    if (reply && reply.value().sender().name() == name)
        m_guard.ownership().mergePeerState(standingOf(reply.value().sender()), m_context.now());
}

awaitable<void> home_keeper::askForHandover(std::string name)
{
    const std::string address = peerAddress(name);
    if (address.empty())
        co_return;
    const auto reply = co_await m_peers.handover(address, makeRequest(false, true), askTimeout);
    if (!reply || reply.value().sender().name() != name)
        co_return;
    if (m_guard.acceptHandover(answerOf(reply.value()), m_context.now()))
        logStateChange("handover", "from=" + name + " ids=" + std::to_string(reply.value().ids_size()));
}

// A keeper that does not answer may hold the memory: it is asked again for a while.
awaitable<void> home_keeper::restoreMemory()
{
    const bool settled = co_await askKeepers();
    m_memorySought = settled || ++m_memoryTurns >= mostMemoryTurns;
    if (m_memorySought)
        m_guard.ownership().recordMemoryUnavailable();
}

awaitable<bool> home_keeper::askKeepers()
{
    bool allAnswered = true;
    for (const auto& name : m_guard.ownership().standbys()) {
        const auto reply = co_await m_peers.handover(peerAddress(name), makeRequest(true, true), askTimeout);
        if (!reply) {
            allAnswered = false;
            continue;
        }
        if (!m_guard.restoreMemory(answerOf(reply.value()), m_context.now()))
            continue;
        logStateChange("memory_back", "from=" + name + " ids=" + std::to_string(reply.value().ids_size()));
        co_return true;
    }
    co_return allAnswered;
}

// The ids are offered to one keeper after the other; one that may have taken them is the
// last that is asked, so that no two agents hold the same grant.
awaitable<void> home_keeper::giveAway()
{
    const auto deposit = m_guard.handOff(m_context.now());
    if (!deposit)
        co_return;
    wire::DepositRequest request;
    m_configuration.fillSender(request);
    request.mutable_sender()->set_revision(deposit->owner.revision);
    request.set_grant_ms(static_cast<std::uint64_t>(deposit->grantLifetime.count()));
    for (const std::uint64_t hash : deposit->ids)
        request.add_ids(hash);
    for (const auto& name : m_guard.ownership().standbys()) {
        const auto reply = co_await m_peers.deposit(peerAddress(name), request, askTimeout);
        if (reply && reply.value().accepted()) {
            logStateChange("ids_given_away", "to=" + name + " ids=" + std::to_string(request.ids_size()));
            co_return;
        }
        if (!reply && reply.error().ran != verdict::not_run)
            co_return;
    }
}

wire::HandoverReply home_keeper::answer(const wire::HandoverRequest& request)
{
    const auto made = m_guard.answerHandover(standingOf(request.sender()), request.take_back(), m_context.now());
    wire::HandoverReply reply;
    m_configuration.fillSender(reply);
    reply.set_vouches(made.vouches);
    reply.set_gave_back(made.grantRevision.has_value());
    reply.set_grant_revision(made.grantRevision.value_or(0));
    if (!request.want_ids())
        return reply;
    for (const std::uint64_t hash : made.ids)
        reply.add_ids(hash);
    return reply;
}

wire::DepositReply home_keeper::answer(const wire::DepositRequest& request)
{
    id_deposit deposit;
    deposit.owner = standingOf(request.sender());
    deposit.grantLifetime = milliseconds(request.grant_ms());
    deposit.ids.assign(request.ids().begin(), request.ids().end());
    wire::DepositReply reply;
    reply.set_accepted(m_guard.acceptDeposit(deposit, m_context.now()));
    if (reply.accepted())
        logStateChange("grant_accepted", "owner=" + deposit.owner.name + " ids=" + std::to_string(deposit.ids.size()));
    m_configuration.fillSender(reply);
    return reply;
}

} // namespace rampgap
