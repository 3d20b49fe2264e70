#include "policy/requests/crash_history.h"

#include <algorithm>
#include <cmath>
#include <limits>

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
    // So many crashes under a part that was never survived are no coincidence, whatever else crashed beside them.
    constexpr std::size_t undoubtedCrashes = 5;
    // How long a part is blocked after the second crash under it, doubled with each further one. A sound part
    // that was blamed by coincidence is sent again after this time.
    constexpr milliseconds shortestPartBlock { 60'000 };
    constexpr milliseconds longestPartBlock { 600'000 };
    // A process that has just started has seen few parts survive, so that a part which it has not seen is not suspect yet.
    // In this time the parts that are asked for every few seconds have come again.
    constexpr milliseconds minRecordingTime { 10'000 };

    // Once the block of a part has ended, each process may send this fraction of the requests with it, and twice as much
    // after each doubling time. It begins so low that of many requests a second few are sent before it is known whether
    // the first one crashed its server, and doubles so fast that every request may be sent within a minute.
    constexpr double firstTrialShare = 1.0 / 1'024;
    constexpr std::chrono::seconds trialDoublingTime { 5 };

    milliseconds partBlockTime(std::size_t crashes)
    {
        milliseconds time = shortestPartBlock;
        for (std::size_t further = blockingEarlyCrashes; further < crashes; ++further)
            time = std::min(longestPartBlock, 2 * time);
        return time;
    }

} // namespace

void crash_history::recordCrash(request_fingerprint request, std::uint32_t server, std::uint64_t events, instant now)
{
    apply({ request, { { server, events < earlyEvents } }, false }, milliseconds(0), now, true);
}

// Affects only requests with recorded crashes: nearly all requests are served and never ran on a server that crashed.
void crash_history::recordServed(request_fingerprint request, instant now)
{
    if (const entry* known = m_table.find(request))
        apply({ request, known->evidence.uncleared(), true }, milliseconds(0), now, true);
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
    for (const auto part : parts)
        notifyListeners(part, m_table.recordSurvived(part, now));
}

bool crash_history::merge(const crash_record& record, milliseconds age, instant now)
{
    return apply(record, age, now, false);
}

bool crash_history::apply(const crash_record& record, milliseconds age, instant now, bool own)
{
    const auto applied = m_table.apply(record, age, now, own);
    notifyListeners(record.request, applied);
    return applied.isNew;
}

// The listeners may change the history, so no reference into it is kept here.
void crash_history::notifyListeners(request_fingerprint request, const crash_table::change& change)
{
    if (!change.isNew)
        return;
    for (const auto server : change.newServers) {
        if (m_onServerCrashed)
            m_onServerCrashed(server);
    }
    if (m_onChange)
        m_onChange(request);
}

instant crash_history::crashTime(const observed_crash& crash) const
{
    return m_table.servers().at(crash.server).crashedAt;
}

bool crash_history::crashedAtSeveralMoments(const entry& known) const
{
    std::optional<instant> first;
    std::optional<instant> last;
    for (const auto& crash : known.evidence.uncleared()) {
        const instant at = crashTime(crash);
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
    const auto& suspects = m_table.servers().at(crash.server).suspects;
    return std::any_of(suspects.begin(), suspects.end(), [&](request_fingerprint other) {
        const entry& known = *m_table.find(other);
        return other != request && !known.evidence.isCleared(crash.server) && rankOf(known) > own;
    });
}

bool crash_history::hasEqualSuspect(const std::vector<observed_crash>& crashes, request_fingerprint request, const suspect_rank& own) const
{
    const auto& suspects = m_table.servers().at(crashes.front().server).suspects;
    return std::any_of(suspects.begin(), suspects.end(), [&](request_fingerprint other) {
        const entry& known = *m_table.find(other);
        return other != request && rankOf(known) == own && std::all_of(crashes.begin(), crashes.end(), [&known](const observed_crash& crash) { return known.evidence.crashes().contains(crash); });
    });
}

// A crash has one cause. A request that happened to run beside the cause no longer counts as soon as the
// other one has crashed one server more; two that cannot be told apart are blocked only after a third crash.
bool crash_history::isAccused(request_fingerprint request, instant now) const
{
    const entry* known = m_table.find(request);
    if (!known || now - known->seenAt >= known->evidence.retention())
        return false;
    const suspect_rank own = rankOf(*known);
    if (own.strength.crashes < blockingEarlyCrashes)
        return false;
    auto unexplained = known->evidence.uncleared();
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
    const entry& known = *m_table.find(request);
    const instant until = known.isPart() ? partBlockEnd(known) : known.seenAt + crashRetention;
    if (until <= now)
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(until - now);
}

// One other crash at the same moment proves nothing: a server may fail by itself while the request
// crashes another, and the update that the request ran there as well may still be on its way.
std::optional<instant> crash_history::clearedAt(const observed_crash& crash, const entry& known) const
{
    const instant at = crashTime(crash);
    std::size_t with = 0;
    std::vector<instant> without;
    for (const auto& [server, crashed] : m_table.servers()) {
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
    const entry* known = m_table.find(request);
    if (!known || now - known->seenAt >= known->evidence.retention())
        return {};
    const suspect_rank own = rankOf(*known);
    assessment assessed;
    for (const auto& crash : known->evidence.crashes()) {
        if (!crash.early)
            continue;
        if (known->evidence.anyCleared())
            assessed.clearedBy = "a server ran it to its end";
        else if (isExplainedByOther(crash, request, own))
            assessed.clearedBy = "another request explains the crash";
        else
            assessed.until = std::max(assessed.until, std::optional(clearedAt(crash, *known).value_or(instant::max())));
    }
    if (assessed.until && *assessed.until <= now)
        assessed.clearedBy = "more servers crashed at the same moment without it";
    return assessed;
}

// A part that no server was ever seen to survive, with one crash. Its own requests do not explain the crash.
bool crash_history::isPartSuspected(request_fingerprint part, instant now) const
{
    const entry& known = *m_table.find(part);
    const suspect_rank own { false, known.evidence.strength(), lastPart + 1 };
    if (known.partPosition == lastPart || own.strength.early == 0 || known.evidence.anyCleared() || now - m_table.lastCrashAt(known) >= suspicionTime)
        return false;
    if (m_table.recordingFor(now) < minRecordingTime)
        return false;
    const auto crashes = known.evidence.uncleared();
    return std::any_of(crashes.begin(), crashes.end(), [&](const observed_crash& crash) {
        return !isExplainedByOther(crash, part, own) && clearedAt(crash, known).value_or(instant::max()) > now;
    });
}

bool crash_history::isSuspected(request_fingerprint request, instant now) const
{
    const entry* known = m_table.find(request);
    if (known && known->isPart())
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
    const auto suspectedFor = now - m_table.find(input.request)->seenAt;
    if (input.closesGroup && suspectedFor < suspicionTime)
        return notRun(failure_reason::crashes_servers, "a server crashed as it began to run this request", std::chrono::duration_cast<milliseconds>(suspicionTime - suspectedFor));
    if (!input.closesGroup && suspectedFor >= suspicionTime)
        return std::nullopt;
    return refuseUnlessIsolated(input.request, isChosen(input), now);
}

bool crash_history::isChosen(const send_input& input) const
{
    return input.isRetry || !m_isChosen || m_isChosen(input.request);
}

// The one process that the part's fingerprint chooses may get a request with it only every few minutes in a large
// fleet, and a sound part would stay blocked for as long. So more and more requests may be sent by any process.
bool crash_history::isChosenForPart(request_fingerprint part, const send_input& input, instant now) const
{
    if (input.isRetry || !m_isChosen || m_isChosen(part))
        return true;
    const auto ended = std::chrono::duration<double>(now - partBlockEnd(*m_table.find(part)));
    const double share = firstTrialShare * std::exp2(ended / trialDoublingTime);
    return static_cast<double>(input.request.value) < share * static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

instant crash_history::partBlockEnd(const entry& known) const
{
    return m_table.lastCrashAt(known) + partBlockTime(known.evidence.strength().crashes);
}

// Requests with the part are never alike, so that each of them would be the first of its kind and would crash a
// server. Where a crash closes a group, one crash is enough to refuse a part that no server was ever seen to
// survive; elsewhere the other servers go on, and two are awaited.
std::optional<failure> crash_history::refusePart(request_fingerprint part, const send_input& input, instant now)
{
    if (!m_table.find(part))
        return std::nullopt;
    if (isAccused(part, now)) {
        auto blocked = refuseBlockedPart(part, now);
        return blocked ? std::move(blocked) : refuseUnlessIsolated(part, isChosenForPart(part, input, now), now);
    }
    if (!input.closesGroup || !isPartSuspected(part, now))
        return std::nullopt;
    const auto left = std::chrono::duration_cast<milliseconds>(m_table.lastCrashAt(*m_table.find(part)) + suspicionTime - now);
    return notRun(failure_reason::crashes_servers, "a server crashed as it began to answer a prompt with part " + toString(part), left);
}

std::optional<failure> crash_history::refuseBlockedPart(request_fingerprint part, instant now)
{
    const auto blockedTime = blockedFor(part, now);
    // Its evidence is kept while its callers come.
    m_table.touch(part, now);
    if (!blockedTime)
        return std::nullopt;
    return notRun(failure_reason::crashes_servers, "several servers crashed as they began to answer prompts with part " + toString(part), blockedTime);
}

std::optional<failure> crash_history::refuseUnlessIsolated(request_fingerprint request, bool isChosen, instant now) const
{
    const auto attempt = m_isolatedAttempts.find(request);
    if (attempt != m_isolatedAttempts.end() && now < attempt->second)
        return notRun(failure_reason::crashes_servers, "a server crashed as it began to run this request, and an isolated attempt of it is running", attemptRetryAfter);
    if (!isChosen)
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
    m_table.touch(request, now);
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

std::vector<request_fingerprint> crash_history::blocked(instant now) const
{
    auto requests = m_table.repeatedRequests();
    std::erase_if(requests, [&](request_fingerprint request) { return !blockedFor(request, now); });
    return requests;
}

void crash_history::expire(instant now)
{
    m_table.expire(now);
    std::erase_if(m_isolatedAttempts, [now](const auto& attempt) { return attempt.second <= now; });
}

} // namespace rampgap
