#include "policy/requests/execution_guard.h"

namespace rampgap {

namespace {

    // A grant lasts for this fraction (1/n) of the ids' lifetime, so that it ends before its owner, restarted
    // without memory, may run ids again.
    constexpr int grantLifetimeDivisor = 2;

} // namespace

execution_guard::execution_guard(std::string self, std::uint64_t incarnation, instant startedAt, ledger_limits limits)
    : m_ownership(std::move(self), incarnation, startedAt)
    , m_ledger(limits)
{
}

void execution_guard::apply(const declaration& current, instant now)
{
    m_ownership.apply(current, now);
    m_idLife = current.rules().idLife;
    m_ledger.setIdLife(m_idLife);
}

result<std::optional<stored_answer>> execution_guard::claim(const request_id& id, std::uint64_t bodyDigest, instant now)
{
    const auto owned = m_ownership.check(id, now);
    // An id that has run here is answered even if no new id may run here.
    if (!owned && !m_ledger.knows(id, now))
        return owned.error();
    return m_ledger.claim(id, bodyDigest, now);
}

handover_answer execution_guard::answerHandover(const agent_status& asker, bool takeBack, instant now)
{
    m_ownership.mergePeerState(asker, now);
    handover_answer answer;
    if (takeBack)
        answer.grantRevision = m_ownership.withdrawGrant(asker.name, now);
    answer.vouches = m_ownership.remembersAllRuns(now);
    answer.sender = m_ownership.status();
    answer.ids = m_ledger.liveIds(now);
    return answer;
}

bool execution_guard::acceptHandover(const handover_answer& answer, instant now)
{
    m_ownership.mergePeerState(answer.sender, now);
    if (!answer.vouches)
        return false;
    m_ledger.inherit(answer.ids, now);
    m_ownership.recordHandover(answer.sender.name, answer.sender.revision);
    return true;
}

bool execution_guard::restoreMemory(const handover_answer& answer, instant now)
{
    m_ownership.mergePeerState(answer.sender, now);
    if (!answer.grantRevision)
        return false;
    m_ledger.inherit(answer.ids, now);
    m_ownership.recordMemoryRestored(*answer.grantRevision);
    return true;
}

std::optional<id_deposit> execution_guard::handOff(instant now)
{
    const bool complete = m_ownership.mayReleaseOwnership(now);
    m_ownership.releaseOwnership();
    if (!complete)
        return std::nullopt;
    return id_deposit { m_ownership.status(), m_idLife / grantLifetimeDivisor, m_ledger.liveIds(now) };
}

bool execution_guard::acceptDeposit(const id_deposit& deposit, instant now)
{
    m_ownership.mergePeerState(deposit.owner, now);
    if (!m_ownership.remembersAllRuns(now) || !m_ownership.acceptGrant(deposit.owner.name, deposit.owner.revision, now + deposit.grantLifetime))
        return false;
    m_ledger.inherit(deposit.ids, now);
    return true;
}

} // namespace rampgap
