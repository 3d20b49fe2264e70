// Receives callers' requests, checks them against the configuration in force and dispatches
// those that are admitted.
#pragma once

#include "gateway/requests/upstream_dispatcher.h"

namespace rampgap {

class gateway_server : public http_handler {
public:
    gateway_server(process_context&, decision_log&, const request_codec&, fleet_state&, upstream_dispatcher&, freshness_rule);

    awaitable<void> handle(http_exchange&) override;
    int inFlight() const { return m_inFlight; }

private:
    // Returns once there is a configuration, or after a bounded wait without one.
    awaitable<void> awaitConfiguration(http_exchange&);
    // Returns once keys may be used, or when waiting longer is of no use to the caller.
    awaitable<void> awaitFreshness(http_exchange&, const gateway_request&);
    result<admitted_request> admit(const http_exchange&, gateway_request);
    result<void> admitKey(const gateway_request&, const route_spec&, const fleet_configuration&, admitted_request&) const;

    process_context& m_context;
    decision_log& m_log;
    const request_codec& m_codec;
    fleet_state& m_state;
    upstream_dispatcher& m_dispatcher;
    freshness_rule m_freshness;
    int m_inFlight = 0;
};

} // namespace rampgap
