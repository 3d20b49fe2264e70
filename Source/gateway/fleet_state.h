// The configuration in force, the list of backend servers and how fresh both are.
#pragma once

#include "daemon/decision_log.h"
#include "daemon/process_context.h"
#include "gateway/published_source.h"

#include <functional>

namespace rampgap {

class fleet_state {
public:
    // `lapsedLife`: see backend_directory.
    fleet_state(process_context&, decision_log&, const fleet_decoder&, milliseconds lapsedLife);

    // From the store itself. `askedAt`: when the reading was sent. False if the listing is
    // older than what is held.
    bool take(const published_snapshot&, instant askedAt);
    // `from`: the position after which changes were asked for.
    void take(const published_update&, store_position from, instant askedAt);
    // From a peer, which may itself doubt the list of servers for some time yet. `provenAt`:
    // by its proof's age.
    void take(const published_delta&, std::optional<instant> provenAt, milliseconds doubt, const std::string& peer);
    void noteProof(store_position, instant askedAt);
    // The store did not answer this process, or answers again.
    void noteSourceLost(const std::string& why);
    void noteSourceRegained();
    // Periodic work: drops servers that stayed missing.
    void settle();

    // Null until the first configuration came.
    std::shared_ptr<const fleet_configuration> configuration() const { return m_configuration; }
    backend_directory& backends() { return m_backends; }
    const published_state& published() const { return m_published; }
    // So long yet, entries missing from the list may only have lapsed in an outage.
    milliseconds listDoubt() const;
    bool sourceLost() const { return m_lostAt.has_value(); }
    // Time since the newest proof that nothing newer is published.
    std::optional<milliseconds> proofAge() const;
    void onConfiguration(std::function<void()> action) { m_onConfiguration = std::move(action); }
    // Called with a server that was started again under its id: its earlier work is gone.
    void onRestart(std::function<void(const listed_backend&)> action) { m_onRestart = std::move(action); }

private:
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
    std::function<void()> m_onConfiguration;
    std::function<void(const listed_backend&)> m_onRestart;
};

} // namespace rampgap
