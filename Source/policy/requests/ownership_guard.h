// Decides whether this agent may run the request with an id that may run at most once. The agent must be
// the only owner of the id, and must know that no agent has run it.
#pragma once

#include "policy/common/verdict.h"
#include "policy/configuration/declaration.h"
#include "policy/requests/request_id.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rampgap {

// State that an agent reports to the other agents of its pool.
struct agent_status {
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0;

    bool operator==(const agent_status&) const = default;
};

// Rendezvous hashing over the declared backends gives the owner of an id. The guard refuses an id
// until (a) after a start, every agent of the pool has reported our revision, (b) the id life has
// passed since then, or the record of the previous incarnation's ids was restored, and (c) after a
// change of owners, the previous owner has handed its ids over.
class ownership_guard {
public:
    ownership_guard(std::string self, std::uint64_t incarnation, instant startedAt);

    // A declaration came into force; revisions only increase.
    void apply(const declaration&, instant now);
    // Another agent of the pool answered.
    void mergePeerState(const agent_status&, instant now);
    // `owner` handed its ids over while it was at `revision`.
    void recordHandover(const std::string& owner, std::uint64_t revision);
    // A standby returned the ids of the previous incarnation, which it took over at `revision`.
    void recordMemoryRestored(std::uint64_t revision);
    // As far as known, no standby holds ids of the previous incarnation: the quarantine lasts its full time.
    void recordMemoryUnavailable() { m_memoryUnavailable = true; }
    // `owner` grants its ids to this agent until `until`, as of `revision`. False if our revision
    // is another one or we have released our own ids.
    bool acceptGrant(const std::string& owner, std::uint64_t revision, instant until);
    // The owner withdraws its grant; the revision of the grant if it was still valid.
    std::optional<std::uint64_t> withdrawGrant(const std::string& owner, instant now);
    // Our ids were granted to another agent, or we are leaving: no new id runs here.
    void releaseOwnership() { m_ownershipReleased = true; }

    result<void> check(const request_id&, instant now) const;

    agent_status status() const { return { m_self, m_incarnation, m_revision }; }
    // True if this agent knows all ids that it ran within the id life.
    bool remembersAllRuns(instant now) const;
    // True if another agent may own this agent's ids with what this agent knows alone.
    bool mayReleaseOwnership(instant now) const;
    // Names of the agents whose handover is still pending.
    std::vector<std::string> pendingHandovers() const;
    // Agents of the pool that have not yet reported our revision.
    std::vector<std::string> unconfirmedAgents() const;
    // Agents that may hold this agent's ids while it restarts, in order of preference.
    std::vector<std::string> standbys() const;
    bool inQuarantine(instant now) const;
    // True once every agent of the pool has reported our revision after our start.
    bool revisionConfirmed() const { return m_revisionConfirmed; }
    // True if all agents of the pool have reported our revision after our start, no handover is pending
    // and a majority of the pool is at our revision or a later one.
    bool allConfirmed() const { return m_revisionConfirmed && pendingHandovers().empty() && majorityAtRevision(); }

private:
    // A change of owners whose previous owners may not have handed their ids over.
    struct transition {
        std::vector<std::string> previousOwners;
        std::set<std::string> pending;
        // Owners that stopped without a handover: their ids are refused until `lostUntil`.
        std::set<std::string> lost;
        instant lostUntil;
    };
    struct grant {
        std::uint64_t revision;
        instant until;
    };

    void restartConfirmation(instant now);
    void addTransition(const std::vector<std::string>& previousOwners, const declaration&, instant now);
    void dropStoppedOwners(const declaration&, instant now);
    void updateConfirmation(instant now);
    bool majorityAtRevision() const;
    bool ownsIdsOf(const std::string& owner, instant now) const;
    result<void> checkTransition(const transition&, const std::string& idText, instant now) const;

    std::string m_self;
    std::uint64_t m_incarnation;
    instant m_quarantineFrom;
    milliseconds m_idLife { 0 };
    std::uint64_t m_revision = 0;
    bool m_revisionConfirmed = false;
    bool m_memoryRestored = false;
    bool m_memoryUnavailable = false;
    bool m_ownershipReleased = false;
    std::optional<declaration> m_declaration;
    std::vector<std::string> m_owners;
    std::vector<std::string> m_peers;
    std::vector<transition> m_transitions;
    std::map<std::string, agent_status> m_statuses;
    std::map<std::string, grant> m_grants;
};

// The agents that may hold the ids of `owner` while it restarts, in order of preference.
std::vector<std::string> standbysOf(const std::string& owner, const std::vector<std::string>& owners);

} // namespace rampgap
