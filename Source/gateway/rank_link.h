// Reaches the ranks of a group through the agents on their machines, whose view is fresh, and
// the engine itself where its agent does not answer.
#pragma once

#include "daemon/decision_log.h"
#include "daemon/http_client.h"
#include "gateway/rank_port.h"
#include "policy/backend_directory.h"
#include "policy/call_tree.h"
#include "policy/expert_choice_counter.h"

#include <functional>
#include <map>

namespace rampgap {

// What a leader asks of ranks: an order, or only their state.
struct group_question {
    std::string leader;
    std::string group;
    std::optional<map_order> order;
    // Which experts were chosen since the last such question.
    bool wantsChoices = false;
};

struct rank_outcome {
    std::uint32_t index = 0;
    // False if neither the agent nor, for a silent agent, the engine answered.
    bool reached = false;
    order_reply reply = order_reply::unanswered;
    std::optional<rank_view> after;
};

// Ranks that nobody tried to reach are left out.
struct group_outcome {
    std::vector<rank_outcome> ranks;
    std::vector<std::uint64_t> choices;
};

class rank_link {
public:
    // `agentPort`: where agents take calls, on every machine. `ownEngine`: "host:port".
    rank_link(process_context&, decision_log&, rank_port&, unsigned short agentPort, std::string ownEngine);

    // Asks all targets, from agent to agent, and returns within about `budget`. A preparation
    // is answered when its copy is complete, or late in the budget.
    awaitable<group_outcome> call(group_question, std::vector<call_target>, milliseconds budget);
    // Gives an order to the engine itself, so that the group waits for this machine alone, and
    // reads the state after it through its agent.
    awaitable<rank_outcome> orderDirectly(group_question, call_target);
    awaitable<std::optional<rank_experts>> experts(std::string address);
    // The contents of a placement that the own engine was ordered to prepare; null if that was
    // too long ago.
    std::shared_ptr<const group_placement> prepared(std::uint64_t placement) const;

    // The agent's side: answers for the own engine and passes the call on.
    awaitable<http_response> serve(const http_request&);
    // Called with the leader and the group of each call that was served.
    void onCalled(std::function<void(const std::string& leader, const std::string& group)> action) { m_onCalled = std::move(action); }

private:
    struct gathering;

    awaitable<void> askHere(std::shared_ptr<gathering>, group_question, call_target, instant until);
    awaitable<void> askEngine(std::shared_ptr<gathering>, group_question, call_target);
    awaitable<void> askPart(std::shared_ptr<gathering>, group_question, std::vector<call_target>, instant until);
    // True if the agent answered for the whole part.
    awaitable<bool> passOn(std::shared_ptr<gathering>, group_question, std::vector<call_target>, instant until);
    awaitable<std::optional<rank_view>> viewFromAfar(std::string address);
    awaitable<order_reply> orderHere(map_order, std::string backendId, instant until);
    awaitable<void> awaitPrepared(std::uint64_t placement, instant until);
    std::string agentOf(const std::string& engineAddress) const;

    process_context& m_context;
    decision_log& m_log;
    rank_port& m_port;
    unsigned short m_agentPort;
    std::string m_ownEngine;
    http_client m_client;
    expert_choice_counter m_choices;
    std::map<std::uint64_t, std::shared_ptr<const group_placement>> m_prepared;
    std::function<void(const std::string&, const std::string&)> m_onCalled;
};

// Where an agent takes calls.
inline constexpr const char* groupCallPath = "/group/call";

} // namespace rampgap
