// Decides whether this agent may run an id: it is the id's one home and can prove the id unseen.
#pragma once

#include "policy/declaration.h"
#include "policy/request_id.h"
#include "policy/verdict.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rampgap {

// What an agent says of itself to the others of its pool.
struct agent_standing {
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0;

    bool operator==(const agent_standing&) const = default;
};

// The home of an id is fixed by rendezvous hashing over the declared backends. The guard
// refuses an id until (a) after a start, every agent of the pool has shown that it has our
// revision, (b) the id life has passed since then, or the memory came back, and (c) after a change of homes, the previous home has handed its ids over.
class home_guard {
public:
    home_guard(std::string self, std::uint64_t incarnation, instant startedAt);

    // A declaration came in force; revisions only rise.
    void apply(const declaration&, instant now);
    // Another agent of the pool answered.
    void notePeer(const agent_standing&, instant now);
    // `owner` handed its ids over while it was at `revision`.
    void noteHandover(const std::string& owner, std::uint64_t revision);
    // The memory of the last incarnation, given away at `revision`, came back.
    void noteMemoryBack(std::uint64_t revision);
    // No agent keeps our memory, as far as the keepers say: the quarantine is served out.
    void noteNoMemory() { m_memorySought = true; }
    // Until `until`, ids of `owner` are ours by its own grant, made at `revision`.
    // False if our revision is another one.
    bool acceptGrant(const std::string& owner, std::uint64_t revision, instant until);
    // The owner takes its grant back; the revision of the grant if there was one.
    std::optional<std::uint64_t> withdrawGrant(const std::string& owner, instant now);
    // Our own ids were given to another agent, or we are leaving: nothing new runs here.
    void giveAway() { m_gaveAway = true; }

    result<void> check(const request_id&, instant now) const;

    agent_standing standing() const { return { m_self, m_incarnation, m_revision }; }
    // True if this agent remembers all that it ran within the id life.
    bool vouches(instant now) const;
    // True if another agent may run this agent's ids with this agent's memory alone.
    bool mayGiveAway(instant now) const;
    // Names of the agents whose handover is still missing.
    std::vector<std::string> handoversMissing() const;
    // Agents of the pool that have not yet shown our revision.
    std::vector<std::string> proofsMissing() const;
    // Agents that may keep this agent's ids while it restarts, in order of preference.
    std::vector<std::string> keepers() const;
    bool inQuarantine(instant now) const;
    // True once every agent of the pool has shown our revision after our start.
    bool proven() const { return m_proven; }
    // True if nothing is to be asked of other agents.
    bool settled() const { return m_proven && handoversMissing().empty() && majorityAtRevision(); }

private:
    // One change of homes whose former homes may still hold ids.
    struct transition {
        std::vector<std::string> previousHomes;
        std::set<std::string> missing;
        // Homes that stopped without a handover: their ids wait until `lostUntil`.
        std::set<std::string> lost;
        instant lostUntil;
    };
    struct grant {
        std::uint64_t revision;
        instant until;
    };

    void restartProof(instant now);
    void addTransition(const std::vector<std::string>& previousHomes, const declaration&, instant now);
    void dropStoppedHomes(const declaration&, instant now);
    void updateProof(instant now);
    bool majorityAtRevision() const;
    bool isHome(const std::string& home, instant now) const;
    result<void> checkTransition(const transition&, const std::string& idText, instant now) const;

    std::string m_self;
    std::uint64_t m_incarnation;
    instant m_quarantineFrom;
    milliseconds m_idLife { 0 };
    std::uint64_t m_revision = 0;
    bool m_proven = false;
    bool m_memoryBack = false;
    bool m_memorySought = false;
    bool m_gaveAway = false;
    std::optional<declaration> m_declaration;
    std::vector<std::string> m_homes;
    std::vector<std::string> m_peers;
    std::vector<transition> m_transitions;
    std::map<std::string, agent_standing> m_standings;
    std::map<std::string, grant> m_grants;
};

// The agents, in order, that may keep the ids of `owner` while it restarts.
std::vector<std::string> keepersOf(const std::string& owner, const std::vector<std::string>& homes);

} // namespace rampgap
