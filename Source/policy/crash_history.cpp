#include "policy/crash_history.h"

#include <algorithm>
#include <xxhash.h>

namespace rampgap {

namespace {

    // Events after which a request no longer counts as just begun. Of the 16 calls that two crashes
    // ended (logs of such a day) one in each had had no event, the others 1 to 16.
    constexpr std::uint64_t earlyEvents = 2;
    // Crashes that bar a request which had just begun each time and has no rival: one crash may
    // be the server's own, and each further one closes its whole group for seconds.
    constexpr std::size_t earlyCrashes = 2;
    // Crashes that bar it in any case.
    constexpr std::size_t mostCrashes = 3;
    // A request that has not come again for so long is forgotten, and so are its crashes.
    constexpr std::chrono::minutes memory { 10 };
    // The same after one crash: callers come again within their deadline, of eight seconds.
    constexpr std::chrono::minutes memoryOfOne { 1 };
    // Some 64 requests at each of 32 servers of a group that crash together; about 200 bytes each.
    constexpr std::size_t mostRequests = 2'048;
    // Of the requests with several crashes; with 8 crashes each they fill two packets.
    constexpr std::size_t mostRepeated = 32;
    constexpr std::size_t crashesKept = 8;

    milliseconds since(instant then, instant now)
    {
        return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - then));
    }

} // namespace

crash_history::weight crash_history::weigh(const entry& held)
{
    if (held.served)
        return {};
    const auto early = std::count_if(held.crashes.begin(), held.crashes.end(), [](const seen_crash& crash) { return crash.early; });
    return { held.crashes.size(), static_cast<std::size_t>(early) };
}

milliseconds crash_history::memoryOf(const entry& held)
{
    return held.crashes.size() < earlyCrashes ? memoryOfOne : memory;
}

void crash_history::noteCrash(request_fingerprint request, std::uint32_t server, std::uint64_t events, instant now)
{
    take({ request, { { server, events < earlyEvents } }, false }, milliseconds(0), now, true);
}

// Only of what is in question: nearly all requests are served, and never were near a crash.
void crash_history::noteServed(request_fingerprint request, instant now)
{
    if (m_requests.contains(request))
        take({ request, {}, true }, milliseconds(0), now, true);
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
    bool news = record.served && !held.served;
    held.served = held.served || record.served;
    for (const auto& crash : record.crashes)
        news = add(held, record.request, crash) || news;
    if (news)
        noteChange(record.request);
    return news;
}

// Two VMs may have seen the same crash, one of them a moment later in the answer: early holds.
// Of more crashes than are kept, every process keeps the same.
bool crash_history::add(entry& held, request_fingerprint request, const seen_crash& crash)
{
    const auto known = std::find_if(held.crashes.begin(), held.crashes.end(), [&crash](const seen_crash& each) { return each.server == crash.server; });
    if (known != held.crashes.end()) {
        if (known->early || !crash.early)
            return false;
        held.crashes.erase(known);
    }
    held.crashes.insert(crash);
    m_servers[crash.server].insert(request);
    if (held.crashes.size() <= crashesKept)
        return true;
    const seen_crash last = *held.crashes.rbegin();
    held.crashes.erase(last);
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
        std::uint32_t hash = XXH32(&request.value, sizeof(request.value), held.served ? 1 : 0);
        for (const auto& crash : held.crashes)
            hash = XXH32(&crash.server, sizeof(crash.server), hash + (crash.early ? 1 : 0));
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
    const auto suspects = m_servers.find(server);
    suspects->second.erase(request);
    if (suspects->second.empty())
        m_servers.erase(suspects);
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
    const auto& suspects = m_servers.at(crash.server);
    return std::any_of(suspects.begin(), suspects.end(), [&](request_fingerprint other) {
        return other != request && weigh(m_requests.at(other)) > own;
    });
}

bool crash_history::hasRival(const std::vector<seen_crash>& crashes, request_fingerprint request, const weight& own) const
{
    const auto& suspects = m_servers.at(crashes.front().server);
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
    if (held == m_requests.end() || held->second.served || now - held->second.seenAt >= memoryOf(held->second))
        return std::nullopt;
    const weight own = weigh(held->second);
    if (own.crashes < earlyCrashes)
        return std::nullopt;
    std::vector<seen_crash> unexplained;
    std::copy_if(held->second.crashes.begin(), held->second.crashes.end(), std::back_inserter(unexplained), [&](const seen_crash& crash) { return !explained(crash, request, own); });
    const auto early = static_cast<std::size_t>(std::count_if(unexplained.begin(), unexplained.end(), [](const seen_crash& crash) { return crash.early; }));
    const bool isBarred = unexplained.size() >= mostCrashes || (early >= earlyCrashes && !hasRival(unexplained, request, own));
    if (!isBarred)
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(held->second.seenAt + memory - now);
}

std::optional<failure> crash_history::refuse(request_fingerprint request, instant now)
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
        news.push_back(recordOf(request, now));
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
        records.push_back(recordOf(request, now));
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
    if (!m_requests.contains(request))
        return {};
    return { recordOf(request, now) };
}

std::pair<crash_record, milliseconds> crash_history::recordOf(request_fingerprint request, instant now) const
{
    const auto& held = m_requests.at(request);
    return { { request, { held.crashes.begin(), held.crashes.end() }, held.served }, since(held.seenAt, now) };
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
}

} // namespace rampgap
