#include "policy/requests/crash_history.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace rampgap {

namespace {

    // For this time after one crash as it began, a request is refused where another crash would close a
    // group for all callers; elsewhere it begins only in one process. Several times the deadline of its
    // callers, so that a refused caller does not come back with the same call after this time.
    constexpr milliseconds suspicionTime { 60'000 };
    // For a caller that comes while an isolated attempt runs, or to a process that may not start one.
    constexpr milliseconds attemptRetryAfter { 1'000 };
    // Within this time it is known whether a server that broke off a call has crashed.
    constexpr milliseconds crashDetectionTime { 500 };
    // Within this time all processes know of a crash and of all calls that the server was running.
    constexpr milliseconds gossipTime { 500 };
    // Bounds the memory where a group of many servers crashes under full load: for requests, and for parts.
    constexpr std::size_t maxOfEachKind = 2'048;
    // So many crashes under a part that was never survived are no coincidence, whatever else crashed beside them.
    constexpr std::size_t undoubtedCrashes = 5;
    // How long a part is blocked after the second crash under it, doubled with each further one. A sound part
    // that was blamed by coincidence is sent again after this time.
    constexpr milliseconds shortestPartBlock { 60'000 };
    constexpr milliseconds longestPartBlock { 600'000 };
    // A process that has recorded survived parts for less than this does not suspect a part after one crash only
    // because it has never seen it survive.
    constexpr milliseconds minRecordingTime { 10'000 };
    // Requests with several crashes that one answer to a peer holds.
    constexpr std::size_t maxRepeated = 32;

    milliseconds partBlockTime(std::size_t crashes)
    {
        milliseconds time = shortestPartBlock;
        for (std::size_t further = blockingEarlyCrashes; further < crashes; ++further)
            time = std::min(longestPartBlock, 2 * time);
        return time;
    }

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

// A part counts only with its request's first events: what was being written when the server crashed later
// depends on the request, and popular parts run on every server.
void crash_history::recordPartsCrashed(const std::vector<request_fingerprint>& parts, std::uint32_t server, std::uint64_t events, instant now)
{
    if (events >= earlyEvents)
        return;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const auto position = i + 1 == parts.size() ? lastPart : std::min(lastPart - 1, static_cast<std::uint32_t>(i + 1));
        apply({ parts[i], { { server, true } }, false, position }, milliseconds(0), now, true);
    }
}

void crash_history::recordPartsSurvived(const std::vector<request_fingerprint>& parts, instant now)
{
    for (const auto part : parts) {
        m_survivals.record(part, now);
        const auto known = m_requests.find(part);
        if (known != m_requests.end())
            apply({ part, known->second.evidence.uncleared(), true, known->second.partPosition }, milliseconds(0), now, true);
    }
}

bool crash_history::merge(const crash_record& record, milliseconds age, instant now)
{
    return apply(record, age, now, false);
}

bool crash_history::apply(const crash_record& record, milliseconds age, instant now, bool own)
{
    if (age >= crashRetention)
        return false;
    if (own && mayIgnore(record, now - age))
        return false;
    if (!m_requests.contains(record.request)) {
        if (!makeRoom(record, own))
            return false;
        m_requests[record.request].seenAt = now - age;
    }
    auto& known = m_requests.at(record.request);
    known.seenAt = std::max(known.seenAt, now - age);
    if (record.partPosition != wholeRequest) {
        m_parts += known.isPart() ? 0 : 1;
        known.partPosition = known.isPart() ? std::min(known.partPosition, record.partPosition) : record.partPosition;
    }
    bool changed = false;
    std::vector<std::uint32_t> newServers;
    for (const auto& crash : record.crashes) {
        if (!m_servers.contains(crash.server))
            newServers.push_back(crash.server);
        const bool isNew = add(known, record.request, crash, now - age);
        if (isNew && known.isPart())
            applySurvivals(known, record.request, crash, now - age);
        changed = isNew || changed;
    }
    if (record.served)
        changed = known.evidence.clear(record.crashes) || changed;
    if (!changed)
        return false;
    recordChange(record.request);
    notifyListeners(record.request, newServers);
    return true;
}

// Most parts are shared by many requests and survive all the time: records of each crash beside them would
// fill the table and the news.
bool crash_history::mayIgnore(const crash_record& record, instant crashedAt)
{
    return record.partPosition != wholeRequest && !m_requests.contains(record.request) && m_survivals.excuses(record.request, { record.crashes.front().server, crashedAt });
}

// With the first crash that is not excused, others learn of one that was: the part was survived before.
void crash_history::applySurvivals(entry& known, request_fingerprint part, const observed_crash& crash, instant crashedAt)
{
    if (m_survivals.excuses(part, { crash.server, crashedAt })) {
        known.evidence.clear({ crash });
        return;
    }
    const auto excused = m_survivals.firstExcused(part);
    if (!excused)
        return;
    const observed_crash earlier { excused->server, true };
    if (add(known, part, earlier, excused->at))
        known.evidence.clear({ earlier });
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
bool crash_history::makeRoom(const crash_record& record, bool own)
{
    const bool isPart = record.partPosition != wholeRequest;
    if ((isPart ? m_parts : m_requests.size() - m_parts) < maxOfEachKind)
        return true;
    const auto order = [isPart](const auto& known) { return std::tuple(known.second.isPart() != isPart, known.second.evidence.strength(), known.second.seenAt); };
    const auto weakest = std::min_element(m_requests.begin(), m_requests.end(), [&order](const auto& a, const auto& b) { return order(a) < order(b); });
    if (!own && weakest->second.evidence.crashes().size() >= record.crashes.size())
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
    m_parts -= known->second.isPart() ? 1 : 0;
    m_requests.erase(known);
    m_changed.erase(request);
}

instant crash_history::lastCrashAt(const entry& known) const
{
    instant last = known.seenAt - crashRetention;
    for (const auto& crash : known.evidence.crashes())
        last = std::max(last, m_servers.at(crash.server).crashedAt);
    return last;
}

bool crash_history::crashedAtSeveralMoments(const entry& known) const
{
    std::optional<instant> first;
    std::optional<instant> last;
    for (const auto& crash : known.evidence.uncleared()) {
        const instant at = m_servers.at(crash.server).crashedAt;
        first = std::min(first.value_or(at), at);
        last = std::max(last.value_or(at), at);
    }
    return first && *last - *first >= sameMoment;
}

// Requests that run at the same time share parts by coincidence, so that two servers that crash together for
// another reason often have one in common. One that was survived before needs three crashes since then.
bool crash_history::isPartAccused(const entry& known) const
{
    const std::size_t crashes = known.evidence.strength().crashes;
    if (crashes < blockingEarlyCrashes)
        return false;
    if (known.evidence.anyCleared() || crashes >= undoubtedCrashes || crashedAtSeveralMoments(known))
        return true;
    return !clearedAt(known.evidence.uncleared().front(), known);
}

crash_history::suspect_rank crash_history::rankOf(const entry& known) const
{
    const weight strength = known.evidence.strength();
    if (!known.isPart())
        return { strength.crashes >= blockingEarlyCrashes, strength, lastPart + 1 };
    if (!isPartAccused(known))
        return {};
    return { !known.evidence.anyCleared(), strength, known.partPosition };
}

bool crash_history::isExplainedByOther(const observed_crash& crash, request_fingerprint request, const suspect_rank& own) const
{
    const auto& suspects = m_servers.at(crash.server).suspects;
    return std::any_of(suspects.begin(), suspects.end(), [&](request_fingerprint other) {
        const auto& known = m_requests.at(other);
        return other != request && !known.evidence.isCleared(crash.server) && rankOf(known) > own;
    });
}

bool crash_history::hasEqualSuspect(const std::vector<observed_crash>& crashes, request_fingerprint request, const suspect_rank& own) const
{
    const auto& suspects = m_servers.at(crashes.front().server).suspects;
    return std::any_of(suspects.begin(), suspects.end(), [&](request_fingerprint other) {
        const auto& known = m_requests.at(other);
        return other != request && rankOf(known) == own && std::all_of(crashes.begin(), crashes.end(), [&known](const observed_crash& crash) { return known.evidence.crashes().contains(crash); });
    });
}

// A crash has one cause. A request that happened to run beside the cause no longer counts as soon as the
// other one has crashed one server more; two that cannot be told apart are blocked only after a third crash.
bool crash_history::isAccused(request_fingerprint request, instant now) const
{
    const auto known = m_requests.find(request);
    if (known == m_requests.end() || now - known->second.seenAt >= known->second.evidence.retention())
        return false;
    const suspect_rank own = rankOf(known->second);
    if (own.strength.crashes < blockingEarlyCrashes)
        return false;
    auto unexplained = known->second.evidence.uncleared();
    std::erase_if(unexplained, [&](const observed_crash& crash) { return isExplainedByOther(crash, request, own); });
    const auto early = static_cast<std::size_t>(std::count_if(unexplained.begin(), unexplained.end(), [](const observed_crash& crash) { return crash.early; }));
    if (unexplained.size() >= blockingCrashes)
        return true;
    return own.isProven && early >= blockingEarlyCrashes && !hasEqualSuspect(unexplained, request, own);
}

// Refusals extend the block of a request, which does no harm to others. Sound requests may share a part that
// was blamed by coincidence, so its block ends some time after the last crash.
std::optional<milliseconds> crash_history::blockedFor(request_fingerprint request, instant now) const
{
    if (!isAccused(request, now))
        return std::nullopt;
    const entry& known = m_requests.at(request);
    const instant until = known.isPart() ? lastCrashAt(known) + partBlockTime(known.evidence.strength().crashes) : known.seenAt + crashRetention;
    if (until <= now)
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(until - now);
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
    const suspect_rank own = rankOf(known->second);
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

// A part that no server was ever seen to survive, with one crash. Its own requests do not explain the crash.
bool crash_history::isPartSuspected(request_fingerprint part, instant now) const
{
    const entry& known = m_requests.at(part);
    const suspect_rank own { false, known.evidence.strength(), lastPart + 1 };
    if (known.partPosition == lastPart || own.strength.early == 0 || known.evidence.anyCleared() || now - lastCrashAt(known) >= suspicionTime)
        return false;
    if (m_survivals.recordingFor(now) < minRecordingTime)
        return false;
    const auto crashes = known.evidence.uncleared();
    return std::any_of(crashes.begin(), crashes.end(), [&](const observed_crash& crash) {
        return !isExplainedByOther(crash, part, own) && clearedAt(crash, known).value_or(instant::max()) > now;
    });
}

bool crash_history::isSuspected(request_fingerprint request, instant now) const
{
    const auto known = m_requests.find(request);
    if (known != m_requests.end() && known->second.isPart())
        return isPartSuspected(request, now);
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
    for (const auto part : input.parts) {
        if (auto refused = refusePart(part, input, now))
            return refused;
    }
    if (!isSuspected(input.request, now))
        return std::nullopt;
    const auto suspectedFor = now - m_requests.at(input.request).seenAt;
    if (input.closesGroup && suspectedFor < suspicionTime)
        return notRun(failure_reason::crashes_servers, "a server crashed as it began to run this request", std::chrono::duration_cast<milliseconds>(suspicionTime - suspectedFor));
    if (!input.closesGroup && suspectedFor >= suspicionTime)
        return std::nullopt;
    return refuseUnlessIsolated(input.request, input.isRetry, now);
}

// Requests with the part are never alike, so that each of them would be the first of its kind and would crash a
// server. Where a crash closes a group, one crash is enough to refuse a part that no server was ever seen to
// survive; elsewhere the other servers go on, and two are awaited.
std::optional<failure> crash_history::refusePart(request_fingerprint part, const send_input& input, instant now)
{
    if (!m_requests.contains(part))
        return std::nullopt;
    if (isAccused(part, now)) {
        auto blocked = refuseBlockedPart(part, now);
        return blocked ? std::move(blocked) : refuseUnlessIsolated(part, input.isRetry, now);
    }
    if (!input.closesGroup || !isPartSuspected(part, now))
        return std::nullopt;
    const auto left = std::chrono::duration_cast<milliseconds>(lastCrashAt(m_requests.at(part)) + suspicionTime - now);
    return notRun(failure_reason::crashes_servers, "a server crashed as it began to answer a prompt with part " + toString(part), left);
}

std::optional<failure> crash_history::refuseBlockedPart(request_fingerprint part, instant now)
{
    const auto blockedTime = blockedFor(part, now);
    // Its evidence is kept while its callers come.
    extendBlock(part, now);
    if (!blockedTime)
        return std::nullopt;
    return notRun(failure_reason::crashes_servers, "several servers crashed as they began to answer prompts with part " + toString(part), blockedTime);
}

std::optional<failure> crash_history::refuseUnlessIsolated(request_fingerprint request, bool isRetry, instant now) const
{
    const auto attempt = m_isolatedAttempts.find(request);
    if (attempt != m_isolatedAttempts.end() && now < attempt->second)
        return notRun(failure_reason::crashes_servers, "a server crashed as it began to run this request, and an isolated attempt of it is running", attemptRetryAfter);
    if (!isRetry && m_isChosen && !m_isChosen(request))
        return notRun(failure_reason::crashes_servers, "a server crashed as it began to run this request, and only another process may attempt it", attemptRetryAfter);
    return std::nullopt;
}

bool crash_history::beginIsolatedAttempt(request_fingerprint request, instant now)
{
    if (!isSuspected(request, now) && !isAccused(request, now))
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

std::optional<failure> crash_history::refuseBlocked(request_fingerprint request, const std::vector<request_fingerprint>& parts, instant now)
{
    if (auto blocked = refuseBlocked(request, now))
        return blocked;
    for (const auto part : parts) {
        if (auto blocked = refuseBlockedPart(part, now))
            return blocked;
    }
    return std::nullopt;
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
    const auto urgency = [this](request_fingerprint request) {
        const entry& known = m_requests.at(request);
        return std::pair(known.evidence.strength(), known.partPosition != lastPart);
    };
    std::stable_sort(changedRequests.begin(), changedRequests.end(), [&urgency](request_fingerprint a, request_fingerprint b) { return urgency(a) > urgency(b); });
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
    // Those that are cleared come last: popular parts are cleared of many crashes.
    const auto order = [this](request_fingerprint request) {
        const crash_evidence& evidence = m_requests.at(request).evidence;
        return std::pair(evidence.strength().crashes, evidence.crashes().size());
    };
    std::stable_sort(requests.begin(), requests.end(), [&order](request_fingerprint a, request_fingerprint b) { return order(a) > order(b); });
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
    crash_record uncleared { request, known.evidence.uncleared(), false, known.partPosition };
    crash_record cleared { request, known.evidence.cleared(), true, known.partPosition };
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
