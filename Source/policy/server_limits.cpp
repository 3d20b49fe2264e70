#include "policy/server_limits.h"

#include <algorithm>
#include <cmath>

namespace rampgap {

namespace {

    // A word that nothing confirms for so long holds no more. While anyone asks for the server a
    // grant is used more often than that, and its answer tells what holds.
    constexpr milliseconds wordLife { 30'000 };
    // How long a change is told to peers: some reports to a dozen of them each.
    constexpr milliseconds newsLife { 1'000 };
    // Smaller changes of a limit reach the arbiter with the next question.
    constexpr double leastChange = 0.05;
    // A question or its answer that takes longer was lost.
    constexpr milliseconds answerWait { 300 };
    constexpr milliseconds demandWindow { 1'000 };
    // Requests that were unserved for so long do not come back for these grants.
    constexpr milliseconds unservedLife { 1'000 };
    constexpr int mostWanted = 50;

    bool differs(const std::optional<double>& a, const std::optional<double>& b)
    {
        if (a.has_value() != b.has_value())
            return true;
        return a && std::abs(*a - *b) > leastChange * std::max(*a, *b);
    }

} // namespace

void server_limits::noteAnswer(server_hash server, std::optional<double> perSecond, instant now)
{
    // Nearly always: a server that never named a limit.
    if (!perSecond && !m_words.contains(server))
        return;
    note(server, { perSecond, now }, now);
}

void server_limits::noteTold(server_hash server, limit_word word, instant now)
{
    const auto held = m_words.find(server);
    if (held != m_words.end() && word.saidAt <= held->second.word.saidAt)
        return;
    const auto forgotten = m_forgotten.find(server);
    if (forgotten != m_forgotten.end() && word.saidAt <= forgotten->second)
        return;
    if (now - word.saidAt < wordLife)
        note(server, word, now);
}

void server_limits::note(server_hash server, const limit_word& word, instant now)
{
    const auto held = m_words.find(server);
    const bool isNews = held == m_words.end() ? word.perSecond.has_value() : differs(held->second.word.perSecond, word.perSecond);
    auto& known = m_words[server];
    known.word = word;
    if (isNews)
        known.changedAt = now;
    if (!word.perSecond)
        m_purses.erase(server);
}

void server_limits::forget(server_hash server, instant now)
{
    m_words.erase(server);
    m_purses.erase(server);
    m_forgotten[server] = now;
}

std::optional<limit_word> server_limits::wordOf(server_hash server, instant now) const
{
    const auto held = m_words.find(server);
    if (held == m_words.end() || now - held->second.word.saidAt >= wordLife)
        return std::nullopt;
    return held->second.word;
}

std::optional<double> server_limits::limitOf(server_hash server, instant now) const
{
    const auto word = wordOf(server, now);
    return word ? word->perSecond : std::nullopt;
}

limit_words server_limits::news(instant now) const
{
    limit_words found;
    for (const auto& [server, held] : m_words) {
        if (held.changedAt && now - *held.changedAt < newsLife)
            found.emplace_back(server, held.word);
    }
    return found;
}

limit_words server_limits::known(std::size_t count, instant now) const
{
    limit_words found;
    for (const auto& [server, held] : m_words) {
        if (found.size() < count && limitOf(server, now))
            found.emplace_back(server, held.word);
    }
    return found;
}

void server_limits::forgetOld(instant now)
{
    std::erase_if(m_words, [now](const auto& held) { return now - held.second.word.saidAt >= wordLife; });
    std::erase_if(m_forgotten, [now](const auto& held) { return now - held.second >= wordLife; });
    std::erase_if(m_purses, [this](const auto& held) { return !m_words.contains(held.first); });
}

int server_limits::countRequest(const std::string& service, instant now)
{
    auto& times = m_requests[service];
    while (!times.empty() && now - times.front() > demandWindow)
        times.pop_front();
    times.push_back(now);
    return static_cast<int>(times.size());
}

void server_limits::want(const std::string& service, const std::vector<server_hash>& pool, int priority, instant now)
{
    if (m_words.empty() || pool.empty())
        return;
    forgetOld(now);
    const double perServer = static_cast<double>(countRequest(service, now)) / static_cast<double>(pool.size());
    const int wanted = std::clamp(static_cast<int>(std::ceil(perServer)), 1, mostWanted);
    for (const server_hash server : pool) {
        if (limitOf(server, now) && !maySend(server, priority, now))
            ask(server, wanted, priority, now);
    }
    if (!m_questions.empty() && m_onQuestions)
        m_onQuestions();
}

void server_limits::ask(server_hash server, int wanted, int priority, instant now)
{
    auto& own = m_purses[server];
    if (now < own.askAgainAt || awaitsAnswer(server, now))
        return;
    own.askedAt = now;
    m_questions.push_back({ server, wanted, priority });
}

bool server_limits::awaitsAnswer(server_hash server, instant now) const
{
    const auto own = m_purses.find(server);
    return own != m_purses.end() && own->second.askedAt && now - *own->second.askedAt < answerWait;
}

std::vector<grant_question> server_limits::takeQuestions()
{
    return std::exchange(m_questions, {});
}

void server_limits::noteGranted(const grant_answer& answer, instant now)
{
    auto& own = m_purses[answer.server];
    own.askedAt.reset();
    own.askAgainAt = now + answer.askAgain;
    own.grants.insert(own.grants.end(), static_cast<std::size_t>(std::clamp(answer.granted, 0, mostWanted)), now + grantLife);
}

void server_limits::noteUnserved(int priority, instant now)
{
    m_unserved[priority] = now;
}

bool server_limits::moreUrgentUnserved(int priority, instant now) const
{
    const auto end = m_unserved.lower_bound(priority);
    return std::any_of(m_unserved.begin(), end, [now](const auto& held) { return now - held.second < unservedLife; });
}

// A grant waits half of its life for the more urgent, while some of those go unserved.
bool server_limits::maySend(server_hash server, int priority, instant now) const
{
    if (!limitOf(server, now))
        return true;
    const auto own = m_purses.find(server);
    if (own == m_purses.end())
        return false;
    const instant voidFrom = moreUrgentUnserved(priority, now) ? now + grantLife / 2 : instant::max();
    return std::any_of(own->second.grants.begin(), own->second.grants.end(), [now, voidFrom](instant end) { return end > now && end <= voidFrom; });
}

void server_limits::use(server_hash server, instant now)
{
    const auto own = m_purses.find(server);
    if (own == m_purses.end())
        return;
    auto& grants = own->second.grants;
    while (!grants.empty() && grants.front() <= now)
        grants.pop_front();
    if (!grants.empty())
        grants.pop_front();
}

} // namespace rampgap
