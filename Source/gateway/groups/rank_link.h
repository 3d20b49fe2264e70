// Sends orders and queries to the ranks of a group. Each goes to the agent on the rank's machine, which passes it to its engine and
// on to other agents; where an agent does not answer, the rank's engine is called directly.
#pragma once

#include "daemon/decision_log.h"
#include "daemon/http_client.h"
#include "gateway/groups/rank_port.h"
#include "policy/groups/call_tree.h"
#include "policy/groups/expert_choice_counter.h"
#include "policy/routing/backend_directory.h"

#include <functional>
#include <map>

namespace rampgap {

// A leader's call to ranks: an order, or only a query of their state.
struct group_query {
    std::string leader;
    std::string group;
    std::optional<map_order> order;
    // Also asks how often each expert was chosen since the last such query.
    bool wantsExpertCounts = false;
};

struct rank_outcome {
    std::uint32_t index = 0;
    // False if the agent, or the engine of a silent agent, did not answer.
    bool reached = false;
    order_reply reply = order_reply::unanswered;
    std::optional<rank_view> after;
};

// Ranks that nobody tried to reach are missing.
struct group_outcome {
    std::vector<rank_outcome> ranks;
    std::vector<std::uint64_t> expertCounts;
};

// Who sent an order to the engine.
enum class order_path {
    // The agent on the engine's machine.
    own_agent,
    // Another machine, since that agent is silent.
    past_agent,
    // The leader, so that nobody else's delay is added.
    leader,
};

class rank_link {
public:
    // `agentPort`: the port on which agents receive calls, on every machine. `ownEngine`: "host:port".
    rank_link(process_context&, decision_log&, rank_port&, unsigned short agentPort, std::string ownEngine);

    // Calls all targets, forwarded from agent to agent, and returns within about `budget`. An order to
    // prepare is answered when the copy is complete, or late in the budget.
    awaitable<group_outcome> call(group_query, std::vector<call_target>, milliseconds budget);
    // Sends an order straight to the engine, so that the group waits only for this machine, and reads the
    // state after it through its agent.
    awaitable<rank_outcome> orderDirectly(group_query, call_target);
    awaitable<std::optional<rank_experts>> experts(std::string address);
    // The contents of a placement that this agent has passed to its engine to prepare; null if it keeps them no more. It keeps the
    // last few only.
    std::shared_ptr<const group_placement> prepared(std::uint64_t placement) const;

    // The highest fence of an order that was sent to the own engine; 0 if none was.
    std::uint64_t highestFence() const { return m_highestFence; }

    // The agent's side: answers for the own engine and forwards the call.
    awaitable<http_response> serve(const http_request&);
    // Called with each state of the own engine that is read for a call.
    void onOwnState(std::function<void(const rank_view&)> action) { m_onOwnState = std::move(action); }
    // Called with the leader and the group of each call that was served.
    void onCalled(std::function<void(const std::string& leader, const std::string& group)> action) { m_onCalled = std::move(action); }

private:
    struct pending_group_call;
    // The last order that an engine has carried out for this process, without its agent.
    struct answered_order {
        map_order order;
        order_reply reply;
        instant at;
    };

    awaitable<void> callOwnEngine(std::shared_ptr<pending_group_call>, group_query, call_target, instant until);
    awaitable<void> callEngineDirectly(std::shared_ptr<pending_group_call>, group_query, call_target);
    awaitable<void> callPart(std::shared_ptr<pending_group_call>, group_query, std::vector<call_target>, instant until);
    // Forwards the call for a part of the ranks to the first one's agent. True if it answered for all.
    awaitable<bool> forwardCall(std::shared_ptr<pending_group_call>, group_query, std::vector<call_target>, instant until);
    // Sends the order unless the engine has carried out the same one already.
    awaitable<order_answer> orderEngineOnce(const call_target&, map_order);
    awaitable<std::optional<rank_view>> readEngineState(std::string address);
    awaitable<std::optional<rank_view>> readOwnState();
    awaitable<order_answer> orderOwnEngine(map_order, std::string backendId, instant until);
    awaitable<void> awaitPrepared(std::uint64_t placement, instant until);
    std::string agentAddress(const std::string& engineAddress) const;
    // Logs an order with its answer and the state that was read after it.
    void logOrder(const map_order&, const std::string& backendId, const rank_outcome&, order_path);

    process_context& m_context;
    decision_log& m_log;
    rank_port& m_port;
    unsigned short m_agentPort;
    std::string m_ownEngine;
    http_client m_client;
    expert_choice_counter m_expertCounts;
    // By address.
    std::map<std::string, answered_order> m_answeredOrders;
    std::map<std::uint64_t, std::shared_ptr<const group_placement>> m_prepared;
    std::uint64_t m_highestFence = 0;
    std::function<void(const std::string&, const std::string&)> m_onCalled;
    std::function<void(const rank_view&)> m_onOwnState;
};

// Path on which an agent receives calls.
inline constexpr const char* groupCallPath = "/group/call";

} // namespace rampgap
