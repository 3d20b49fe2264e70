// Receives callers' requests, checks them against the configuration in force and hands
// the admitted ones on.
#pragma once

#include "gateway/upstream_dispatcher.h"

namespace rampgap {

class gateway_server : public http_handler {
public:
    gateway_server(process_context&, decision_log&, const request_codec&, fleet_state&, upstream_dispatcher&, freshness_rule);

    awaitable<void> handle(http_exchange&) override;
    int inFlight() const { return m_inFlight; }

private:
    // Returns once there is a configuration, or soon after a start without one.
    awaitable<void> awaitConfiguration(http_exchange&);
    // Returns once keys may be used, or when waiting longer serves nobody.
    awaitable<void> awaitProof(http_exchange&, const gateway_request&);
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
