#include "gateway/limit_exchange.h"

#include "gateway/peer_wire.h"

namespace rampgap {

namespace {

    // A word takes up to 16 bytes, and a packet holds 1,472 beside the rest of a datagram.
    constexpr std::size_t wordsPerDatagram = 64;
    // A process that starts knows only itself, and would be everyone's arbiter in its own eyes.
    constexpr milliseconds joinTime { 1'000 };
    // Who asked the wrong one, for want of news of the fleet, is to ask again after that.
    constexpr milliseconds wrongArbiterPause { 250 };

    void addWords(gateway::peer_datagram& datagram, const reported_limits& words, instant now)
    {
        for (const auto& [server, word] : words) {
            if (datagram.limits_size() >= static_cast<int>(wordsPerDatagram))
                return;
            auto* told = datagram.add_limits();
            told->set_backend_hash(server);
            if (word.perSecond)
                told->set_per_second(static_cast<float>(*word.perSecond));
            told->set_age_ms(wholeMilliseconds(now - word.reportedAt));
        }
    }

    // What this process knows of the server goes along with each question and answer.
    void addWord(gateway::peer_datagram& datagram, const server_limits& limits, server_hash server, instant now)
    {
        if (const auto word = limits.reportOf(server, now))
            addWords(datagram, { { server, *word } }, now);
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

void limit_exchange::addNews(gateway::peer_datagram& datagram) const
{
    addWords(datagram, m_limits.recentChanges(m_context.now()), m_context.now());
}

void limit_exchange::addKnown(gateway::peer_datagram& datagram) const
{
    addWords(datagram, m_limits.currentLimits(wordsPerDatagram, m_context.now()), m_context.now());
}

void limit_exchange::ask()
{
    const instant now = m_context.now();
    std::map<std::string, gateway::peer_datagram> byArbiter;
    for (const auto& question : m_limits.takeQuestions()) {
        const std::string arbiter = m_peers.responsibleEntry(arbiterKey(question.server));
        if (arbiter == m_peers.self().host) {
            m_limits.recordGranted(answerTo(question, arbiter), now);
            continue;
        }
        auto& datagram = byArbiter.try_emplace(arbiter, m_sender.makeDatagram()).first->second;
        auto* asked = datagram.add_grant_questions();
        asked->set_backend_hash(question.server);
        asked->set_wanted(static_cast<std::uint32_t>(question.wanted));
        asked->set_priority(static_cast<std::uint32_t>(question.priority));
        addWord(datagram, m_limits, question.server, now);
    }
    for (const auto& [host, datagram] : byArbiter)
        m_sender.send(host, datagram);
}

void limit_exchange::receive(const gateway::peer_datagram& datagram, const std::string& host)
{
    takeWords(datagram, host);
    for (const auto& told : datagram.grant_answers())
        m_limits.recordGranted({ told.backend_hash(), static_cast<int>(told.granted()), milliseconds(told.ask_again_ms()) }, m_context.now());
    if (!datagram.grant_questions().empty())
        m_sender.send(host, answersTo(datagram, host));
}

void limit_exchange::takeWords(const gateway::peer_datagram& datagram, const std::string& host)
{
    const instant now = m_context.now();
    for (const auto& told : datagram.limits()) {
        const server_hash server = told.backend_hash();
        const auto before = m_limits.limitOf(server, now);
        const auto perSecond = told.has_per_second() ? std::optional<double>(told.per_second()) : std::nullopt;
        m_limits.mergeReport(server, { perSecond, now - milliseconds(told.age_ms()) }, now);
        const auto after = m_limits.limitOf(server, now);
        if (before.has_value() != after.has_value())
            m_log.line("server_limit").add("backend_hash", server).add("limit_per_s", after.value_or(-1)).add("source", "peer " + host).add("age_ms", told.age_ms());
    }
}

gateway::peer_datagram limit_exchange::answersTo(const gateway::peer_datagram& asked, const std::string& host)
{
    auto reply = m_sender.makeDatagram();
    for (const auto& told : asked.grant_questions()) {
        const grant_question question { told.backend_hash(), static_cast<int>(told.wanted()), static_cast<int>(told.priority()) };
        addAnswer(reply, answerTo(question, host));
        addWord(reply, m_limits, question.server, m_context.now());
    }
    return reply;
}

grant_answer limit_exchange::answerTo(const grant_question& question, const std::string& host)
{
    const instant now = m_context.now();
    m_office.recordFleetSize(m_peers.count(peer_role::entry) + 1, now);
    if (!isArbiter(question.server))
        return { question.server, 0, wrongArbiterPause };
    const auto limit = m_limits.limitOf(question.server, now);
    // The limit has ended: the word that goes along says so.
    if (!limit)
        return { question.server, 0, milliseconds(0) };
    return m_office.answer(host, question, *limit, now);
}

bool limit_exchange::isArbiter(server_hash server) const
{
    return m_context.now() - m_context.startedAt() >= joinTime && m_peers.isResponsibleEntry(arbiterKey(server));
}

} // namespace rampgap
