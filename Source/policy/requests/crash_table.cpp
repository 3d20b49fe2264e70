#include "policy/requests/crash_table.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace rampgap {

namespace {

    // Bounds the memory where a group of many servers crashes under full load: for requests, and for parts.
    constexpr std::size_t maxOfEachKind = 2'048;
    // Of how many requests and parts a peer that lacks records is sent them at once.
    constexpr std::size_t maxRepeated = 32;

    milliseconds since(instant then, instant now)
    {
        return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - then));
    }

} // namespace

crash_table::change crash_table::apply(const crash_record& record, milliseconds age, instant now, bool own)
{
    if (age >= crashRetention)
        return {};
    if (own && mayIgnore(record, now - age))
        return {};
    if (!m_requests.contains(record.request)) {
        if (!makeRoom(record, own))
            return {};
        m_requests[record.request].seenAt = now - age;
    }
    auto& known = m_requests.at(record.request);
    known.seenAt = std::max(known.seenAt, now - age);
    if (record.partPosition != wholeRequest) {
        m_parts += known.isPart() ? 0 : 1;
        known.partPosition = known.isPart() ? std::min(known.partPosition, record.partPosition) : record.partPosition;
    }
    change applied;
    for (const auto& crash : record.crashes) {
        if (!m_servers.contains(crash.server))
            applied.newServers.push_back(crash.server);
        const bool isNew = add(known, record.request, crash, now - age);
        if (isNew && known.isPart())
            applySurvivals(known, record.request, crash, now - age);
        applied.isNew = isNew || applied.isNew;
    }
    if (record.served)
        applied.isNew = known.evidence.clear(record.crashes) || applied.isNew;
    if (applied.isNew)
        recordChange(record.request);
    return applied;
}

// The part counts as seen when it last came in question: popular parts would never be dropped otherwise.
crash_table::change crash_table::recordSurvived(request_fingerprint part, instant now)
{
    m_survivals.record(part, now);
    const entry* known = find(part);
    if (!known)
        return {};
    return apply({ part, known->evidence.uncleared(), true, known->partPosition }, since(known->seenAt, now), now, true);
}

void crash_table::touch(request_fingerprint request, instant now)
{
    const auto known = m_requests.find(request);
    if (known != m_requests.end())
        known->second.seenAt = std::max(known->second.seenAt, now);
}

const crash_table::entry* crash_table::find(request_fingerprint request) const
{
    const auto known = m_requests.find(request);
    return known == m_requests.end() ? nullptr : &known->second;
}

// Most parts are shared by many requests and survive all the time: records of each crash beside them would
// fill the table and the news.
bool crash_table::mayIgnore(const crash_record& record, instant crashedAt)
{
    return record.partPosition != wholeRequest && !m_requests.contains(record.request) && m_survivals.excuses(record.request, { record.crashes.front().server, crashedAt });
}

// With the first crash that is not excused, others learn of one that was: the part was survived before.
void crash_table::applySurvivals(entry& known, request_fingerprint part, const observed_crash& crash, instant crashedAt)
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

bool crash_table::add(entry& known, request_fingerprint request, const observed_crash& crash, instant crashedAt)
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

void crash_table::recordChange(request_fingerprint request)
{
    m_changed.insert(request);
    if (m_requests.at(request).evidence.crashes().size() >= blockingEarlyCrashes)
        updateDigest();
}

void crash_table::updateDigest()
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
bool crash_table::makeRoom(const crash_record& record, bool own)
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

void crash_table::forgetSuspect(std::uint32_t server, request_fingerprint request)
{
    const auto crashed = m_servers.find(server);
    crashed->second.suspects.erase(request);
    if (crashed->second.suspects.empty())
        m_servers.erase(crashed);
}

void crash_table::erase(request_fingerprint request)
{
    const auto known = m_requests.find(request);
    for (const auto& crash : known->second.evidence.crashes())
        forgetSuspect(crash.server, request);
    m_parts -= known->second.isPart() ? 1 : 0;
    m_requests.erase(known);
    m_changed.erase(request);
}

instant crash_table::lastCrashAt(const entry& known) const
{
    instant last = known.seenAt - crashRetention;
    for (const auto& crash : known.evidence.crashes())
        last = std::max(last, m_servers.at(crash.server).crashedAt);
    return last;
}

aged_crash_records crash_table::takeUpdates(std::size_t limit, instant now)
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

std::vector<request_fingerprint> crash_table::repeatedRequests() const
{
    std::vector<request_fingerprint> requests;
    for (const auto& [request, known] : m_requests) {
        // Popular parts are cleared of many crashes, which nobody needs to know.
        const std::size_t crashes = known.isPart() ? known.evidence.strength().crashes : known.evidence.crashes().size();
        if (crashes >= blockingEarlyCrashes)
            requests.push_back(request);
    }
    // Every process must pick the same ones: by the crashes, which all know, not by time of arrival.
    // Those that are cleared come last.
    const auto order = [this](request_fingerprint request) {
        const crash_evidence& evidence = m_requests.at(request).evidence;
        return std::pair(evidence.strength().crashes, evidence.crashes().size());
    };
    std::stable_sort(requests.begin(), requests.end(), [&order](request_fingerprint a, request_fingerprint b) { return order(a) > order(b); });
    requests.resize(std::min(maxRepeated, requests.size()));
    return requests;
}

aged_crash_records crash_table::repeated(instant now) const
{
    aged_crash_records records;
    for (const auto request : repeatedRequests())
        addRecords(records, request, now);
    return records;
}

aged_crash_records crash_table::recordsOf(request_fingerprint request, instant now) const
{
    aged_crash_records records;
    if (m_requests.contains(request))
        addRecords(records, request, now);
    return records;
}

void crash_table::addRecords(aged_crash_records& records, request_fingerprint request, instant now) const
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

void crash_table::expire(instant now)
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
}

} // namespace rampgap
