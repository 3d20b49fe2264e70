// All that an agent needs to run an id at most once: the guard of homes and the ledger,
// and what agents tell each other about both.
#pragma once

#include "policy/home_guard.h"
#include "policy/request_ledger.h"

namespace rampgap {

// What an agent answers to another that asks for its standing and ids.
struct handover_answer {
    agent_standing sender;
    // True if `ids` are complete for the sender's revision.
    bool vouches = false;
    // The revision of a grant that this answer ends, if there was one.
    std::optional<std::uint64_t> grantRevision;
    std::vector<std::uint64_t> ids;

    bool operator==(const handover_answer&) const = default;
};

// The ids that a leaving agent gives to one that keeps them.
struct id_deposit {
    agent_standing owner;
    milliseconds grantLife { 0 };
    std::vector<std::uint64_t> ids;

    bool operator==(const id_deposit&) const = default;
};

class execution_guard {
public:
    execution_guard(std::string self, std::uint64_t incarnation, instant startedAt, ledger_limits);

    void apply(const declaration&, instant now);

    // Claims an id for one run here. Empty: run it; an answer: it ran, send that.
    result<std::optional<stored_answer>> claim(const request_id&, std::uint64_t bodyDigest, instant now);

    handover_answer answerHandover(const agent_standing& asker, bool takeBack, instant now);
    // Takes in the answer of another agent; true if it was a handover.
    bool takeHandover(const handover_answer&, instant now);
    // Takes in the answer of the agent that kept our ids; true if the memory came back.
    bool takeMemoryBack(const handover_answer&, instant now);

    // Ends new runs here. Empty if this agent cannot vouch for its ids.
    std::optional<id_deposit> giveAway(instant now);
    bool takeDeposit(const id_deposit&, instant now);

    home_guard& homes() { return m_homes; }
    const home_guard& homes() const { return m_homes; }
    request_ledger& ledger() { return m_ledger; }

private:
    home_guard m_homes;
    request_ledger m_ledger;
    milliseconds m_idLife { 0 };
};

} // namespace rampgap
