// Lets an agent run each request id at most once: combines the check that the agent owns an id with the
// ledger of ids that have run, and exchanges both with other agents.
#pragma once

#include "policy/requests/ownership_guard.h"
#include "policy/requests/request_ledger.h"

namespace rampgap {

// An agent's answer to another agent's query for its standing and its ids.
struct handover_answer {
    agent_status sender;
    // True if `ids` is complete for the sender's revision.
    bool vouches = false;
    // The revision of the grant that this answer ends, if there was one.
    std::optional<std::uint64_t> grantRevision;
    std::vector<std::uint64_t> ids;

    bool operator==(const handover_answer&) const = default;
};

// The ids that a leaving agent hands to its standby.
struct id_deposit {
    agent_status owner;
    milliseconds grantLifetime { 0 };
    std::vector<std::uint64_t> ids;

    bool operator==(const id_deposit&) const = default;
};

class execution_guard {
public:
    execution_guard(std::string self, std::uint64_t incarnation, instant startedAt, ledger_limits);

    void apply(const declaration&, instant now);

    // Claims an id for one run on this agent. Empty: run the request. An answer: it has run, send that.
    result<std::optional<stored_answer>> claim(const request_id&, std::uint64_t bodyDigest, instant now);

    handover_answer answerHandover(const agent_status& asker, bool takeBack, instant now);
    // Merges the answer of another agent. True if its ids were complete.
    bool acceptHandover(const handover_answer&, instant now);
    // Merges the answer of the standby that held this agent's ids. True if it ended a grant, so that this agent
    // has all its ids back.
    bool restoreMemory(const handover_answer&, instant now);

    // Ends new runs on this agent and returns its ids for a standby. Empty if they may be incomplete.
    std::optional<id_deposit> handOff(instant now);
    // Accepts the ids of a leaving agent as its standby. False if this agent may not.
    bool acceptDeposit(const id_deposit&, instant now);

    ownership_guard& ownership() { return m_ownership; }
    const ownership_guard& ownership() const { return m_ownership; }
    request_ledger& ledger() { return m_ledger; }

private:
    ownership_guard m_ownership;
    request_ledger m_ledger;
    milliseconds m_idLife { 0 };
};

} // namespace rampgap
