#include "agent/home_keeper.h"

#include "daemon/log.h"
#include "peer.pb.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    constexpr milliseconds askInterval { 100 };
    constexpr milliseconds askTimeout { 1'000 };

} // namespace

home_keeper::home_keeper(process_context& context, peer_client& peers, const configuration_node& configuration, home_guard& guard, request_ledger& ledger)
    : m_context(context)
    , m_peers(peers)
    , m_configuration(configuration)
    , m_guard(guard)
    , m_ledger(ledger)
    , m_timer(context.io())
{
}

void home_keeper::start()
{
    asio::co_spawn(m_context.io(), loop(), asio::detached);
}

void home_keeper::poke()
{
    m_timer.cancel();
}

awaitable<void> home_keeper::loop()
{
    for (;;) {
        if (!m_guard.settled()) {
            for (const auto& name : m_guard.proofsMissing())
                co_await askForProof(name);
        }
        for (const auto& name : m_guard.handoversMissing())
            co_await askForHandover(name);
        // Last, so that the keeper answers for the ids until this agent can.
        if (m_guard.proven() && !std::exchange(m_askedForMemory, true))
            co_await takeMemoryBack();
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
    m_configuration.stamp(request);
    request.set_take_back(takeBack);
    request.set_want_ids(wantIds);
    return request;
}

void home_keeper::notePeer(const wire::Standing& sender)
{
    m_context.timeline().observe(sender.clock());
    m_guard.notePeer({ sender.name(), sender.incarnation(), sender.revision() });
}

awaitable<void> home_keeper::askForProof(std::string name)
{
    const std::string address = peerAddress(name);
    if (address.empty())
        co_return;
    const auto reply = co_await m_peers.handover(address, makeRequest(false, false), askTimeout);
    if (reply && reply.value().sender().name() == name)
        notePeer(reply.value().sender());
}

awaitable<void> home_keeper::askForHandover(std::string name)
{
    const std::string address = peerAddress(name);
    if (address.empty())
        co_return;
    const auto reply = co_await m_peers.handover(address, makeRequest(false, true), askTimeout);
    if (!reply || reply.value().sender().name() != name)
        co_return;
    notePeer(reply.value().sender());
    if (!reply.value().vouches())
        co_return;
    m_ledger.inherit({ reply.value().ids().begin(), reply.value().ids().end() }, m_context.now());
    m_guard.noteHandover(name, reply.value().sender().revision());
    logState("handover", "from=" + name + " ids=" + std::to_string(reply.value().ids_size()));
}

awaitable<void> home_keeper::takeMemoryBack()
{
    for (const auto& name : m_guard.keepers()) {
        const std::string address = peerAddress(name);
        const auto reply = co_await m_peers.handover(address, makeRequest(true, true), askTimeout);
        if (!reply || !reply.value().gave_back())
            continue;
        m_ledger.inherit({ reply.value().ids().begin(), reply.value().ids().end() }, m_context.now());
        m_guard.noteMemoryBack(reply.value().grant_revision());
        logState("memory_back", "from=" + name + " ids=" + std::to_string(reply.value().ids_size()));
        co_return;
    }
}

// The ids are offered to one keeper after the other; one that may have taken them is the
// last that is asked, so that no two agents hold the same grant.
awaitable<void> home_keeper::giveAway()
{
    const bool vouches = m_guard.vouches(m_context.now());
    m_guard.giveAway();
    const auto current = m_configuration.chain().inForce();
    if (!vouches || !current)
        co_return;
    wire::DepositRequest request;
    m_configuration.stamp(request);
    request.set_grant_ms(static_cast<std::uint64_t>(current->rules().idLife.count() / 2));
    for (const std::uint64_t hash : m_ledger.liveIds(m_context.now()))
        request.add_ids(hash);
    for (const auto& name : m_guard.keepers()) {
        const auto reply = co_await m_peers.deposit(peerAddress(name), request, askTimeout);
        if (reply && reply.value().accepted()) {
            logState("ids_given_away", "to=" + name + " ids=" + std::to_string(request.ids_size()));
            co_return;
        }
        if (!reply && reply.error().ran != verdict::not_run)
            co_return;
    }
}

wire::HandoverReply home_keeper::answer(const wire::HandoverRequest& request)
{
    notePeer(request.sender());
    wire::HandoverReply reply;
    if (request.take_back()) {
        if (const auto revision = m_guard.withdrawGrant(request.sender().name(), m_context.now())) {
            reply.set_gave_back(true);
            reply.set_grant_revision(*revision);
        }
    }
    reply.set_vouches(m_guard.vouches(m_context.now()));
    m_configuration.stamp(reply);
    if (!request.want_ids())
        return reply;
    for (const std::uint64_t hash : m_ledger.liveIds(m_context.now()))
        reply.add_ids(hash);
    return reply;
}

wire::DepositReply home_keeper::answer(const wire::DepositRequest& request)
{
    notePeer(request.sender());
    wire::DepositReply reply;
    const instant until = m_context.now() + milliseconds(request.grant_ms());
    if (m_guard.vouches(m_context.now()) && m_guard.acceptGrant(request.sender().name(), request.sender().revision(), until)) {
        m_ledger.inherit({ request.ids().begin(), request.ids().end() }, m_context.now());
        reply.set_accepted(true);
        logState("grant_accepted", "owner=" + request.sender().name() + " ids=" + std::to_string(request.ids_size()));
    }
    m_configuration.stamp(reply);
    return reply;
}

} // namespace rampgap
