#include "gateway/fleet/fleet_state.h"

#include <algorithm>

namespace rampgap {

namespace {

    // Servers whose entries lapsed while the store was unavailable write them again within two
    // seconds of its return, as the users state; whoever is missing after that is gone and must be
    // out of the list by then. The list is checked every 150 ms.
    constexpr milliseconds lapsedEntriesReturnWithin { 2'000 - 150 };
    // An entry lapses after three missed heartbeats of 1.2 s. If the store could be read more
    // recently than this, no entry has lapsed because of an outage.
    constexpr milliseconds minLapseTime { 2'400 };
    // A restored store may lack state that another process retains. Processes exchange summaries
    // every 250 ms, so they know within this time; all callers are to be served again within two
    // seconds.
    constexpr milliseconds peersReportWithin { 400 };
    // Entries of servers that are gone lapse within 3.6 s of the store's return, and the others have
    // written theirs again: from then on the list is complete and correct.
    constexpr milliseconds listSettlesWithin { 5'000 };

} // namespace

fleet_state::fleet_state(process_context& context, decision_log& log, const fleet_decoder& decoder, milliseconds keepLapsedFor)
    : m_context(context)
    , m_log(log)
    , m_decoder(decoder)
    , m_published(decoder)
    , m_backends(keepLapsedFor)
{
}

bool fleet_state::applySnapshot(const published_snapshot& snapshot, instant askedAt)
{
    if (snapshot.position() < m_published.position())
        return false;
    recordEpoch(snapshot.position(), m_context.now());
    apply(m_published.apply(snapshot, removalMeaning()), "store");
    recordStoreFreshness(snapshot.position(), askedAt);
    return true;
}

void fleet_state::applyUpdate(const published_update& update, store_position from, instant askedAt)
{
    apply(m_published.apply(update.changes, from, update.revision, removalMeaning()), "store");
    recordStoreFreshness({ from.epoch, update.revision }, askedAt);
}

void fleet_state::mergePeer(const peer_state& state, const std::string& peer)
{
    const instant now = m_context.now();
    // A peer that has followed the store without a break knows which servers are gone, while this
    // process may have been cut off or suspended since the store's return.
    const bool peerKnows = state.summary.position >= m_published.position() && state.listSettled && state.freshAsOf && now - *state.freshAsOf < minLapseTime;
    m_listUncertainUntil = peerKnows ? now : std::max(m_listUncertainUntil, now + state.listUncertainFor);
    if (state.delta.position > m_published.position())
        recordEpoch(state.delta.position, state.restoredAt.value_or(now));
    const std::string source = "peer " + peer;
    auto changes = m_published.apply(state.delta, removalMeaning());
    if (state.restoredAt)
        mergePeerRestoration(state.summary.position.epoch, *state.restoredAt);
    const bool listSettled = !m_restoredAt || now - *m_restoredAt >= listSettlesWithin;
    // Items that the peer retains replace those that it read from the store, from the start.
    for (auto& retained : m_published.mergeRetained(state.retained, listSettled)) {
        std::erase_if(changes, [&retained](const published_change& read) { return read.item.key == retained.item.key; });
        changes.push_back(std::move(retained));
    }
    apply(changes, source);
    if (state.freshAsOf)
        mergePeerFreshness(state.summary, *state.freshAsOf);
}

// Two processes at the same position may retain different items that the store has lost: the
// freshness of one holds only for a process with the same summary.
void fleet_state::mergePeerFreshness(const state_summary& peer, instant freshAsOf)
{
    if (peer == summary())
        m_published.recordFreshness(peer.position, freshAsOf);
}

// A process that finds the restoration late, since it was suspended or cut off, need not wait the
// whole time again for servers that its peers have found to be gone.
void fleet_state::mergePeerRestoration(store_epoch epoch, instant restoredAt)
{
    if (epoch != m_published.position().epoch || restoredAt >= m_restoredAt.value_or(instant::max()))
        return;
    m_restoredAt = restoredAt;
    m_listUncertainUntil = std::min(m_listUncertainUntil, restoredAt + lapsedEntriesReturnWithin);
    m_backends.limitRetention(m_listUncertainUntil);
}

void fleet_state::recordEpoch(store_position next, instant seenAt)
{
    const store_position current = m_published.position();
    if (m_published.empty() || next.epoch == current.epoch)
        return;
    m_restoredAt = seenAt;
    m_listUncertainUntil = std::max(m_listUncertainUntil, seenAt + lapsedEntriesReturnWithin);
    m_log.line("store_restored").add("epoch", next.epoch).add("revision", next.revision).add("before", current.epoch).add("held", current.revision);
}

void fleet_state::recordStoreFreshness(store_position position, instant askedAt)
{
    m_pendingFreshness = { position, askedAt };
    applyPendingFreshness();
}

void fleet_state::applyPendingFreshness()
{
    if (!m_pendingFreshness || (m_restoredAt && m_context.now() - *m_restoredAt < peersReportWithin))
        return;
    m_published.recordFreshness(m_pendingFreshness->position, m_pendingFreshness->askedAt);
    m_pendingFreshness.reset();
}

removal fleet_state::removalMeaning() const
{
    return listUncertainFor() > milliseconds(0) ? removal::doubtful : removal::gone;
}

void fleet_state::recordStoreUnavailable(const std::string& why)
{
    if (!m_storeUnavailableSince) {
        m_storeUnavailableSince = m_context.now();
        m_log.line("dependency_lost").add("dependency", "store").add("reason", why).add("revision", m_published.position().revision);
    }
}

void fleet_state::recordStoreAvailable()
{
    if (!m_storeUnavailableSince)
        return;
    m_log.line("dependency_regained").add("dependency", "store").add("lost_ms", m_context.now() - *m_storeUnavailableSince).add("revision", m_published.position().revision);
    m_storeUnavailableSince.reset();
    const auto age = freshnessAge();
    if (age && *age > minLapseTime)
        m_listUncertainUntil = m_context.now() + lapsedEntriesReturnWithin;
}

void fleet_state::runPeriodicWork()
{
    applyPendingFreshness();
    if (m_restoredAt && m_context.now() - *m_restoredAt >= listSettlesWithin)
        apply(m_published.expireRetained(), "time");
    m_backends.removeExpired(m_context.now());
}

bool fleet_state::listSettled() const
{
    return m_followingSince && m_context.now() - *m_followingSince >= lapsedEntriesReturnWithin && listUncertainFor() == milliseconds(0);
}

std::optional<milliseconds> fleet_state::freshnessAge() const
{
    const auto proven = m_published.freshAsOf();
    if (!proven)
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(m_context.now() - *proven);
}

milliseconds fleet_state::listUncertainFor() const
{
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(m_listUncertainUntil - m_context.now()));
}

void fleet_state::apply(const std::vector<published_change>& changes, const std::string& source)
{
    if (!m_followingSince)
        m_followingSince = m_context.now();
    m_context.counters().set(metric::store_revision, static_cast<double>(m_published.position().revision));
    for (const auto& change : changes) {
        if (m_decoder.isConfiguration(change.item.key)) {
            if (change.removed)
                m_log.line("configuration_removed").add("outcome", "kept the last one");
            else
                applyConfiguration(change.item, source);
        } else if (m_decoder.isBackend(change.item.key)) {
            applyBackend(change, source);
        } else if (m_decoder.isEvacuation(change.item.key)) {
            applyEvacuation(change, source);
        }
    }
}

void fleet_state::applyConfiguration(const published_item& item, const std::string& source)
{
    const auto decoded = m_decoder.configuration(item.value);
    if (!decoded) {
        m_log.line("configuration_refused").add("key", item.key).add("revision", item.revision).add("reason", decoded.error().message).add("outcome", "kept the last one");
        return;
    }
    // The version in force never goes back within one incarnation of the process.
    if (m_configuration && decoded.value()->version() <= m_configuration->version())
        return;
    m_configuration = decoded.value();
    m_context.counters().add(metric::revisions_accepted);
    m_context.counters().set(metric::revision_in_force, static_cast<double>(m_configuration->version()));
    std::set<std::string> services;
    for (const auto& service : m_configuration->contents().services)
        services.insert(service.name);
    m_backends.setServices(std::move(services));
    m_log.line("configuration_in_force").add("version", m_configuration->version()).add("revision", item.revision).add("source", source).add("routes", m_configuration->contents().routes.size());
    if (m_onConfiguration)
        m_onConfiguration();
}

void fleet_state::applyEvacuation(const published_change& change, const std::string& source)
{
    const std::string zone = m_decoder.evacuatedZone(change.item.key);
    if (zone.empty()) {
        m_log.line("evacuation_refused").add("key", change.item.key).add("reason", "the key names no zone").add("outcome", "ignored");
        return;
    }
    if (!m_backends.setEvacuated(zone, !change.removed))
        return;
    // Without any servers the name of the zone is probably misspelled.
    m_log.line(change.removed ? "evacuation_ended" : "zone_evacuated").add("evacuated", zone).add("servers", m_backends.countInZone(zone)).add("revision", change.item.revision).add("source", source).add("retained", static_cast<int>(change.retained));
    m_context.counters().set(metric::zones_evacuated, static_cast<double>(m_backends.evacuatedZones().size()));
}

void fleet_state::applyBackend(const published_change& change, const std::string& source)
{
    const std::string id = m_decoder.backendId(change.item.key);
    if (change.removed) {
        const bool isUncertain = listUncertainFor() > milliseconds(0) && !change.retained;
        // The clock is read once: with a reading for each argument, the second one evaluated is later, and which that is differs between
        // processors. A server that is gone would be kept, and get requests, until the next periodic work.
        const instant now = m_context.now();
        m_backends.unlist(id, now, isUncertain ? m_listUncertainUntil : now);
        m_log.line("backend_unlisted").add("backend", id).add("source", source).add("doubt_ms", listUncertainFor()).add("outcome", isUncertain ? "kept for now" : "removed");
        return;
    }
    auto decoded = m_decoder.backend(change.item);
    if (!decoded) {
        // An entry that cannot be decoded names no server to send to, even if an earlier one did: it may say that the server leaves. An agent
        // keeps the rank for as long as it keeps one whose entry is missing.
        const instant now = m_context.now();
        m_backends.unlist(id, now, now);
        m_log.line("backend_entry_refused").add("backend", id).add("revision", change.item.revision).add("reason", decoded.error().message).add("outcome", "no server");
        return;
    }
    // Its creation revision belongs to another history than those of the listed servers.
    if (change.retained)
        decoded.value().createdAt = 0;
    const auto* current = m_backends.find(id);
    if (!current || !(*current == decoded.value())) {
        m_log.line("backend_listed").add("backend", id).add("address", decoded.value().address).add("state", decoded.value().draining ? "draining" : "ready").add("cold_ms", decoded.value().coldFor).add("source", source);
    }
    if (m_backends.list(decoded.value())) {
        m_log.line("backend_restarted").add("backend", id).add("incarnation", decoded.value().incarnation).add("source", source);
        if (m_onRestart)
            m_onRestart(decoded.value());
    }
    if (m_onListed)
        m_onListed(decoded.value());
}

} // namespace rampgap
