#include "gateway/peers/limit_exchange.h"

#include "gateway/peers/peer_wire.h"

namespace rampgap {

namespace {

    // A limit takes up to 16 bytes; a packet holds 1,472, the rest of the datagram included.
    constexpr std::size_t limitsPerDatagram = 64;
    // A process that has just started knows only itself and would take itself for every server's
    // arbiter.
    constexpr milliseconds joinTime { 1'000 };
    // A process that asked the wrong VM, since it does not know the fleet yet, may ask again after
    // this.
    constexpr milliseconds wrongArbiterPause { 250 };

    void addLimits(gateway::peer_datagram& datagram, const reported_limits& limits, instant now)
    {
        for (const auto& [server, limit] : limits) {
            if (datagram.limits_size() >= static_cast<int>(limitsPerDatagram))
                return;
            auto* added = datagram.add_limits();
            added->set_backend_hash(server);
            if (limit.perSecond)
                added->set_per_second(static_cast<float>(*limit.perSecond));
            added->set_age_ms(wholeMilliseconds(now - limit.reportedAt));
        }
    }

    // Each query and answer carries the limit of the server that this process knows.
    void addLimit(gateway::peer_datagram& datagram, const server_limits& limits, server_hash server, instant now)
    {
        if (const auto limit = limits.reportOf(server, now))
            addLimits(datagram, { { server, *limit } }, now);
    }

    std::string arbiterKey(server_hash server)
    {
        return "limit " + std::to_string(server);
    }

    void addAnswer(gateway::peer_datagram& datagram, const grant_answer& answer)
    {
        auto* granted = datagram.add_grant_answers();
        granted->set_backend_hash(answer.server);
        granted->set_granted(static_cast<std::uint32_t>(answer.granted));
        granted->set_ask_again_ms(wholeMilliseconds(answer.askAgain));
    }

} // namespace

limit_exchange::limit_exchange(process_context& context, decision_log& log, server_limits& limits, const peer_table& peers, datagram_sender& sender)
    : m_context(context)
    , m_log(log)
    , m_limits(limits)
    , m_peers(peers)
    , m_sender(sender)
{
}

void limit_exchange::addUpdates(gateway::peer_datagram& datagram) const
{
    addLimits(datagram, m_limits.recentChanges(m_context.now()), m_context.now());
}

void limit_exchange::addKnownLimits(gateway::peer_datagram& datagram) const
{
    addLimits(datagram, m_limits.currentLimits(limitsPerDatagram, m_context.now()), m_context.now());
}

void limit_exchange::sendGrantQueries()
{
    const instant now = m_context.now();
    std::map<std::string, gateway::peer_datagram> byArbiter;
    for (const auto& query : m_limits.takeQuestions()) {
        const std::string arbiter = m_peers.responsibleEntry(arbiterKey(query.server));
        if (arbiter == m_peers.self().host) {
            m_limits.recordGranted(makeGrantAnswer(query, arbiter), now);
            continue;
        }
        auto& datagram = byArbiter.try_emplace(arbiter, m_sender.makeDatagram()).first->second;
        auto* asked = datagram.add_grant_questions();
        asked->set_backend_hash(query.server);
        asked->set_wanted(static_cast<std::uint32_t>(query.wanted));
        asked->set_priority(static_cast<std::uint32_t>(query.priority));
        addLimit(datagram, m_limits, query.server, now);
    }
    for (const auto& [host, datagram] : byArbiter)
        m_sender.send(host, datagram);
}

void limit_exchange::receive(const gateway::peer_datagram& datagram, const std::string& host)
{
    mergeLimits(datagram, host);
    for (const auto& answer : datagram.grant_answers())
        m_limits.recordGranted({ answer.backend_hash(), static_cast<int>(answer.granted()), milliseconds(answer.ask_again_ms()) }, m_context.now());
    if (!datagram.grant_questions().empty())
        m_sender.send(host, makeGrantAnswers(datagram, host));
}

void limit_exchange::mergeLimits(const gateway::peer_datagram& datagram, const std::string& host)
{
    const instant now = m_context.now();
    for (const auto& wire : datagram.limits()) {
        const server_hash server = wire.backend_hash();
        const auto before = m_limits.limitOf(server, now);
        const auto perSecond = wire.has_per_second() ? std::optional<double>(wire.per_second()) : std::nullopt;
        m_limits.mergeReport(server, { perSecond, now - milliseconds(wire.age_ms()) }, now);
        const auto after = m_limits.limitOf(server, now);
        if (before.has_value() != after.has_value())
            m_log.line("server_limit").add("backend_hash", server).add("limit_per_s", after.value_or(-1)).add("source", "peer " + host).add("age_ms", wire.age_ms());
    }
}

gateway::peer_datagram limit_exchange::makeGrantAnswers(const gateway::peer_datagram& asked, const std::string& host)
{
    auto reply = m_sender.makeDatagram();
    for (const auto& wire : asked.grant_questions()) {
        const grant_question query { wire.backend_hash(), static_cast<int>(wire.wanted()), static_cast<int>(wire.priority()) };
        addAnswer(reply, makeGrantAnswer(query, host));
        addLimit(reply, m_limits, query.server, m_context.now());
    }
    return reply;
}

grant_answer limit_exchange::makeGrantAnswer(const grant_question& query, const std::string& host)
{
    const instant now = m_context.now();
    m_arbiter.recordFleetSize(m_peers.count(peer_role::entry) + 1, now);
    if (!isArbiter(query.server))
        return { query.server, 0, wrongArbiterPause };
    const auto limit = m_limits.limitOf(query.server, now);
    // The limit has ended, as the limit sent along with the answer says.
    if (!limit)
        return { query.server, 0, milliseconds(0) };
    return m_arbiter.answer(host, query, *limit, now);
}

bool limit_exchange::isArbiter(server_hash server) const
{
    return m_context.now() - m_context.startedAt() >= joinTime && m_peers.isResponsibleEntry(arbiterKey(server));
}

} // namespace rampgap
