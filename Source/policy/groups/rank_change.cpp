#include "policy/groups/rank_change.h"

#include <algorithm>
#include <array>

namespace rampgap {

namespace {

    constexpr std::array<std::string_view, 11> phaseNames { "claiming", "securing", "preparing", "holding", "arming", "arming_own", "releasing", "disarming_leader", "disarming", "releasing_aborted", "done" };

} // namespace

bool isDone(order_reply reply)
{
    return reply == order_reply::accepted || reply == order_reply::already;
}

std::size_t holderFor(std::size_t leaderRank, std::size_t ranks)
{
    return ranks == 0 ? 0 : (leaderRank + 1) % ranks;
}

std::string_view toString(switch_phase phase)
{
    const auto index = static_cast<std::size_t>(phase);
    return index < phaseNames.size() ? phaseNames[index] : "failed";
}

rank_change::rank_change(std::uint64_t epoch, std::size_t ranks, std::uint64_t fence)
    : m_epoch(epoch)
    , m_fence(fence)
    , m_confirmed(ranks, false)
    , m_armed(ranks, neverPrepared)
{
}

void rank_change::enter(switch_phase phase)
{
    m_phase = phase;
    std::fill(m_confirmed.begin(), m_confirmed.end(), false);
    if (m_skippedRank)
        m_confirmed[*m_skippedRank] = true;
}

void rank_change::fail(std::string reason)
{
    m_reason = std::move(reason);
    m_phase = switch_phase::failed;
}

bool rank_change::allConfirmed() const
{
    return std::all_of(m_confirmed.begin(), m_confirmed.end(), [](bool confirmed) { return confirmed; });
}

map_order rank_change::orderOf(map_order_kind kind, std::uint64_t placement, std::uint64_t step) const
{
    map_order order;
    order.kind = kind;
    order.placement = placement;
    order.step = step;
    order.epoch = m_epoch;
    order.fence = m_fence;
    return order;
}

std::vector<rank_order_to_send> rank_change::toUnconfirmed(const map_order& order) const
{
    std::vector<rank_order_to_send> orders;
    for (std::size_t rank = 0; rank < m_confirmed.size(); ++rank) {
        if (!m_confirmed[rank])
            orders.push_back({ rank, order });
    }
    return orders;
}

std::vector<rank_order_to_send> rank_change::pending() const
{
    switch (m_phase) {
    case switch_phase::disarming_leader:
        return { { m_lastRank, orderOf(map_order_kind::disarm, m_armed[m_lastRank], 0) } };
    case switch_phase::disarming:
        return pendingDisarms();
    case switch_phase::releasing:
    case switch_phase::releasing_aborted:
        return pendingReleases();
    case switch_phase::done:
    case switch_phase::failed:
        return {};
    default:
        return pendingInPhase();
    }
}

std::vector<rank_order_to_send> rank_change::pendingDisarms() const
{
    auto orders = toUnconfirmed(orderOf(map_order_kind::disarm, 0, 0));
    for (auto& next : orders)
        next.order.placement = m_armed[next.rank];
    return orders;
}

// An answer without any state after it counts for nothing: it may be the second copy of an earlier one, after which the reading of
// the state finds the answer to the order, and is none.
void rank_change::handleReply(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
{
    // A new epoch starts with placement 0 and nothing prepared, armed or held.
    if (after && after->epoch > m_epoch) {
        fail("the group has a new epoch");
        return;
    }
    // No state of this group: the answer to something else.
    if (after && after->epoch != m_epoch)
        after = nullptr;
    if (after) {
        m_newestStep = std::max(m_newestStep, after->step);
        noteReading(rank, *after);
    }
    if (reply == order_reply::fenced) {
        // Another leader has taken over and cleans up after this one.
        fail("another leader has a higher fence");
        return;
    }
    // The answer to an earlier order, for example of the phase before.
    if (sent.fence != m_fence)
        return;
    switch (m_phase) {
    case switch_phase::disarming_leader:
    case switch_phase::disarming:
        if (sent.kind == map_order_kind::disarm)
            handleDisarmed(rank, sent, reply, after);
        return;
    case switch_phase::releasing:
    case switch_phase::releasing_aborted:
        if (sent.kind == map_order_kind::release)
            handleReleased(rank, sent, reply, after);
        return;
    default:
        handleInPhase(rank, sent, reply, after);
    }
}

void rank_change::enterDisarming()
{
    // The orders to arm that are still on their way are refused from here on.
    raiseFence();
    const bool lastFirst = m_armed[m_lastRank] != neverPrepared;
    enter(lastFirst ? switch_phase::disarming_leader : switch_phase::disarming);
    for (std::size_t rank = 0; rank < m_armed.size(); ++rank) {
        if (m_armed[rank] == neverPrepared)
            m_confirmed[rank] = true;
    }
    if (allConfirmed())
        enterRelease(switch_phase::releasing_aborted);
}

void rank_change::raiseFence()
{
    if (!m_fenceRaised)
        ++m_fence;
    m_fenceRaised = true;
}

// A second copy of an order to hold a step may be carried out late, after its release: it is refused where the release has a
// higher fence.
void rank_change::enterRelease(switch_phase phase)
{
    raiseFence();
    enter(phase);
    if (phase == switch_phase::releasing_aborted && m_holds.empty())
        m_phase = switch_phase::failed;
}

// An order to arm that is still on its way carries a lower fence than the order to disarm: a rank
// that has answered the order to disarm refuses it. The order names the placement that the rank may be armed with, so its
// answer proves that it is armed no more; a reading proves neither, and a conflict means that the placement is in use.
void rank_change::handleDisarmed(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
{
    if (!isDone(reply) || !after || sent.placement != m_armed[rank])
        return;
    m_confirmed[rank] = true;
    if (m_phase == switch_phase::disarming_leader) {
        m_armed[m_lastRank] = neverPrepared;
        enterDisarming();
        return;
    }
    if (allConfirmed())
        enterRelease(switch_phase::releasing_aborted);
}

// Where a change takes effect, the first of the held steps comes last: once it begins, a hold that is left would belong to no change.
std::vector<rank_order_to_send> rank_change::pendingReleases() const
{
    std::vector<rank_order_to_send> orders;
    const auto first = std::min_element(m_holds.begin(), m_holds.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    for (auto hold = m_holds.begin(); hold != m_holds.end(); ++hold) {
        if (hold != first || m_holds.size() == 1 || m_phase == switch_phase::releasing_aborted)
            orders.push_back({ hold->first, orderOf(map_order_kind::release, 0, hold->second) });
    }
    return orders;
}

// A reading without the hold may be from before it; one that shows the step as begun proves the release.
void rank_change::handleReleased(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
{
    std::erase_if(m_holds, [&](const auto& hold) {
        if (hold.first != rank || hold.second != sent.step || !after)
            return false;
        return isDone(reply) || after->step >= hold.second;
    });
    if (m_holds.empty())
        m_phase = m_phase == switch_phase::releasing ? switch_phase::done : switch_phase::failed;
}

void rank_change::abandon(std::string reason)
{
    fail(std::move(reason));
}

} // namespace rampgap
