#include "policy/requests/crash_history.h"

#include <algorithm>
#include <xxhash.h>

namespace rampgap {

namespace {

    // Events after which a request no longer counts as just begun: a request that crashes servers usually
    // does so with its first step.
    constexpr std::uint64_t earlyEvents = 2;
    // For this time after one crash as it began, a request is refused where another crash would close a
    // group for all callers; elsewhere it begins only in one process. Several times the deadline of its
    // callers, so that a refused caller does not come back with the same call after this time.
    constexpr milliseconds suspicionTime { 60'000 };
    // For a caller that comes while an isolated attempt runs, or to a process that may not start one.
    constexpr milliseconds attemptRetryAfter { 1'000 };
    // Within this time it is known whether a server that broke off a call has crashed.
    constexpr milliseconds crashDetectionTime { 500 };
    // Servers that crash within this time of each other are taken to have crashed for a common reason.
    constexpr milliseconds sameMoment { 1'000 };
    // Within this time all processes know of a crash and of all calls that the server was running.
    constexpr milliseconds gossipTime { 500 };
    // Bounds the memory where a group of many servers crashes under full load.
    constexpr std::size_t maxRequests = 2'048;
    // Requests with several crashes that one answer to a peer holds.
    constexpr std::size_t maxRepeated = 32;

    milliseconds since(instant then, instant now)
    {
        return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - then));
    }

} // namespace

void crash_history::recordCrash(request_fingerprint request, std::uint32_t server, std::uint64_t events, instant now)
{
    apply({ request, { { server, events < earlyEvents } }, false }, milliseconds(0), now, true);
}

// Affects only requests with recorded crashes: nearly all requests are served and never ran on a server that crashed.
void crash_history::recordServed(request_fingerprint request, instant now)
{
    const auto known = m_requests.find(request);
    if (known != m_requests.end())
        apply({ request, known->second.evidence.uncleared(), true }, milliseconds(0), now, true);
}

bool crash_history::merge(const crash_record& record, milliseconds age, instant now)
{
    return apply(record, age, now, false);
}

bool crash_history::apply(const crash_record& record, milliseconds age, instant now, bool own)
{
    if (age >= crashRetention)
        return false;
    if (!m_requests.contains(record.request)) {
        if (!makeRoom(record.crashes.size(), own))
            return false;
        m_requests[record.request].seenAt = now - age;
    }
    auto& known = m_requests.at(record.request);
    known.seenAt = std::max(known.seenAt, now - age);
    bool changed = false;
    std::vector<std::uint32_t> newServers;
    for (const auto& crash : record.crashes) {
        if (!m_servers.contains(crash.server))
            newServers.push_back(crash.server);
        changed = add(known, record.request, crash, now - age) || changed;
    }
    if (record.served)
        changed = known.evidence.clear(record.crashes) || changed;
    if (!changed)
        return false;
    recordChange(record.request);
    notifyListeners(record.request, newServers);
    return true;
}

// The listeners may change the history, so no reference into it is kept here.
void crash_history::notifyListeners(request_fingerprint request, const std::vector<std::uint32_t>& newServers)
{
    for (const auto server : newServers) {
        if (m_onServerCrashed)
            m_onServerCrashed(server);
    }
    if (m_onChange)
        m_onChange(request);
}

bool crash_history::add(entry& known, request_fingerprint request, const observed_crash& crash, instant crashedAt)
{
    const auto added = known.evidence.add(crash);
    if (!added)
        return false;
    auto& server = m_servers.try_emplace(crash.server, crashed_server { {}, crashedAt }).first->second;
    server.suspects.insert(request);
    if (!added->droppedServer)
        return true;
    forgetSuspect(*added->droppedServer, request);
    return *added->droppedServer != crash.server;
}

void crash_history::recordChange(request_fingerprint request)
{
    m_changed.insert(request);
    if (m_requests.at(request).evidence.crashes().size() >= blockingEarlyCrashes)
        updateDigest();
}

void crash_history::updateDigest()
{
    m_digest = 0;
    for (const auto request : repeatedRequests()) {
        const auto& known = m_requests.at(request);
        std::uint32_t hash = XXH32(&request.value, sizeof(request.value), 0);
        for (const auto& crash : known.evidence.crashes()) {
            const std::uint32_t flags = (crash.early ? 1 : 0) + (known.evidence.isCleared(crash.server) ? 2 : 0);
            hash = XXH32(&crash.server, sizeof(crash.server), hash + flags);
        }
        m_digest ^= hash;
    }
}

// A peer's record does not displace one with as many crashes: with more suspected requests than fit,
// processes would otherwise drop the same ones and send them to each other without end.
bool crash_history::makeRoom(std::size_t crashes, bool own)
{
    if (m_requests.size() < maxRequests)
        return true;
    const auto weakest = std::min_element(m_requests.begin(), m_requests.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second.evidence.strength(), a.second.seenAt) < std::pair(b.second.evidence.strength(), b.second.seenAt);
    });
    if (!own && weakest->second.evidence.crashes().size() >= crashes)
        return false;
    erase(weakest->first);
    return true;
}

