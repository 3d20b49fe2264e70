#include "policy/configuration/published_state.h"

#include <algorithm>

namespace rampgap {

namespace {

    class no_order : public item_order {
    public:
        std::optional<item_rank> rank(const published_item&) const override { return std::nullopt; }
        bool staysInForceUnlisted(const published_item&) const override { return false; }
        bool endsByRemoval(const published_item&) const override { return true; }
    };

    const no_order unordered;

    // Peers are at most a few seconds behind. A zone of 400 servers may go at once.
    constexpr std::size_t maxRemovedKeys = 1'024;

} // namespace

published_state::published_state()
    : published_state(unordered)
{
}

published_state::published_state(const item_order& order)
    : m_retained(order)
{
}

std::vector<published_change> published_state::apply(const published_snapshot& snapshot, removal meaning)
{
    std::vector<published_change> changes;
    if (snapshot.position() < m_position)
        return changes;
    items_by_key next;
    for (const auto& item : snapshot.items)
        next.emplace(item.key, item);
    const bool restored = snapshot.epoch != m_position.epoch && !empty();
    if (restored)
        m_retained.retain(m_items, next);
    std::set<std::string> unlisted;
    for (const auto& [key, item] : m_items) {
        const auto found = next.find(key);
        if (found != next.end()) {
            keepReadable(item, found->second, changes);
            continue;
        }
        unlisted.insert(key);
        // An item missing from a restored store may merely have been lost by it.
        if (!restored && meaning == removal::gone)
            m_retained.recordRemoval(item);
    }
    if (snapshot.epoch != m_position.epoch || empty()) {
        m_removed.clear();
        m_removedAfter = snapshot.revision;
    } else {
        for (const auto& [key, item] : m_listed) {
            if (!next.contains(key))
                recordRemoved(key, snapshot.revision);
        }
    }
    m_listed = std::move(next);
    m_position = snapshot.position();
    for (const auto& key : unlisted)
        updateInForce(key, changes);
    for (const auto& [key, item] : m_listed)
        updateInForce(key, changes);
    return changes;
}

std::vector<published_change> published_state::apply(const std::vector<published_change>& changes, store_position from, store_revision upTo, removal meaning)
{
    std::vector<published_change> fresh;
    if (from.epoch != m_position.epoch || from.revision > m_position.revision)
        return fresh;
    for (const auto& change : changes) {
        const auto* current = listed(change.item.key);
        if (current && current->revision >= change.item.revision)
            continue;
        if (const auto inForce = m_items.find(change.item.key); inForce != m_items.end() && !change.removed)
            keepReadable(inForce->second, change.item, fresh);
        if (change.removed && current && meaning == removal::gone)
            m_retained.recordRemoval(*current);
        if (change.removed) {
            m_listed.erase(change.item.key);
            recordRemoved(change.item.key, change.item.revision);
        } else {
            m_listed[change.item.key] = change.item;
        }
        updateInForce(change.item.key, fresh);
    }
    m_position.revision = std::max(m_position.revision, upTo);
    return fresh;
}

void published_state::recordRemoved(const std::string& key, store_revision revision)
{
    m_removed.push_back({ key, revision });
    if (m_removed.size() <= maxRemovedKeys)
        return;
    m_removedAfter = std::max(m_removedAfter, m_removed.front().revision);
    m_removed.pop_front();
}

// An unreadable item is still reported as a change, so that it is logged.
void published_state::keepReadable(const published_item& inForce, const published_item& next, std::vector<published_change>& changes)
{
    if (inForce.value != next.value && m_retained.keepReadable(inForce, next))
        changes.push_back({ next, false });
}

const published_item* published_state::listed(const std::string& key) const
{
    const auto found = m_listed.find(key);
    return found == m_listed.end() ? nullptr : &found->second;
}

// Brings what is in force under a key in line with what is listed and retained.
void published_state::updateInForce(const std::string& key, std::vector<published_change>& changes)
{
    const auto* listedItem = listed(key);
    const auto* next = m_retained.inForce(key, listedItem);
    const auto current = m_items.find(key);
    const bool retained = next != listedItem;
    const bool wasRetained = m_retainedKeys.contains(key);
    if (retained)
        m_retainedKeys.insert(key);
    else
        m_retainedKeys.erase(key);
    if (!next) {
        if (current == m_items.end())
            return;
        m_items.erase(current);
        changes.push_back({ { key, {}, m_position.revision }, true, retained });
        return;
    }
    const bool same = current != m_items.end() && current->second.value == next->value && current->second.created == next->created && retained == wasRetained;
    m_items[key] = *next;
    if (!same)
        changes.push_back({ *next, false, retained });
}

std::vector<published_change> published_state::mergeRetained(const std::vector<retained_item>& fromPeer, bool indefiniteOnly)
{
    std::vector<published_change> changes;
    for (const auto& retained : fromPeer) {
        if (indefiniteOnly && !m_retained.isIndefinite(retained))
            continue;
        if (m_retained.merge(retained, listed(retained.item.key)))
            updateInForce(retained.item.key, changes);
    }
    return changes;
}

std::vector<published_change> published_state::expireRetained()
{
    std::vector<published_change> changes;
    for (const auto& key : m_retained.expire())
        updateInForce(key, changes);
    return changes;
}

void published_state::recordFreshness(store_position upTo, instant askedAt)
{
    if (upTo != m_position || empty())
        return;
    if (!m_freshAsOf || askedAt > *m_freshAsOf)
        m_freshAsOf = askedAt;
}

std::vector<published_change> published_state::apply(const published_delta& delta, removal meaning)
{
    if (delta.position <= m_position)
        return {};
    if (delta.changesFrom) {
        std::vector<published_change> changes;
        for (const auto& item : delta.items)
            changes.push_back({ item, false });
        for (const auto& removed : delta.removed)
            changes.push_back({ { removed.key, {}, removed.revision }, true });
        return apply(changes, { delta.position.epoch, *delta.changesFrom }, delta.position.revision, meaning);
    }
    published_snapshot complete;
    complete.revision = delta.position.revision;
    complete.epoch = delta.position.epoch;
    complete.items = delta.items;
    std::set<std::string> fresh;
    for (const auto& item : delta.items)
        fresh.insert(item.key);
    for (const auto& key : delta.keys) {
        const auto* current = listed(key);
        if (current && !fresh.contains(key))
            complete.items.push_back(*current);
    }
    return apply(complete, meaning);
}

// Load pattern: each change reaches a thousand processes. With 500 servers the keys of all items take
// 10 KB, and each process would compare the whole list.
published_delta published_state::since(store_position position, bool mayOmitKeys) const
{
    published_delta delta;
    delta.position = m_position;
    if (position == m_position)
        return delta;
    const bool sameHistory = position.epoch == m_position.epoch;
    const bool omitKeys = mayOmitKeys && sameHistory && position.revision >= m_removedAfter;
    if (omitKeys) {
        delta.changesFrom = position.revision;
        for (const auto& removed : m_removed) {
            if (removed.revision > position.revision && !m_listed.contains(removed.key))
                delta.removed.push_back(removed);
        }
    }
    for (const auto& [key, item] : m_listed) {
        if (!omitKeys)
            delta.keys.push_back(key);
        if (!sameHistory || item.revision > position.revision)
            delta.items.push_back(item);
    }
    return delta;
}

freshness_rule::freshness_rule(bool strict, milliseconds bound, milliseconds margin)
    : m_strict(strict)
    , m_maxAge(std::max(milliseconds(0), bound - margin))
{
}

bool freshness_rule::mayUseKeys(std::optional<instant> freshAsOf, instant now) const
{
    if (!m_strict)
        return true;
    return freshAsOf && now - *freshAsOf < m_maxAge;
}

milliseconds freshness_rule::refusedFor(std::optional<instant> freshAsOf, instant now) const
{
    if (!freshAsOf || mayUseKeys(freshAsOf, now))
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(now - *freshAsOf) - m_maxAge;
}

} // namespace rampgap
