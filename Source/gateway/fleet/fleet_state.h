// The configuration in force, the list of backend servers and the freshness of both.
#pragma once

#include "daemon/decision_log.h"
#include "daemon/process_context.h"
#include "gateway/fleet/fleet_decoder.h"
#include "gateway/fleet/published_source.h"

#include <functional>

namespace rampgap {

// The part of a peer's state that this process lacked.
struct peer_state {
    published_delta delta;
    std::vector<retained_item> retained;
    // Of the peer's whole state.
    state_summary summary;
    // When the peer's state was known to be current.
    std::optional<instant> freshAsOf;
    // For how much longer the peer itself keeps servers that are missing from the list.
    milliseconds listUncertainFor { 0 };
    bool listSettled = false;
    std::optional<instant> restoredAt;
};

class fleet_state {
public:
    // `keepLapsedFor`: how long servers whose entries lapsed in an outage of the store stay listed.
    fleet_state(process_context&, decision_log&, const fleet_decoder&, milliseconds keepLapsedFor);

    // Applies a listing of the store, requested at `askedAt`. Returns false if it is older than the
    // current state.
    bool applySnapshot(const published_snapshot&, instant askedAt);
    // Applies changes of the store; `from`: the position after which they were requested.
    void applyUpdate(const published_update&, store_position from, instant askedAt);
    void mergePeer(const peer_state&, const std::string& peer);
    // A peer whose state has the summary `peer` was known to be current at `freshAsOf`.
    void mergePeerFreshness(const state_summary& peer, instant freshAsOf);
    // A peer has known since `restoredAt` that the store was restored and began this epoch.
    void mergePeerRestoration(store_epoch, instant restoredAt);
    // The store stopped answering this process, or answers again.
    void recordStoreUnavailable(const std::string& why);
    void recordStoreAvailable();
    // Periodic work: drops servers that stayed missing and retained items that have expired.
    void runPeriodicWork();

    // Null until the first configuration has arrived.
    std::shared_ptr<const fleet_configuration> configuration() const { return m_configuration; }
    backend_directory& backends() { return m_backends; }
    const published_state& published() const { return m_published; }
    state_summary summary() const { return { m_published.position(), m_published.retained().digest() }; }
    // When the store was first found to be restored; empty if it was not.
    std::optional<instant> restoredAt() const { return m_restoredAt; }
    // For how much longer missing entries may only have lapsed in an outage of the store.
    milliseconds listUncertainFor() const;
    // True if the list was followed for long enough that servers missing from it are gone.
    bool listSettled() const;
    bool storeUnavailable() const { return m_storeUnavailableSince.has_value(); }
    // Time since the state was last known to be current.
    std::optional<milliseconds> freshnessAge() const;
    void onConfiguration(std::function<void()> action) { m_onConfiguration = std::move(action); }
    // Called with a server that was restarted under its id and has lost its earlier work.
    void onRestart(std::function<void(const listed_backend&)> action) { m_onRestart = std::move(action); }
    // Called with each server whose entry was added or changed, after `onRestart`.
    void onListed(std::function<void(const listed_backend&)> action) { m_onListed = std::move(action); }

private:
    struct store_freshness {
        store_position position;
        instant askedAt;
    };

    // State of another epoch is about to be applied.
    void recordEpoch(store_position next, instant seenAt);
    void recordStoreFreshness(store_position, instant askedAt);
    void applyPendingFreshness();
    removal removalMeaning() const;
    void apply(const std::vector<published_change>&, const std::string& source);
    void applyConfiguration(const published_item&, const std::string& source);
    void applyBackend(const published_change&, const std::string& source);
    void applyEvacuation(const published_change&, const std::string& source);

    process_context& m_context;
    decision_log& m_log;
    const fleet_decoder& m_decoder;
    published_state m_published;
    std::shared_ptr<const fleet_configuration> m_configuration;
    backend_directory m_backends;
    std::optional<instant> m_storeUnavailableSince;
    instant m_listUncertainUntil {};
    // When the first state was applied.
    std::optional<instant> m_followingSince;
    std::optional<instant> m_restoredAt;
    // Freshness from the newest store answer, which does not count until peers have had time to report.
    std::optional<store_freshness> m_pendingFreshness;
    std::function<void()> m_onConfiguration;
    std::function<void(const listed_backend&)> m_onRestart;
    std::function<void(const listed_backend&)> m_onListed;
};

} // namespace rampgap
