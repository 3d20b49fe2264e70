// This agent's part in an expert group: guards its rank and, as the first rank's agent,
// coordinates the group's map switches.
#pragma once

#include "daemon/boot_timer.h"
#include "daemon/configuration_node.h"
#include "discovery/rank_engine.h"
#include "policy/groups/map_coordinator.h"
#include "policy/groups/map_participant.h"
#include "policy/groups/popularity_estimate.h"
#include "policy/groups/rebalancer.h"
#include "policy/groups/straggler_detector.h"

#include <memory>
#include <optional>

namespace rampgap {

class group_member {
public:
    group_member(process_context&, http_client&, peer_client&, const configuration_node&, std::string engine, milliseconds rebalanceInterval);

    void start();
    void apply(const declaration&);
    awaitable<wire::GroupMessage> answer(wire::GroupMessage);
    // Step-time figures for the operators' pages, as a JSON object; empty without a group.
    std::string describe() const;

private:
    awaitable<wire::GroupMessage> answerInTurn(wire::GroupMessage);
    struct coordination {
        coordination(const group_declaration&, std::string owner);
        map_coordinator coordinator;
        popularity_estimate popularity;
        straggler_detector stragglers;
        expert_placement placement;
        expert_placement proposed;
        std::unique_ptr<rebalancer> policy;
        instant nextDecision;
        double skew = 1;
        std::size_t weightsMoved = 0;
    };

    awaitable<void> coordinate();
    awaitable<void> exchangePending();
    // Sends it, and cancels `done` after the last of the `open` messages.
    awaitable<void> sendCounted(rank_message, std::shared_ptr<std::size_t> open, boot_timer& done);
    awaitable<void> sendTo(rank_message);
    awaitable<void> decide();
    awaitable<bool> readReports();
    void noteOutcome(coordinator_phase before);
    wire::GroupMessage toWire(const map_message&) const;
    std::string peerOf(std::size_t rank) const;

    process_context& m_context;
    peer_client& m_peers;
    const configuration_node& m_configuration;
    std::unique_ptr<rank_engine> m_engine;
    milliseconds m_rebalanceInterval;
    std::optional<group_declaration> m_group;
    std::optional<map_participant> m_participant;
    std::unique_ptr<coordination> m_coordination;
    // Counts claims of this process, so that no two coordinators share an owner's name.
    std::uint64_t m_coordinations = 0;
    std::uint64_t m_outrankedTurns = 0;
    // True while an answer is being worked out.
    bool m_answering = false;
};

} // namespace rampgap
