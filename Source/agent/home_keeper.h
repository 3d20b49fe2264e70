// Carries out what the home guard needs from other agents: proofs, handovers, grants.
#pragma once

#include "daemon/boot_timer.h"
#include "daemon/configuration_node.h"
#include "policy/requests/execution_guard.h"

namespace rampgap {

class home_keeper {
public:
    home_keeper(process_context&, peer_client&, const configuration_node&, execution_guard&);

    void start();
    // Asks at once instead of at the next turn.
    void poke();
    // On a planned stop: gives the ids to an agent that keeps them.
    awaitable<void> giveAway();

    wire::HandoverReply answer(const wire::HandoverRequest&);
    wire::DepositReply answer(const wire::DepositRequest&);

private:
    awaitable<void> loop();
    awaitable<void> askForProof(std::string name);
    awaitable<void> askForHandover(std::string name);
    awaitable<void> restoreMemory();
    // True once no further answer of a keeper can bring the memory back.
    awaitable<bool> askKeepers();
    std::string peerAddress(const std::string& name) const;
    wire::HandoverRequest makeRequest(bool takeBack, bool wantIds) const;
    agent_status standingOf(const wire::Standing&);
    handover_answer answerOf(const wire::HandoverReply&);

    process_context& m_context;
    peer_client& m_peers;
    const configuration_node& m_configuration;
    execution_guard& m_guard;
    boot_timer m_timer;
    bool m_memorySought = false;
    int m_memoryTurns = 0;
};

} // namespace rampgap