void crash_history::forgetSuspect(std::uint32_t server, request_fingerprint request)
{
    const auto crashed = m_servers.find(server);
    crashed->second.suspects.erase(request);
    if (crashed->second.suspects.empty())
        m_servers.erase(crashed);
}

void crash_history::erase(request_fingerprint request)
{
    const auto known = m_requests.find(request);
    for (const auto& crash : known->second.evidence.crashes())
        forgetSuspect(crash.server, request);
    m_requests.erase(known);
    m_changed.erase(request);
}

bool crash_history::isExplainedByOther(const observed_crash& crash, request_fingerprint request, const weight& own) const
{
    const auto& suspects = m_servers.at(crash.server).suspects;
    return std::any_of(suspects.begin(), suspects.end(), [&](request_fingerprint other) {
        const auto& known = m_requests.at(other);
        return other != request && !known.evidence.isCleared(crash.server) && known.evidence.strength() > own;
    });
}

bool crash_history::hasEqualSuspect(const std::vector<observed_crash>& crashes, request_fingerprint request, const weight& own) const
{
    const auto& suspects = m_servers.at(crashes.front().server).suspects;
    return std::any_of(suspects.begin(), suspects.end(), [&](request_fingerprint other) {
        const auto& known = m_requests.at(other);
        return other != request && known.evidence.strength() == own && std::all_of(crashes.begin(), crashes.end(), [&known](const observed_crash& crash) { return known.evidence.crashes().contains(crash); });
    });
}

// A crash has one cause. A request that happened to run beside the cause no longer counts as soon as the
// other one has crashed one server more; two that cannot be told apart are blocked only after a third crash.
std::optional<milliseconds> crash_history::blockedFor(request_fingerprint request, instant now) const
{
    const auto known = m_requests.find(request);
    if (known == m_requests.end() || now - known->second.seenAt >= known->second.evidence.retention())
        return std::nullopt;
    const weight own = known->second.evidence.strength();
    if (own.crashes < blockingEarlyCrashes)
        return std::nullopt;
    auto unexplained = known->second.evidence.uncleared();
    std::erase_if(unexplained, [&](const observed_crash& crash) { return isExplainedByOther(crash, request, own); });
    const auto early = static_cast<std::size_t>(std::count_if(unexplained.begin(), unexplained.end(), [](const observed_crash& crash) { return crash.early; }));
    const bool isBlocked = unexplained.size() >= blockingCrashes || (early >= blockingEarlyCrashes && !hasEqualSuspect(unexplained, request, own));
    if (!isBlocked)
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(known->second.seenAt + crashRetention - now);
}

