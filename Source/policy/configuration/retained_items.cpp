#include "policy/configuration/retained_items.h"

#include <algorithm>
#include <xxhash.h>

namespace rampgap {

namespace {

    // A restored store lacks the last few seconds. In a fleet of 2,000 servers 270 are replaced per
    // day, and a whole zone of 700 may go at once; each removal takes about 400 bytes.
    constexpr std::size_t maxRemovals = 1'024;

    const published_item* find(const items_by_key& items, const std::string& key)
    {
        const auto found = items.find(key);
        return found == items.end() ? nullptr : &found->second;
    }

} // namespace

void retained_items::recordRemoval(const published_item& item)
{
    if (!m_order.endsByRemoval(item))
        return;
    m_removed.push_back(item);
    if (m_removed.size() > maxRemovals)
        m_removed.pop_front();
}

std::optional<item_rank> retained_items::rankOf(const retained_item& retained) const
{
    auto rank = m_order.rank(retained.item);
    if (rank && retained.removed)
        rank->stage = item_stage::removed;
    return rank;
}

bool retained_items::isIndefinite(const retained_item& retained) const
{
    const auto rank = rankOf(retained);
    return m_order.staysInForceUnlisted(retained.item) || (rank && rank->stage == item_stage::leaving);
}

// A server that was removed and has registered again has another creation revision: only the very
// entry that was removed is suppressed.
bool retained_items::prevails(const retained_item& retained, const published_item* listed) const
{
    if (!listed)
        return !retained.removed && m_order.staysInForceUnlisted(retained.item);
    if (retained.removed && retained.item.created != listed->created)
        return false;
    return rankOf(retained) > m_order.rank(*listed);
}

void retained_items::retain(const items_by_key& inForce, const items_by_key& listed)
{
    std::erase_if(m_items, [&](const auto& kept) { return !prevails(kept.second, find(listed, kept.first)); });
    for (const auto& [key, item] : inForce) {
        const auto* listedItem = find(listed, key);
        // True for nearly all items: equal values have equal ranks and need not be parsed.
        if (listedItem && listedItem->value == item.value)
            continue;
        const retained_item confirmed { item, false };
        if (prevails(confirmed, listedItem))
            m_items[key] = confirmed;
    }
    for (const auto& item : m_removed) {
        const retained_item removed { item, true };
        if (!inForce.contains(item.key) && prevails(removed, find(listed, item.key)))
            m_items[item.key] = removed;
    }
    updateDigest();
}

// Retained, and not only left in force here, because a process that starts learns retained items from its peers.
bool retained_items::keepReadable(const published_item& inForce, const published_item& listed)
{
    if (!m_order.staysInForceUnlisted(inForce) || m_order.rank(listed) || !m_order.rank(inForce))
        return false;
    m_items[inForce.key] = { inForce, false };
    updateDigest();
    return true;
}

// A peer that was cut off may retain an item whose removal it has missed.
bool retained_items::wasRemoved(const retained_item& retained) const
{
    return !retained.removed && std::any_of(m_removed.begin(), m_removed.end(), [&retained](const published_item& item) { return item.key == retained.item.key && item.created == retained.item.created; });
}

bool retained_items::merge(const retained_item& fromPeer, const published_item* listed)
{
    if (!prevails(fromPeer, listed) || wasRemoved(fromPeer))
        return false;
    const auto current = m_items.find(fromPeer.item.key);
    if (current != m_items.end() && rankOf(current->second) >= rankOf(fromPeer))
        return false;
    m_items[fromPeer.item.key] = fromPeer;
    updateDigest();
    return true;
}

const published_item* retained_items::inForce(const std::string& key, const published_item* listed)
{
    const auto kept = m_items.find(key);
    if (kept == m_items.end())
        return listed;
    if (prevails(kept->second, listed))
        return kept->second.removed ? nullptr : &kept->second.item;
    m_items.erase(kept);
    updateDigest();
    return listed;
}

std::vector<std::string> retained_items::expire()
{
    std::vector<std::string> keys;
    for (const auto& [key, kept] : m_items) {
        if (!isIndefinite(kept))
            keys.push_back(key);
    }
    for (const auto& key : keys)
        m_items.erase(key);
    updateDigest();
    return keys;
}

void retained_items::updateDigest()
{
    std::string text;
    for (const auto& [key, kept] : m_items) {
        const auto rank = rankOf(kept).value_or(item_rank {});
        text += key + " " + std::to_string(rank.generation) + " " + std::to_string(static_cast<int>(rank.stage)) + "\n";
    }
    m_digest = text.empty() ? 0 : static_cast<std::uint32_t>(XXH64(text.data(), text.size(), 0)) | 1U;
}

} // namespace rampgap
