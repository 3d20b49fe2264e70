#include "policy/execution_guard.h"

namespace rampgap {

namespace {

    // A grant ends before its owner, restarted without memory, may run ids again.
    constexpr int grantShareOfLife = 2;

} // namespace

execution_guard::execution_guard(std::string self, std::uint64_t incarnation, instant startedAt, ledger_limits limits)
    : m_homes(std::move(self), incarnation, startedAt)
    , m_ledger(limits)
{
}

void execution_guard::apply(const declaration& current, instant now)
{
    m_homes.apply(current, now);
    m_idLife = current.rules().idLife;
    m_ledger.setIdLife(m_idLife);
}

result<std::optional<stored_answer>> execution_guard::claim(const request_id& id, std::uint64_t bodyDigest, instant now)
{
    const auto home = m_homes.check(id, now);
    // What ran here is answered even when nothing new may run here.
    if (!home && !m_ledger.knows(id, now))
        return home.error();
    return m_ledger.claim(id, bodyDigest, now);
}

handover_answer execution_guard::answerHandover(const agent_standing& asker, bool takeBack, instant now)
{
    m_homes.notePeer(asker, now);
    handover_answer answer;
    if (takeBack)
        answer.grantRevision = m_homes.withdrawGrant(asker.name, now);
    answer.vouches = m_homes.vouches(now);
    answer.sender = m_homes.standing();
    answer.ids = m_ledger.liveIds(now);
    return answer;
}

bool execution_guard::takeHandover(const handover_answer& answer, instant now)
{
    m_homes.notePeer(answer.sender, now);
    if (!answer.vouches)
        return false;
    m_ledger.inherit(answer.ids, now);
    m_homes.noteHandover(answer.sender.name, answer.sender.revision);
    return true;
}

bool execution_guard::takeMemoryBack(const handover_answer& answer, instant now)
{
    m_homes.notePeer(answer.sender, now);
    if (!answer.grantRevision)
        return false;
    m_ledger.inherit(answer.ids, now);
    m_homes.noteMemoryBack(*answer.grantRevision);
    return true;
}

std::optional<id_deposit> execution_guard::giveAway(instant now)
{
    const bool complete = m_homes.mayGiveAway(now);
    m_homes.giveAway();
    if (!complete)
        return std::nullopt;
    return id_deposit { m_homes.standing(), m_idLife / grantShareOfLife, m_ledger.liveIds(now) };
}

bool execution_guard::takeDeposit(const id_deposit& deposit, instant now)
{
    m_homes.notePeer(deposit.owner, now);
    if (!m_homes.vouches(now) || !m_homes.acceptGrant(deposit.owner.name, deposit.owner.revision, now + deposit.grantLife))
        return false;
    m_ledger.inherit(deposit.ids, now);
    return true;
}

} // namespace rampgap
