// The configuration in force, the list of backend servers and how fresh both are.
#pragma once

#include "daemon/decision_log.h"
#include "daemon/process_context.h"
#include "gateway/fleet_decoder.h"
#include "gateway/published_source.h"

#include <functional>

namespace rampgap {

// What a peer holds, as far as this process lacked it.
struct peer_state {
    published_delta delta;
    std::vector<retained_item> retained;
    // Of all that the peer holds.
    state_summary summary;
    // By the age of the peer's proof.
    std::optional<instant> freshAsOf;
    // So long yet the peer itself doubts the list of servers.
    milliseconds doubt { 0 };
    bool listSettled = false;
    std::optional<instant> restoredAt;
};

class fleet_state {
public:
    // `lapsedRetention`: see backend_directory.
    fleet_state(process_context&, decision_log&, const fleet_decoder&, milliseconds lapsedRetention);

    // From the store itself. `askedAt`: when the reading was sent. False if the listing is
    // older than what is held.
    bool take(const published_snapshot&, instant askedAt);
    // `from`: the position after which changes were asked for.
    void take(const published_update&, store_position from, instant askedAt);
    void take(const peer_state&, const std::string& peer);
    // A peer that holds `told` has proved it at that moment.
    void notePeerProof(const state_summary& told, instant freshAsOf);
    // A peer has known since `restoredAt` of the restoration that began an epoch.
    void notePeerRestored(store_epoch, instant restoredAt);
    // The store did not answer this process, or answers again.
    void noteSourceLost(const std::string& why);
    void noteSourceRegained();
    // Periodic work: drops servers that stayed missing.
    void settle();

    // Null until the first configuration came.
    std::shared_ptr<const fleet_configuration> configuration() const { return m_configuration; }
    backend_directory& backends() { return m_backends; }
    const published_state& published() const { return m_published; }
    state_summary summary() const { return { m_published.position(), m_published.retained().digest() }; }
    // Since when the store is known to have been restored, if it was.
    std::optional<instant> restoredAt() const { return m_restoredAt; }
    // So long yet, entries missing from the list may only have lapsed in an outage.
    milliseconds listDoubt() const;
    // Followed for long enough that whoever is missing from the list is gone.
    bool listSettled() const;
    bool sourceLost() const { return m_lostAt.has_value(); }
    // Time since the newest proof that nothing newer is published.
    std::optional<milliseconds> proofAge() const;
    void onConfiguration(std::function<void()> action) { m_onConfiguration = std::move(action); }
    // Called with a server that was started again under its id: its earlier work is gone.
    void onRestart(std::function<void(const listed_backend&)> action) { m_onRestart = std::move(action); }

private:
    struct store_proof {
        store_position position;
        instant askedAt;
    };

    // A reading of another epoch is about to be taken.
    void noteEpoch(store_position next, instant seenAt);
    void noteStoreProof(store_position, instant askedAt);
    void settleProof();
    removal meaningOfRemoval() const;
    void apply(const std::vector<published_change>&, const std::string& source);
    void applyConfiguration(const published_item&, const std::string& source);
    void applyBackend(const published_change&, const std::string& source);

    process_context& m_context;
    decision_log& m_log;
    const fleet_decoder& m_decoder;
    published_state m_published;
    std::shared_ptr<const fleet_configuration> m_configuration;
    backend_directory m_backends;
    std::optional<instant> m_lostAt;
    instant m_doubtUntil {};
    // Since the first reading.
    std::optional<instant> m_followsSince;
    std::optional<instant> m_restoredAt;
    // The newest proof that does not count yet.
    std::optional<store_proof> m_unsettledProof;
    std::function<void()> m_onConfiguration;
    std::function<void(const listed_backend&)> m_onRestart;
};

} // namespace rampgap
