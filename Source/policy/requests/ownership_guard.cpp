#include "policy/requests/ownership_guard.h"

#include "policy/membership/rendezvous.h"
#include <algorithm>

namespace rampgap {

namespace {

    constexpr std::size_t standbyCount = 2;
    constexpr milliseconds defaultRetryAfter { 1'000 };

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

std::vector<std::string> standbysOf(const std::string& owner, const std::vector<std::string>& owners)
{
    return rendezvousRank(owner, without(owners, owner), standbyCount);
}

ownership_guard::ownership_guard(std::string self, std::uint64_t incarnation, instant startedAt)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_quarantineFrom(startedAt)
{
}

void ownership_guard::apply(const declaration& current, instant now)
{
    if (current.link().revision <= m_revision)
        return;
    m_idLife = current.rules().idLife;
    const backend_declaration* own = current.findBackend(m_self);
    const std::string service = own ? own->serves : "";
    const bool known = m_declaration.has_value();
    // The owners of a skipped revision are unknown, so everything must be confirmed again.
    const bool skipped = known && current.link().baseRevision != m_revision;

    std::vector<std::string> owners = current.ownersOf(service);
    if (skipped)
        restartConfirmation(now);
    else if (known && m_declaration->ownersOf(service) != owners)
        addTransition(m_declaration->ownersOf(service), current, now);
    dropStoppedOwners(current, now);

    m_owners = std::move(owners);
    m_peers = without(current.poolOf(service), m_self);
    m_revision = current.link().revision;
    m_declaration = current;
    updateConfirmation(now);
}

void ownership_guard::restartConfirmation(instant now)
{
    m_quarantineFrom = now;
    m_memoryRestored = false;
    m_revisionConfirmed = false;
    m_transitions.clear();
}

void ownership_guard::addTransition(const std::vector<std::string>& previousOwners, const declaration& current, instant now)
{
    transition change { previousOwners, {}, {}, now + m_idLife };
    for (const auto& name : without(previousOwners, m_self))
        change.pending.insert(name);
    m_transitions.push_back(std::move(change));
    dropStoppedOwners(current, now);
}

// An owner that is declared stopped, or no longer declared, cannot hand anything over.
void ownership_guard::dropStoppedOwners(const declaration& current, instant now)
{
    for (auto& change : m_transitions) {
        const auto stopped = [&](const std::string& name) {
            const backend_declaration* owner = current.findBackend(name);
            return !owner || owner->stopped;
        };
        for (auto name = change.pending.begin(); name != change.pending.end();) {
            if (!stopped(*name)) {
                ++name;
                continue;
            }
            change.lost.insert(*name);
            change.lostUntil = now + m_idLife;
            name = change.pending.erase(name);
        }
    }
    // Handed-over ids are in the ledger, so a completed change need not be kept.
    std::erase_if(m_transitions, [&](const transition& change) {
        return change.pending.empty() && (change.lost.empty() || now >= change.lostUntil) && majorityAtRevision();
    });
}

void ownership_guard::mergePeerState(const agent_status& peer, instant now)
{
    agent_status& known = m_statuses[peer.name];
    // A late answer of an earlier incarnation or revision is outdated.
    const bool older = peer.incarnation < known.incarnation || (peer.incarnation == known.incarnation && peer.revision < known.revision);
    if (!older)
        known = peer;
    updateConfirmation(now);
}

void ownership_guard::recordHandover(const std::string& owner, std::uint64_t revision)
{
    if (revision < m_revision)
        return;
    for (auto& change : m_transitions)
        change.pending.erase(owner);
}

// At another revision, other agents may have run ids that are ours now: the returned ids are
// complete only at the same revision.
void ownership_guard::recordMemoryRestored(std::uint64_t revision)
{
    if (revision == m_revision)
        m_memoryRestored = true;
}

bool ownership_guard::acceptGrant(const std::string& owner, std::uint64_t revision, instant until)
{
    if (revision != m_revision || m_ownershipReleased)
        return false;
    m_grants[owner] = { revision, until };
    return true;
}

std::optional<std::uint64_t> ownership_guard::withdrawGrant(const std::string& owner, instant now)
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

bool ownership_guard::majorityAtRevision() const
{
    const auto agreed = std::count_if(m_peers.begin(), m_peers.end(), [&](const std::string& name) {
        const auto peer = m_statuses.find(name);
        return peer != m_statuses.end() && peer->second.revision >= m_revision;
    });
    return 2 * (static_cast<std::size_t>(agreed) + 1) > m_peers.size() + 1;
}

std::vector<std::string> ownership_guard::unconfirmedAgents() const
{
    std::vector<std::string> names;
    for (const auto& name : m_peers) {
        const auto peer = m_statuses.find(name);
        if (peer == m_statuses.end() || peer->second.revision != m_revision)
            names.push_back(name);
    }
    return names;
}

// After a start the agent knows neither whether its revision is stale nor which agents still act
// on an older one. Neither is possible once every agent of the pool has reported the same revision.
// The quarantine counts from then, because other agents may have run our ids before.
void ownership_guard::updateConfirmation(instant now)
{
    if (m_revisionConfirmed || m_revision == 0 || !unconfirmedAgents().empty())
        return;
    m_revisionConfirmed = true;
    m_quarantineFrom = now;
}

bool ownership_guard::inQuarantine(instant now) const
{
    return !m_memoryRestored && now - m_quarantineFrom < m_idLife;
}

// Knowing our own runs is enough: the agent that asks tracks every change of owners since its own
// confirmation and asks each previous owner itself. If we waited for handovers here as well, two
// agents could wait for each other forever.
bool ownership_guard::remembersAllRuns(instant now) const
{
    return m_revisionConfirmed && !inQuarantine(now);
}

bool ownership_guard::mayReleaseOwnership(instant now) const
{
    const bool settled = std::all_of(m_transitions.begin(), m_transitions.end(), [&](const transition& change) {
        return change.pending.empty() && (change.lost.empty() || now >= change.lostUntil);
    });
    return remembersAllRuns(now) && settled;
}

bool ownership_guard::ownsIdsOf(const std::string& owner, instant now) const
{
    if (owner == m_self)
        return true;
    const auto found = m_grants.find(owner);
    return found != m_grants.end() && found->second.revision == m_revision && now < found->second.until;
}

result<void> ownership_guard::check(const request_id& id, instant now) const
{
    const std::string text = id.text();
    if (m_ownershipReleased)
        return refuse(failure_reason::leaving, "this backend server is leaving", defaultRetryAfter);
    if (!ownsIdsOf(std::string(rendezvousPick(text, m_owners)), now))
        return refuse(failure_reason::not_home, "this backend server is not the owner of the id", defaultRetryAfter);
    if (!m_revisionConfirmed)
        return refuse(failure_reason::unproven, "not all agents of the pool have reported the same revision since the start", defaultRetryAfter);
    if (inQuarantine(now))
        return refuse(failure_reason::unproven, "started without the ids of a previous run: cannot rule out that the id has run", m_memoryUnavailable ? m_quarantineFrom + m_idLife - now : duration(defaultRetryAfter));
    for (const auto& change : m_transitions) {
        auto settled = checkTransition(change, text, now);
        if (!settled)
            return settled;
    }
    return boost::outcome_v2::success();
}

result<void> ownership_guard::checkTransition(const transition& change, const std::string& idText, instant now) const
{
    const std::string previous(rendezvousPick(idText, change.previousOwners));
    if (previous == m_self || previous.empty())
        return boost::outcome_v2::success();
    if (change.pending.contains(previous) || !majorityAtRevision())
        return refuse(failure_reason::unproven, "the id's previous owner has not handed it over, or most agents of the pool are at an older revision", defaultRetryAfter);
    if (change.lost.contains(previous) && now < change.lostUntil)
        return refuse(failure_reason::unproven, "the id's previous owner stopped without a handover", change.lostUntil - now);
    return boost::outcome_v2::success();
}

std::vector<std::string> ownership_guard::pendingHandovers() const
{
    std::set<std::string> names;
    for (const auto& change : m_transitions)
        names.insert(change.pending.begin(), change.pending.end());
    return { names.begin(), names.end() };
}

std::vector<std::string> ownership_guard::standbys() const
{
    return standbysOf(m_self, m_owners);
}

} // namespace rampgap
