#include "policy/home_guard.h"

#include "policy/rendezvous.h"
#include <algorithm>

namespace rampgap {

namespace {

    constexpr std::size_t keeperCount = 2;
    constexpr milliseconds soon { 1'000 };

    failure refuse(failure_reason reason, std::string message, duration retryAfter)
    {
        return notRun(reason, std::move(message), std::chrono::ceil<milliseconds>(retryAfter));
    }

    std::vector<std::string> without(std::vector<std::string> names, const std::string& name)
    {
        std::erase(names, name);
        return names;
    }

} // namespace

std::vector<std::string> keepersOf(const std::string& owner, const std::vector<std::string>& homes)
{
    return rendezvousRank(owner, without(homes, owner), keeperCount);
}

home_guard::home_guard(std::string self, std::uint64_t incarnation, instant startedAt)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_quarantineFrom(startedAt)
{
}

void home_guard::apply(const declaration& current, instant now)
{
    if (current.link().revision <= m_revision)
        return;
    m_idLife = current.rules().idLife;
    const backend_declaration* own = current.findBackend(m_self);
    const std::string service = own ? own->serves : "";
    const bool known = m_declaration.has_value();
    // Homes of a revision that was never seen are unknown: prove everything anew.
    const bool skipped = known && current.link().baseRevision != m_revision;

    std::vector<std::string> homes = current.homesOf(service);
    if (skipped)
        restartProof(now);
    else if (known && m_declaration->homesOf(service) != homes)
        addTransition(m_declaration->homesOf(service), current, now);
    dropStoppedHomes(current, now);

    m_homes = std::move(homes);
    m_peers = without(current.poolOf(service), m_self);
    m_revision = current.link().revision;
    m_declaration = current;
    updateProof(now);
}

void home_guard::restartProof(instant now)
{
    m_quarantineFrom = now;
    m_memoryBack = false;
    m_proven = false;
    m_transitions.clear();
}

void home_guard::addTransition(const std::vector<std::string>& previousHomes, const declaration& current, instant now)
{
    transition change { previousHomes, {}, {}, now + m_idLife };
    for (const auto& name : without(previousHomes, m_self))
        change.missing.insert(name);
    m_transitions.push_back(std::move(change));
    dropStoppedHomes(current, now);
}

// A home that is declared stopped, or no more declared, can hand nothing over.
void home_guard::dropStoppedHomes(const declaration& current, instant now)
{
    for (auto& change : m_transitions) {
        const auto stopped = [&](const std::string& name) {
            const backend_declaration* home = current.findBackend(name);
            return !home || home->stopped;
        };
        for (auto name = change.missing.begin(); name != change.missing.end();) {
            if (!stopped(*name)) {
                ++name;
                continue;
            }
            change.lost.insert(*name);
            change.lostUntil = now + m_idLife;
            name = change.missing.erase(name);
        }
    }
    // Handed-over ids are in the ledger, so a complete change need not be kept.
    std::erase_if(m_transitions, [&](const transition& change) {
        return change.missing.empty() && (change.lost.empty() || now >= change.lostUntil) && majorityAtRevision();
    });
}

void home_guard::notePeer(const agent_standing& peer, instant now)
{
    agent_standing& known = m_standings[peer.name];
    // A late answer of an earlier incarnation or revision says nothing new.
    const bool older = peer.incarnation < known.incarnation || (peer.incarnation == known.incarnation && peer.revision < known.revision);
    if (!older)
        known = peer;
    updateProof(now);
}

void home_guard::noteHandover(const std::string& owner, std::uint64_t revision)
{
    if (revision < m_revision)
        return;
    for (auto& change : m_transitions)
        change.missing.erase(owner);
}

// Under another revision, others may have run ids that are ours now: only the same
// revision makes the returned memory complete.
void home_guard::noteMemoryBack(std::uint64_t revision)
{
    if (revision == m_revision)
        m_memoryBack = true;
}

bool home_guard::acceptGrant(const std::string& owner, std::uint64_t revision, instant until)
{
    if (revision != m_revision || m_gaveAway)
        return false;
    m_grants[owner] = { revision, until };
    return true;
}

std::optional<std::uint64_t> home_guard::withdrawGrant(const std::string& owner, instant now)
{
    const auto found = m_grants.find(owner);
    if (found == m_grants.end())
        return std::nullopt;
    const grant withdrawn = found->second;
    m_grants.erase(found);
    if (now >= withdrawn.until)
        return std::nullopt;
    return withdrawn.revision;
}

bool home_guard::majorityAtRevision() const
{
    const auto agreed = std::count_if(m_peers.begin(), m_peers.end(), [&](const std::string& name) {
        const auto peer = m_standings.find(name);
        return peer != m_standings.end() && peer->second.revision >= m_revision;
    });
    return 2 * (static_cast<std::size_t>(agreed) + 1) > m_peers.size() + 1;
}

std::vector<std::string> home_guard::proofsMissing() const
{
    std::vector<std::string> names;
    for (const auto& name : m_peers) {
        const auto peer = m_standings.find(name);
        if (peer == m_standings.end() || peer->second.revision != m_revision)
            names.push_back(name);
    }
    return names;
}

// After a start the agent knows neither whether its revision is stale nor which agents
// still act on an older one. Both are settled once each agent of the pool shows the same
// revision: an agent with a later one would show it, one with an older one would lag.
// The quarantine counts from then: until then others may have run ids that are ours.
void home_guard::updateProof(instant now)
{
    if (m_proven || m_revision == 0 || !proofsMissing().empty())
        return;
    m_proven = true;
    m_quarantineFrom = now;
}

bool home_guard::inQuarantine(instant now) const
{
    return !m_memoryBack && now - m_quarantineFrom < m_idLife;
}

// Own runs are enough: who asks has its own record of every change of homes since its
// proof, and asks each former home itself. To wait for handovers here as well would let
// two agents wait for each other for ever.
bool home_guard::vouches(instant now) const
{
    return m_proven && !inQuarantine(now);
}

bool home_guard::mayGiveAway(instant now) const
{
    const bool settled = std::all_of(m_transitions.begin(), m_transitions.end(), [&](const transition& change) {
        return change.missing.empty() && (change.lost.empty() || now >= change.lostUntil);
    });
    return vouches(now) && settled;
}

bool home_guard::isHome(const std::string& home, instant now) const
{
    if (home == m_self)
        return true;
    const auto found = m_grants.find(home);
    return found != m_grants.end() && found->second.revision == m_revision && now < found->second.until;
}

result<void> home_guard::check(const request_id& id, instant now) const
{
    const std::string text = id.text();
    if (m_gaveAway)
        return refuse(failure_reason::leaving, "this backend server is leaving", soon);
    if (!isHome(std::string(rendezvousPick(text, m_homes)), now))
        return refuse(failure_reason::not_home, "this backend server is not the home of the id", soon);
    if (!m_proven)
        return refuse(failure_reason::unproven, "not all agents of the pool have shown the same revision since the start", soon);
    if (inQuarantine(now))
        return refuse(failure_reason::unproven, "started without memory: it cannot prove that the id has not run", m_memorySought ? m_quarantineFrom + m_idLife - now : duration(soon));
    for (const auto& change : m_transitions) {
        auto settled = checkTransition(change, text, now);
        if (!settled)
            return settled;
    }
    return boost::outcome_v2::success();
}

result<void> home_guard::checkTransition(const transition& change, const std::string& idText, instant now) const
{
    const std::string previous(rendezvousPick(idText, change.previousHomes));
    if (previous == m_self || previous.empty())
        return boost::outcome_v2::success();
    if (change.missing.contains(previous) || !majorityAtRevision())
        return refuse(failure_reason::unproven, "the id's previous home has not handed over", soon);
    if (change.lost.contains(previous) && now < change.lostUntil)
        return refuse(failure_reason::unproven, "the id's previous home stopped without a handover", change.lostUntil - now);
    return boost::outcome_v2::success();
}

std::vector<std::string> home_guard::handoversMissing() const
{
    std::set<std::string> names;
    for (const auto& change : m_transitions)
        names.insert(change.missing.begin(), change.missing.end());
    return { names.begin(), names.end() };
}

std::vector<std::string> home_guard::keepers() const
{
    return keepersOf(m_self, m_homes);
}

} // namespace rampgap