// One other crash at the same moment proves nothing: a server may fail by itself while the request
// crashes another, and the update that the request ran there as well may still be on its way.
std::optional<instant> crash_history::clearedAt(const observed_crash& crash, const entry& known) const
{
    const instant at = m_servers.at(crash.server).crashedAt;
    std::size_t with = 0;
    std::vector<instant> without;
    for (const auto& [server, crashed] : m_servers) {
        const instant otherAt = crashed.crashedAt;
        if ((at < otherAt ? otherAt - at : at - otherAt) >= sameMoment)
            continue;
        if (known.evidence.concerns(server))
            ++with;
        else
            without.push_back(otherAt);
    }
    if (without.size() <= with)
        return std::nullopt;
    std::sort(without.begin(), without.end());
    return without[with] + gossipTime;
}

crash_history::assessment crash_history::assess(request_fingerprint request, instant now) const
{
    const auto known = m_requests.find(request);
    if (known == m_requests.end() || now - known->second.seenAt >= known->second.evidence.retention())
        return {};
    const weight own = known->second.evidence.strength();
    assessment assessed;
    for (const auto& crash : known->second.evidence.crashes()) {
        if (!crash.early)
            continue;
        if (known->second.evidence.anyCleared())
            assessed.clearedBy = "a server ran it to its end";
        else if (isExplainedByOther(crash, request, own))
            assessed.clearedBy = "another request explains the crash";
        else
            assessed.until = std::max(assessed.until, std::optional(clearedAt(crash, known->second).value_or(instant::max())));
    }
    if (assessed.until && *assessed.until <= now)
        assessed.clearedBy = "more servers crashed at the same moment without it";
    return assessed;
}

bool crash_history::isSuspected(request_fingerprint request, instant now) const
{
    const auto until = assess(request, now).until;
    return until && now < *until;
}

std::optional<instant> crash_history::clearancePendingUntil(request_fingerprint request, instant now) const
{
    const auto until = assess(request, now).until;
    const bool isUndecided = until && now < *until && *until != instant::max() && !blockedFor(request, now);
    return isUndecided ? until : std::nullopt;
}

std::string_view crash_history::clearanceReason(request_fingerprint request, instant now) const
{
    const assessment assessed = assess(request, now);
    if (assessed.until && now < *assessed.until)
        return "it is tried after a while, or replaces its caller's lost attempt";
    return assessed.clearedBy;
}

// One crash doesn't show which request caused it, but copies of the request that come to several processes
// would all begin before the second crash is known anywhere, and so crash all engines of a service.
// Where the crash of a lock-step group stops all callers for seconds, that outweighs refusing the two or
// three other requests that had just begun beside the cause. Where a crash stops only one server, the
// caller's retry goes on, and new copies begin one at a time.
std::optional<failure> crash_history::refuse(const send_input& input, instant now)
{
    if (auto blocked = refuseBlocked(input.request, now))
        return blocked;
    if (!isSuspected(input.request, now))
        return std::nullopt;
    const auto suspectedFor = now - m_requests.at(input.request).seenAt;
    if (input.closesGroup && suspectedFor < suspicionTime)
        return notRun(failure_reason::crashes_servers, "a server crashed as it began to run this request", std::chrono::duration_cast<milliseconds>(suspicionTime - suspectedFor));
    if (!input.closesGroup && suspectedFor >= suspicionTime)
        return std::nullopt;
    const auto attempt = m_isolatedAttempts.find(input.request);
    if (attempt != m_isolatedAttempts.end() && now < attempt->second)
        return notRun(failure_reason::crashes_servers, "a server crashed as it began to run this request, and an isolated attempt of it is running", attemptRetryAfter);
    if (!input.isRetry && m_isChosen && !m_isChosen(input.request))
        return notRun(failure_reason::crashes_servers, "a server crashed as it began to run this request, and only another process may attempt it", attemptRetryAfter);
    return std::nullopt;
}

