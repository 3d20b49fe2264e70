// Carries one request to a backend server and its answer back; tries again where safe.
#pragma once

#include "daemon/answer_relay.h"
#include "daemon/configuration_node.h"
#include "entry/caller_request.h"
#include "policy/membership/pause_detector.h"
#include "policy/requests/retry_budget.h"
#include "policy/routing/backend_table.h"
#include "policy/routing/routing_policy.h"

#include <memory>
#include <vector>

namespace rampgap {

class request_dispatcher {
public:
    request_dispatcher(process_context&, http_client&, configuration_node&, crash_history&, std::unique_ptr<routing_policy>, pause_detector&);

    void apply(const declaration&);
    void recordListedLeaving(const std::vector<std::string>& names) { m_table.recordListedLeaving(names); }
    // Forgets all permits: after a pause they prove nothing.
    void dropPermits() { m_permits.clear(); }

    // Answers the exchange, whatever happens.
    awaitable<void> dispatch(http_exchange&, const caller_request&);

    const backend_table& table() const { return m_table; }
    // True once an agent's clock showed a pause that this process did not notice.
    bool takePauseSign() { return std::exchange(m_pauseSign, false); }

private:
    // How one try ended. Without a failure the caller has its answer or is gone.
    struct attempt_outcome {
        std::optional<failure> failed;
        backend_id backend = noBackend;
    };
    struct permit {
        std::string text;
        instant fetchedAt;
    };

    awaitable<std::optional<failure>> runAnywhere(http_exchange&, const caller_request&);
    awaitable<std::optional<failure>> runAtHome(http_exchange&, const caller_request&);
    awaitable<std::optional<failure>> roundOfHomes(http_exchange&, const caller_request&);
    // One try; where it was lost, the backend server's agent is asked about the request.
    awaitable<std::optional<failure>> tryAndLearn(http_exchange&, const caller_request&, backend_id, relay_progress&);
    awaitable<std::optional<failure>> tryOn(http_exchange&, const caller_request&, backend_id, relay_progress&, std::string permitText);
    awaitable<result<std::string>> permitFor(backend_id, std::uint64_t epoch);
    http_request makeUpstream(const http_request&, const caller_request&, backend_id, const relay_progress&, const std::string& permitText) const;
    void noteHead(backend_id, const http_head&);
    void noteRefusal(backend_id, const failure&);
    awaitable<void> answerFailure(http_exchange&, const caller_request&, failure, bool begun);

    process_context& m_context;
    http_client& m_client;
    configuration_node& m_configuration;
    crash_history& m_crashes;
    std::unique_ptr<routing_policy> m_routing;
    pause_detector& m_pauses;
    backend_table m_table;
    retry_budget m_budget;
    std::unordered_map<backend_id, permit> m_permits;
    bool m_pauseSign = false;
};

} // namespace rampgap
