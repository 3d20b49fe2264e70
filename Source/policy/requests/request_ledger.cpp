#include "policy/requests/request_ledger.h"

namespace rampgap {

namespace {

    constexpr milliseconds runningRetryAfter { 1'000 };
    constexpr milliseconds fullRetryAfter { 5'000 };

    failure alreadyRan(verdict ran, std::string message, std::optional<milliseconds> retryAfter = std::nullopt)
    {
        return { ran, failure_reason::duplicate, std::move(message), retryAfter };
    }

} // namespace

request_ledger::request_ledger(ledger_limits limits)
    : m_limits(limits)
{
}

result<std::optional<stored_answer>> request_ledger::claim(const request_id& id, std::uint64_t bodyDigest, instant now)
{
    expire(now);
    const std::uint64_t hash = id.hash();
    const auto found = m_records.find(hash);
    if (found != m_records.end()) {
        const record& existing = found->second;
        if (existing.state == phase::inherited)
            return alreadyRan(verdict::may_have_run, "another backend server may have run this id");
        if (existing.bodyDigest != bodyDigest)
            return notRun(failure_reason::key_reused, "this id was used with another body");
        if (existing.state == phase::running)
            return alreadyRan(verdict::may_have_run, "this id is running", runningRetryAfter);
        if (existing.answer)
            return existing.answer;
        return alreadyRan(verdict::ran, "this id has already run and its answer is no longer kept");
    }
    // A full ledger refuses new ids: if it dropped an id within its lifetime, that could run twice.
    if (m_records.size() >= m_limits.maxIds)
        return notRun(failure_reason::queue_full, "too many ids within their lifetime", fullRetryAfter);
    record& added = m_records[hash];
    added.bodyDigest = bodyDigest;
    touch(hash, added, now);
    return std::optional<stored_answer> {};
}

void request_ledger::release(const request_id& id)
{
    const auto found = m_records.find(id.hash());
    if (found != m_records.end() && found->second.state == phase::running)
        m_records.erase(found);
}

void request_ledger::finish(const request_id& id, stored_answer answer, instant now)
{
    const std::uint64_t hash = id.hash();
    const auto found = m_records.find(hash);
    if (found == m_records.end())
        return;
    found->second.state = phase::finished;
    m_answerBytes += answer.body.size();
    found->second.answer = std::move(answer);
    m_answers.push_back(hash);
    touch(hash, found->second, now);
    dropOldAnswers();
}

void request_ledger::finishWithoutAnswer(const request_id& id, instant now)
{
    const std::uint64_t hash = id.hash();
    const auto found = m_records.find(hash);
    if (found == m_records.end())
        return;
    found->second.state = phase::finished;
    touch(hash, found->second, now);
}

void request_ledger::inherit(const std::vector<std::uint64_t>& hashes, instant now)
{
    for (const std::uint64_t hash : hashes) {
        const auto [position, added] = m_records.try_emplace(hash);
        if (!added)
            continue;
        position->second.state = phase::inherited;
        touch(hash, position->second, now);
    }
}

std::vector<std::uint64_t> request_ledger::liveIds(instant now) const
{
    std::vector<std::uint64_t> hashes;
    for (const auto& [hash, existing] : m_records) {
        if (existing.state == phase::running || now - existing.touched < m_limits.idLife)
            hashes.push_back(hash);
    }
    return hashes;
}

bool request_ledger::knows(const request_id& id, instant now) const
{
    const auto found = m_records.find(id.hash());
    if (found == m_records.end())
        return false;
    return found->second.state == phase::running || now - found->second.touched < m_limits.idLife;
}

void request_ledger::touch(std::uint64_t hash, record& existing, instant now)
{
    existing.touched = now;
    m_expiries.push_back({ hash, now });
}

void request_ledger::expire(instant now)
{
    while (!m_expiries.empty() && now - m_expiries.front().touched >= m_limits.idLife) {
        const expiry oldest = m_expiries.front();
        m_expiries.pop_front();
        const auto found = m_records.find(oldest.hash);
        // A record that was touched later has another entry further back in the queue.
        if (found == m_records.end() || found->second.touched != oldest.touched)
            continue;
        if (found->second.state == phase::running) {
            touch(oldest.hash, found->second, now);
            continue;
        }
        if (found->second.answer)
            m_answerBytes -= found->second.answer->body.size();
        m_records.erase(found);
    }
}

void request_ledger::dropOldAnswers()
{
    while (m_answerBytes > m_limits.maxAnswerBytes && !m_answers.empty()) {
        const auto found = m_records.find(m_answers.front());
        m_answers.pop_front();
        if (found == m_records.end() || !found->second.answer)
            continue;
        m_answerBytes -= found->second.answer->body.size();
        found->second.answer.reset();
    }
}

} // namespace rampgap
