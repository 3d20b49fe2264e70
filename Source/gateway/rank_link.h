// Reaches the ranks of a group: through the agent on the rank's machine, whose view is
// fresh, or the engine itself where the agent does not answer.
#pragma once

#include "daemon/decision_log.h"
#include "daemon/http_client.h"
#include "gateway/rank_port.h"
#include "policy/backend_directory.h"

#include <map>

namespace rampgap {

namespace gateway {
    class rank_order;
}

struct order_outcome {
    order_reply reply = order_reply::unanswered;
    std::optional<rank_view> after;
};

class rank_link {
public:
    // `agentPort`: where agents take orders, on every machine.
    rank_link(process_context&, decision_log&, rank_port&, unsigned short agentPort);

    // Gives an order and reads the state after it. Holds and releases go to the engine itself,
    // so that the group waits for this machine alone. A preparation is answered when its copy
    // is complete, or after `wait`. `base`: what the agents hold already, without contents
    // if that is not known.
    awaitable<order_outcome> order(listed_backend, map_order, milliseconds wait, numbered_placement base);
    // As the engine itself tells from afar; not fresh.
    awaitable<std::optional<rank_view>> view(listed_backend);
    awaitable<std::optional<rank_experts>> experts(listed_backend);

    // The agent's side: carries out what a leader asks of the engine here.
    awaitable<http_response> serve(const http_request&, std::string engineAddress);

private:
    awaitable<result<http_response>> send(const std::string& agent, gateway::rank_order, milliseconds wait);
    awaitable<order_outcome> orderDirectly(const listed_backend&, const map_order&);
    // The rank's state as its agent reads it; none if the agent does not answer.
    awaitable<std::optional<rank_view>> agentView(const listed_backend&);
    std::string agentOf(const listed_backend&) const;
    awaitable<void> awaitPrepared(const std::string& engineAddress, std::uint64_t placement, instant until);

    process_context& m_context;
    decision_log& m_log;
    rank_port& m_port;
    unsigned short m_agentPort;
    http_client m_client;
    // Placements that were prepared here, the last few.
    std::map<std::uint64_t, std::shared_ptr<const group_placement>> m_prepared;
};

// Where an agent takes orders.
inline constexpr const char* rankOrderPath = "/rank/order";

} // namespace rampgap