bool crash_history::beginIsolatedAttempt(request_fingerprint request, instant now)
{
    if (!isSuspected(request, now))
        return false;
    m_isolatedAttempts.insert_or_assign(request, instant::max());
    return true;
}

void crash_history::endIsolatedAttempt(request_fingerprint request, bool isLost, instant now)
{
    if (isLost)
        m_isolatedAttempts.insert_or_assign(request, now + crashDetectionTime);
    else
        m_isolatedAttempts.erase(request);
}

std::optional<failure> crash_history::refuseBlocked(request_fingerprint request, instant now)
{
    const auto blockedTime = blockedFor(request, now);
    if (!blockedTime)
        return std::nullopt;
    extendBlock(request, now);
    return notRun(failure_reason::crashes_servers, "several servers crashed as they began to run this request", blockedTime);
}

void crash_history::extendBlock(request_fingerprint request, instant now)
{
    const auto known = m_requests.find(request);
    if (known != m_requests.end())
        known->second.seenAt = std::max(known->second.seenAt, now);
}

aged_crash_records crash_history::takeUpdates(std::size_t limit, instant now)
{
    std::vector<request_fingerprint> changedRequests(m_changed.begin(), m_changed.end());
    std::stable_sort(changedRequests.begin(), changedRequests.end(), [this](request_fingerprint a, request_fingerprint b) { return m_requests.at(a).evidence.strength() > m_requests.at(b).evidence.strength(); });
    changedRequests.resize(std::min(limit, changedRequests.size()));
    aged_crash_records updates;
    for (const auto request : changedRequests) {
        addRecords(updates, request, now);
        m_changed.erase(request);
    }
    return updates;
}

std::vector<request_fingerprint> crash_history::repeatedRequests() const
{
    std::vector<request_fingerprint> requests;
    for (const auto& [request, known] : m_requests) {
        if (known.evidence.crashes().size() >= blockingEarlyCrashes)
            requests.push_back(request);
    }
    // Every process must pick the same ones: by the crashes, which all know, not by time of arrival.
    std::stable_sort(requests.begin(), requests.end(), [this](request_fingerprint a, request_fingerprint b) { return m_requests.at(a).evidence.crashes().size() > m_requests.at(b).evidence.crashes().size(); });
    requests.resize(std::min(maxRepeated, requests.size()));
    return requests;
}

aged_crash_records crash_history::repeated(instant now) const
{
    aged_crash_records records;
    for (const auto request : repeatedRequests())
        addRecords(records, request, now);
    return records;
}

std::vector<request_fingerprint> crash_history::blocked(instant now) const
{
    auto requests = repeatedRequests();
    std::erase_if(requests, [&](request_fingerprint request) { return !blockedFor(request, now); });
    return requests;
}

aged_crash_records crash_history::recordsOf(request_fingerprint request, instant now) const
{
    aged_crash_records records;
    if (m_requests.contains(request))
        addRecords(records, request, now);
    return records;
}

void crash_history::addRecords(aged_crash_records& records, request_fingerprint request, instant now) const
{
    const auto& known = m_requests.at(request);
    const milliseconds age = since(known.seenAt, now);
    crash_record uncleared { request, known.evidence.uncleared(), false };
    crash_record cleared { request, known.evidence.cleared(), true };
    for (auto& record : { std::move(uncleared), std::move(cleared) }) {
        if (!record.crashes.empty())
            records.emplace_back(record, age);
    }
}

void crash_history::expire(instant now)
{
    std::vector<request_fingerprint> expired;
    for (const auto& [request, known] : m_requests) {
        if (now - known.seenAt >= known.evidence.retention())
            expired.push_back(request);
    }
    for (const auto request : expired)
        erase(request);
    if (!expired.empty())
        updateDigest();
    std::erase_if(m_isolatedAttempts, [now](const auto& attempt) { return attempt.second <= now; });
}

} // namespace rampgap
