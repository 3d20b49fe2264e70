#include "policy/crash_history.h"

#include <algorithm>
#include <xxhash.h>

namespace rampgap {

namespace {

    // Events after which a request no longer counts as just begun: what ends a server as a rule does
    // so with its first step.
    constexpr std::uint64_t earlyEvents = 2;
    // Crashes that bar a request which had just begun each time and has no rival: one crash may
    // be the server's own, and each further one closes its whole group for seconds.
    constexpr std::size_t earlyCrashes = 2;
    // Crashes that bar it in any case.
    constexpr std::size_t mostCrashes = 3;
    // A request that has not come again for so long is forgotten, and so are its crashes.
    constexpr std::chrono::minutes memory { 10 };
    // The same after one crash in the middle of its answer.
    constexpr std::chrono::minutes memoryOfOne { 1 };
    // After one crash as it began a request is refused for so long where its next crash would close
    // a group for all callers, and begins at one process only where it would not. Several times the
    // deadline of its callers, so that none of them is put off only to come again.
    constexpr milliseconds suspicion { 60'000 };
    // Whoever asks while a copy of it runs, or at another process than the chosen one.
    constexpr milliseconds trialRetryAfter { 1'000 };
    // Whether a server that ended a call has crashed is known by then.
    constexpr milliseconds crashKnown { 500 };
    // Servers that crash within this of each other crash for a common reason.
    constexpr milliseconds sameMoment { 1'000 };
    // News of a crash, and of all calls that the server had, reach all processes within this.
    constexpr milliseconds newsTime { 500 };
    // Bounds the memory where a group of many servers crashes under full load.
    constexpr std::size_t mostRequests = 2'048;
    // Of the requests with several crashes: what one answer to a peer holds.
    constexpr std::size_t mostRepeated = 32;
    constexpr std::size_t crashesKept = 8;

    milliseconds since(instant then, instant now)
    {
        return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - then));
    }

} // namespace

std::vector<seen_crash> crash_history::openCrashes(const entry& held)
{
    std::vector<seen_crash> open;
    std::copy_if(held.crashes.begin(), held.crashes.end(), std::back_inserter(open), [&held](const seen_crash& crash) { return !held.cleared.contains(crash.server); });
    return open;
}

// What a server has run to its end is suspected of nothing until it crashes as many more as bar
// any request: servers of another version may crash under it, one after the other.
crash_history::weight crash_history::weigh(const entry& held)
{
    weight open;
    for (const auto& crash : held.crashes) {
        if (held.cleared.contains(crash.server))
            continue;
        ++open.crashes;
        open.early += crash.early ? 1 : 0;
    }
    if (!held.cleared.empty() && open.crashes < mostCrashes)
        return {};
    return open;
}

milliseconds crash_history::memoryOf(const entry& held)
{
    const bool isKept = held.crashes.size() >= earlyCrashes || weigh(held).early > 0;
    return isKept ? memory : memoryOfOne;
}

void crash_history::noteCrash(request_fingerprint request, std::uint32_t server, std::uint64_t events, instant now)
{
    take({ request, { { server, events < earlyEvents } }, false }, milliseconds(0), now, true);
}

// Only of what is in question: nearly all requests are served, and never were near a crash.
void crash_history::noteServed(request_fingerprint request, instant now)
{
    const auto held = m_requests.find(request);
    if (held != m_requests.end())
        take({ request, openCrashes(held->second), true }, milliseconds(0), now, true);
}

bool crash_history::merge(const crash_record& record, milliseconds age, instant now)
{
    return take(record, age, now, false);
}

bool crash_history::take(const crash_record& record, milliseconds age, instant now, bool own)
{
    if (age >= memory)
        return false;
    if (!m_requests.contains(record.request)) {
        if (!makeRoom(record.crashes.size(), own))
            return false;
        m_requests[record.request].seenAt = now - age;
    }
    auto& held = m_requests.at(record.request);
    held.seenAt = std::max(held.seenAt, now - age);
    bool news = false;
    std::vector<std::uint32_t> newServers;
    for (const auto& crash : record.crashes) {
        if (!m_servers.contains(crash.server))
            newServers.push_back(crash.server);
        news = add(held, record.request, crash, now - age) || news;
    }
    if (record.served)
        news = clear(held, record.crashes) || news;
    if (!news)
        return false;
    noteChange(record.request);
    announce(record.request, newServers);
    return true;
}

// Whoever hears of it may have more to note: nothing of the history is held here.
void crash_history::announce(request_fingerprint request, const std::vector<std::uint32_t>& newServers)
{
    for (const auto server : newServers) {
        if (m_onServerCrashed)
            m_onServerCrashed(server);
    }
    if (m_onChange)
        m_onChange(request);
}

std::set<seen_crash>::const_iterator crash_history::findCrash(const entry& held, std::uint32_t server)
{
    return std::find_if(held.crashes.begin(), held.crashes.end(), [server](const seen_crash& crash) { return crash.server == server; });
}

bool crash_history::clear(entry& held, const std::vector<seen_crash>& crashes)
{
    bool news = false;
    for (const auto& crash : crashes) {
        const bool isKept = findCrash(held, crash.server) != held.crashes.end();
        news = (isKept && held.cleared.insert(crash.server).second) || news;
    }
    return news;
}

// Two VMs may have seen the same crash, one of them a moment later in the answer: early holds.
// Of more crashes than are kept, every process keeps the same.
bool crash_history::add(entry& held, request_fingerprint request, const seen_crash& crash, instant crashedAt)
{
    const auto known = findCrash(held, crash.server);
    if (known != held.crashes.end()) {
        if (known->early || !crash.early)
            return false;
        held.crashes.erase(known);
    }
    held.crashes.insert(crash);
    auto& server = m_servers.try_emplace(crash.server, crashed_server { {}, crashedAt }).first->second;
    server.suspects.insert(request);
    if (held.crashes.size() <= crashesKept)
        return true;
    const seen_crash last = *held.crashes.rbegin();
    held.crashes.erase(last);
    held.cleared.erase(last.server);
    forgetSuspect(last.server, request);
    return last.server != crash.server;
}

void crash_history::noteChange(request_fingerprint request)
{
    m_news.insert(request);
    if (m_requests.at(request).crashes.size() >= earlyCrashes)
        updateDigest();
}

void crash_history::updateDigest()
{
    m_digest = 0;
    for (const auto request : repeatedRequests()) {
        const auto& held = m_requests.at(request);
        std::uint32_t hash = XXH32(&request.value, sizeof(request.value), 0);
        for (const auto& crash : held.crashes) {
            const std::uint32_t flags = (crash.early ? 1 : 0) + (held.cleared.contains(crash.server) ? 2 : 0);
            hash = XXH32(&crash.server, sizeof(crash.server), hash + flags);
        }
        m_digest ^= hash;
    }
}

// What a peer tells takes no place from what says as much: where more requests are suspected than
// are kept, processes would forget and tell each other the same ones without end.
bool crash_history::makeRoom(std::size_t crashes, bool own)
{
    if (m_requests.size() < mostRequests)
        return true;
    const auto least = std::min_element(m_requests.begin(), m_requests.end(), [](const auto& a, const auto& b) {
        return std::pair(weigh(a.second), a.second.seenAt) < std::pair(weigh(b.second), b.second.seenAt);
    });
    if (!own && least->second.crashes.size() >= crashes)
        return false;
    erase(least->first);
    return true;
}

void crash_history::forgetSuspect(std::uint32_t server, request_fingerprint request)
{
    const auto found = m_servers.find(server);
    found->second.suspects.erase(request);
    if (found->second.suspects.empty())
        m_servers.erase(found);
}

void crash_history::erase(request_fingerprint request)
{
    const auto held = m_requests.find(request);
    for (const auto& crash : held->second.crashes)
        forgetSuspect(crash.server, request);
    m_requests.erase(held);
    m_news.erase(request);
}

bool crash_history::explained(const seen_crash& crash, request_fingerprint request, const weight& own) const
{
    const auto& suspects = m_servers.at(crash.server).suspects;
    return std::any_of(suspects.begin(), suspects.end(), [&](request_fingerprint other) {
        const auto& held = m_requests.at(other);
        return other != request && !held.cleared.contains(crash.server) && weigh(held) > own;
    });
}

bool crash_history::hasRival(const std::vector<seen_crash>& crashes, request_fingerprint request, const weight& own) const
{
    const auto& suspects = m_servers.at(crashes.front().server).suspects;
    return std::any_of(suspects.begin(), suspects.end(), [&](request_fingerprint other) {
        const auto& held = m_requests.at(other);
        return other != request && weigh(held) == own && std::all_of(crashes.begin(), crashes.end(), [&held](const seen_crash& crash) { return held.crashes.contains(crash); });
    });
}

// A crash has one cause. A request that happened to run beside it is cleared as soon as the other
// has crashed one server more; two that cannot be told apart wait for a third crash.
std::optional<milliseconds> crash_history::barredFor(request_fingerprint request, instant now) const
{
    const auto held = m_requests.find(request);
    if (held == m_requests.end() || now - held->second.seenAt >= memoryOf(held->second))
        return std::nullopt;
    const weight own = weigh(held->second);
    if (own.crashes < earlyCrashes)
        return std::nullopt;
    auto unexplained = openCrashes(held->second);
    std::erase_if(unexplained, [&](const seen_crash& crash) { return explained(crash, request, own); });
    const auto early = static_cast<std::size_t>(std::count_if(unexplained.begin(), unexplained.end(), [](const seen_crash& crash) { return crash.early; }));
    const bool isBarred = unexplained.size() >= mostCrashes || (early >= earlyCrashes && !hasRival(unexplained, request, own));
    if (!isBarred)
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(held->second.seenAt + memory - now);
}

// One crash beside it proves nothing: a server may end by itself beside one that the request ended, and
// the news that the request ran there, too, may still be on their way.
std::optional<instant> crash_history::acquittedAt(const seen_crash& crash, const entry& held) const
{
    const instant at = m_servers.at(crash.server).crashedAt;
    std::size_t with = 0;
    std::vector<instant> without;
    for (const auto& [server, crashed] : m_servers) {
        const instant otherAt = crashed.crashedAt;
        if ((at < otherAt ? otherAt - at : at - otherAt) >= sameMoment)
            continue;
        if (findCrash(held, server) != held.crashes.end())
            ++with;
        else
            without.push_back(otherAt);
    }
    if (without.size() <= with)
        return std::nullopt;
    std::sort(without.begin(), without.end());
    return without[with] + newsTime;
}

crash_history::judgement crash_history::judge(request_fingerprint request, instant now) const
{
    const auto held = m_requests.find(request);
    if (held == m_requests.end() || now - held->second.seenAt >= memoryOf(held->second))
        return {};
    const weight own = weigh(held->second);
    judgement found;
    for (const auto& crash : held->second.crashes) {
        if (!crash.early)
            continue;
        if (!held->second.cleared.empty())
            found.liftedBy = "a server ran it to its end";
        else if (explained(crash, request, own))
            found.liftedBy = "another request explains the crash";
        else
            found.until = std::max(found.until, std::optional(acquittedAt(crash, held->second).value_or(instant::max())));
    }
    if (found.until && *found.until <= now)
        found.liftedBy = "more servers crashed at the same moment without it";
    return found;
}

bool crash_history::isSuspected(request_fingerprint request, instant now) const
{
    const auto until = judge(request, now).until;
    return until && now < *until;
}

std::optional<instant> crash_history::undecidedUntil(request_fingerprint request, instant now) const
{
    const auto until = judge(request, now).until;
    const bool isUndecided = until && now < *until && *until != instant::max() && !barredFor(request, now);
    return isUndecided ? until : std::nullopt;
}

std::string_view crash_history::whyLetThrough(request_fingerprint request, instant now) const
{
    const judgement found = judge(request, now);
    if (found.until && now < *found.until)
        return "it is tried after a while, or in place of its caller's lost try";
    return found.liftedBy;
}

// One crash convicts nobody, but copies of the request that come to several processes would all
// begin before the second crash is known anywhere: one request can end all engines of a service so.
// What the crash of a lock-step group takes from all callers for seconds outweighs the two or
// three requests that had just begun beside the one at fault; where a crash takes one server only,
// the caller's other try goes on, and new copies begin one at a time.
std::optional<failure> crash_history::refuse(const send_question& question, instant now)
{
    if (auto barred = refuseBarred(question.request, now))
        return barred;
    if (!isSuspected(question.request, now))
        return std::nullopt;
    const auto suspectedFor = now - m_requests.at(question.request).seenAt;
    if (question.closesGroup && suspectedFor < suspicion)
        return notRun(failure_reason::crashes_servers, "a server crashed as it began to run this request", std::chrono::duration_cast<milliseconds>(suspicion - suspectedFor));
    if (!question.closesGroup && suspectedFor >= suspicion)
        return std::nullopt;
    const auto trial = m_trials.find(question.request);
    if (trial != m_trials.end() && now < trial->second)
        return notRun(failure_reason::crashes_servers, "a server crashed as it began to run this request, and a copy of it is being tried", trialRetryAfter);
    if (!question.again && m_isChosen && !m_isChosen(question.request))
        return notRun(failure_reason::crashes_servers, "a server crashed as it began to run this request, and another process tries it", trialRetryAfter);
    return std::nullopt;
}

bool crash_history::beginTrial(request_fingerprint request, instant now)
{
    if (!isSuspected(request, now))
        return false;
    m_trials.insert_or_assign(request, instant::max());
    return true;
}

void crash_history::endTrial(request_fingerprint request, bool isLost, instant now)
{
    if (isLost)
        m_trials.insert_or_assign(request, now + crashKnown);
    else
        m_trials.erase(request);
}

std::optional<failure> crash_history::refuseBarred(request_fingerprint request, instant now)
{
    const auto length = barredFor(request, now);
    if (!length)
        return std::nullopt;
    noteBarred(request, now);
    return notRun(failure_reason::crashes_servers, "several servers crashed as they began to run this request", length);
}

void crash_history::noteBarred(request_fingerprint request, instant now)
{
    const auto held = m_requests.find(request);
    if (held != m_requests.end())
        held->second.seenAt = std::max(held->second.seenAt, now);
}

aged_crashes crash_history::takeNews(std::size_t limit, instant now)
{
    std::vector<request_fingerprint> fresh(m_news.begin(), m_news.end());
    std::stable_sort(fresh.begin(), fresh.end(), [this](request_fingerprint a, request_fingerprint b) { return weigh(m_requests.at(a)) > weigh(m_requests.at(b)); });
    fresh.resize(std::min(limit, fresh.size()));
    aged_crashes news;
    for (const auto request : fresh) {
        addRecords(news, request, now);
        m_news.erase(request);
    }
    return news;
}

std::vector<request_fingerprint> crash_history::repeatedRequests() const
{
    std::vector<request_fingerprint> found;
    for (const auto& [request, held] : m_requests) {
        if (held.crashes.size() >= earlyCrashes)
            found.push_back(request);
    }
    // The same ones at every process: by what all know, not by when it came.
    std::stable_sort(found.begin(), found.end(), [this](request_fingerprint a, request_fingerprint b) { return m_requests.at(a).crashes.size() > m_requests.at(b).crashes.size(); });
    found.resize(std::min(mostRepeated, found.size()));
    return found;
}

aged_crashes crash_history::repeated(instant now) const
{
    aged_crashes records;
    for (const auto request : repeatedRequests())
        addRecords(records, request, now);
    return records;
}

std::vector<request_fingerprint> crash_history::barred(instant now) const
{
    auto found = repeatedRequests();
    std::erase_if(found, [&](request_fingerprint request) { return !barredFor(request, now); });
    return found;
}

aged_crashes crash_history::about(request_fingerprint request, instant now) const
{
    aged_crashes records;
    if (m_requests.contains(request))
        addRecords(records, request, now);
    return records;
}

void crash_history::addRecords(aged_crashes& records, request_fingerprint request, instant now) const
{
    const auto& held = m_requests.at(request);
    const milliseconds age = since(held.seenAt, now);
    crash_record open { request, openCrashes(held), false };
    crash_record cleared { request, {}, true };
    std::copy_if(held.crashes.begin(), held.crashes.end(), std::back_inserter(cleared.crashes), [&held](const seen_crash& crash) { return held.cleared.contains(crash.server); });
    for (auto& record : { std::move(open), std::move(cleared) }) {
        if (!record.crashes.empty())
            records.emplace_back(record, age);
    }
}

void crash_history::settle(instant now)
{
    std::vector<request_fingerprint> old;
    for (const auto& [request, held] : m_requests) {
        if (now - held.seenAt >= memoryOf(held))
            old.push_back(request);
    }
    for (const auto request : old)
        erase(request);
    if (!old.empty())
        updateDigest();
    std::erase_if(m_trials, [now](const auto& trial) { return trial.second <= now; });
}

} // namespace rampgap
