#include "policy/limits/server_limits.h"

#include <algorithm>
#include <cmath>

namespace rampgap {

namespace {

    // A report that is not confirmed for this long does not apply any more. While there are requests for the
    // server, grants are used more often than that, and the answers confirm or change the limit.
    constexpr milliseconds reportLifetime { 30'000 };
    // How long a change is sent to peers: several rounds, each to a dozen of them.
    constexpr milliseconds changeGossipTime { 1'000 };
    // Smaller relative changes are not sent to peers: they reach the arbiter with the next question.
    constexpr double minRelativeChange = 0.05;
    // A question or its answer that takes longer is taken to be lost.
    constexpr milliseconds answerTimeout { 300 };
    constexpr milliseconds demandWindow { 1'000 };
    // Grants are not kept any longer for more urgent requests that found none: those do not come back for them.
    constexpr milliseconds unservedMemory { 1'000 };
    constexpr int maxWanted = 50;
    // A grant is used up to its lifetime of a second later, so in one second a cold server may get the requests of two.
    constexpr double coldShare = 0.5;
    // Load pattern: a zone of 100 servers returns cold. If each of 500 entry VMs asked for grants for all of them, that
    // would be 50,000 queries for the few seconds that they are cold.
    constexpr int maxServersAsked = 8;

    bool differs(const std::optional<double>& a, const std::optional<double>& b)
    {
        if (a.has_value() != b.has_value())
            return true;
        return a && std::abs(*a - *b) > minRelativeChange * std::max(*a, *b);
    }

} // namespace

void server_limits::recordAnswer(server_hash server, std::optional<double> perSecond, instant now)
{
    // The usual case: the server has no limit and never reported one, so there is nothing to store.
    if (!perSecond && !m_reports.contains(server))
        return;
    store(server, { perSecond, now }, now);
}

void server_limits::mergeReport(server_hash server, reported_limit report, instant now)
{
    const auto entry = m_reports.find(server);
    if (entry != m_reports.end() && report.reportedAt <= entry->second.report.reportedAt)
        return;
    const auto forgotten = m_forgottenAt.find(server);
    if (forgotten != m_forgottenAt.end() && report.reportedAt <= forgotten->second)
        return;
    if (now - report.reportedAt < reportLifetime)
        store(server, report, now);
}

void server_limits::store(server_hash server, const reported_limit& report, instant now)
{
    const auto entry = m_reports.find(server);
    const bool isChange = entry == m_reports.end() ? report.perSecond.has_value() : differs(entry->second.report.perSecond, report.perSecond);
    auto& stored = m_reports[server];
    stored.report = report;
    if (isChange)
        stored.changedAt = now;
    if (!limitOf(server, now))
        m_accounts.erase(server);
}

void server_limits::recordCold(server_hash server, double perSecond, instant until)
{
    m_cold[server] = { perSecond, until };
}

void server_limits::forget(server_hash server, instant now)
{
    m_reports.erase(server);
    m_cold.erase(server);
    m_accounts.erase(server);
    m_forgottenAt[server] = now;
}

std::optional<reported_limit> server_limits::reportOf(server_hash server, instant now) const
{
    const auto entry = m_reports.find(server);
    if (entry == m_reports.end() || now - entry->second.report.reportedAt >= reportLifetime)
        return std::nullopt;
    return entry->second.report;
}

std::optional<double> server_limits::limitOf(server_hash server, instant now) const
{
    const auto report = reportOf(server, now);
    const std::optional<double> reported = report ? report->perSecond : std::nullopt;
    const auto cold = m_cold.find(server);
    if (cold == m_cold.end() || now >= cold->second.until)
        return reported;
    const double whileCold = coldShare * cold->second.perSecond;
    return reported ? std::min(*reported, whileCold) : whileCold;
}

reported_limits server_limits::recentChanges(instant now) const
{
    reported_limits found;
    for (const auto& [server, entry] : m_reports) {
        if (entry.changedAt && now - *entry.changedAt < changeGossipTime)
            found.emplace_back(server, entry.report);
    }
    return found;
}

reported_limits server_limits::currentLimits(std::size_t count, instant now) const
{
    reported_limits found;
    for (const auto& [server, entry] : m_reports) {
        if (found.size() < count && reportOf(server, now) && entry.report.perSecond)
            found.emplace_back(server, entry.report);
    }
    return found;
}

void server_limits::expire(instant now)
{
    std::erase_if(m_reports, [now](const auto& entry) { return now - entry.second.report.reportedAt >= reportLifetime; });
    std::erase_if(m_forgottenAt, [now](const auto& entry) { return now - entry.second >= reportLifetime; });
    std::erase_if(m_cold, [now](const auto& entry) { return now >= entry.second.until; });
    std::erase_if(m_accounts, [this](const auto& entry) { return !m_reports.contains(entry.first) && !m_cold.contains(entry.first); });
}

int server_limits::countRequest(const std::string& service, instant now)
{
    auto& times = m_requests[service];
    while (!times.empty() && now - times.front() > demandWindow)
        times.pop_front();
    times.push_back(now);
    return static_cast<int>(times.size());
}

void server_limits::requestGrants(const std::string& service, const std::vector<server_hash>& servers, int priority, instant now)
{
    if (!any() || servers.empty())
        return;
    expire(now);
    const double perServer = static_cast<double>(countRequest(service, now)) / static_cast<double>(servers.size());
    const int wanted = std::clamp(static_cast<int>(std::ceil(perServer)), 1, maxWanted);
    int asked = 0;
    for (const server_hash server : servers) {
        if (asked < maxServersAsked && limitOf(server, now) && !maySend(server, priority, now))
            asked += askForGrants(server, wanted, priority, now) ? 1 : 0;
    }
    if (!m_questions.empty() && m_onQuestions)
        m_onQuestions();
}

bool server_limits::askForGrants(server_hash server, int wanted, int priority, instant now)
{
    auto& account = m_accounts[server];
    if (now < account.askAgainAt || awaitsAnswer(server, now))
        return false;
    account.askedAt = now;
    m_questions.push_back({ server, wanted, priority });
    return true;
}

bool server_limits::awaitsAnswer(server_hash server, instant now) const
{
    const auto account = m_accounts.find(server);
    return account != m_accounts.end() && account->second.askedAt && now - *account->second.askedAt < answerTimeout;
}

std::vector<grant_question> server_limits::takeQuestions()
{
    return std::exchange(m_questions, {});
}

void server_limits::recordGranted(const grant_answer& answer, instant now)
{
    auto& account = m_accounts[answer.server];
    account.askedAt.reset();
    account.askAgainAt = now + answer.askAgain;
    account.grants.insert(account.grants.end(), static_cast<std::size_t>(std::clamp(answer.granted, 0, maxWanted)), now + grantLifetime);
}

void server_limits::recordUnserved(int priority, instant now)
{
    m_unservedAt[priority] = now;
}

bool server_limits::moreUrgentUnserved(int priority, instant now) const
{
    const auto end = m_unservedAt.lower_bound(priority);
    return std::any_of(m_unservedAt.begin(), end, [now](const auto& entry) { return now - entry.second < unservedMemory; });
}

// While more urgent requests find no grant, each grant is reserved for those for the first half of its lifetime.
bool server_limits::maySend(server_hash server, int priority, instant now) const
{
    if (!limitOf(server, now))
        return true;
    const auto account = m_accounts.find(server);
    if (account == m_accounts.end())
        return false;
    const instant latestExpiry = moreUrgentUnserved(priority, now) ? now + grantLifetime / 2 : instant::max();
    return std::any_of(account->second.grants.begin(), account->second.grants.end(), [now, latestExpiry](instant expiry) { return expiry > now && expiry <= latestExpiry; });
}

void server_limits::useGrant(server_hash server, instant now)
{
    const auto account = m_accounts.find(server);
    if (account == m_accounts.end())
        return;
    auto& grants = account->second.grants;
    while (!grants.empty() && grants.front() <= now)
        grants.pop_front();
    if (!grants.empty())
        grants.pop_front();
}

} // namespace rampgap
