#include "policy/published_state.h"

#include <algorithm>
#include <set>

namespace rampgap {

std::vector<published_change> published_state::take(const published_snapshot& snapshot)
{
    std::vector<published_change> changes;
    if (snapshot.position() < m_position)
        return changes;
    std::map<std::string, published_item> next;
    for (const auto& item : snapshot.items)
        next.emplace(item.key, item);
    for (const auto& [key, item] : m_items) {
        if (!next.contains(key))
            changes.push_back({ { key, {}, snapshot.revision }, true });
    }
    for (const auto& [key, item] : next) {
        const auto held = m_items.find(key);
        if (held == m_items.end() || held->second.value != item.value)
            changes.push_back({ item, false });
    }
    m_items = std::move(next);
    m_position = snapshot.position();
    return changes;
}

std::vector<published_change> published_state::take(const std::vector<published_change>& changes, store_position from, store_revision upTo)
{
    std::vector<published_change> fresh;
    if (from.epoch != m_position.epoch || from.revision > m_position.revision)
        return fresh;
    for (const auto& change : changes) {
        const auto held = m_items.find(change.item.key);
        const bool isHeld = held != m_items.end();
        if (isHeld && held->second.revision >= change.item.revision)
            continue;
        if (change.removed && !isHeld)
            continue;
        const bool sameValue = isHeld && !change.removed && held->second.value == change.item.value;
        if (change.removed)
            m_items.erase(held);
        else
            m_items[change.item.key] = change.item;
        if (!sameValue)
            fresh.push_back(change);
    }
    m_position.revision = std::max(m_position.revision, upTo);
    return fresh;
}

void published_state::noteProof(store_position upTo, instant askedAt)
{
    if (upTo != m_position || empty())
        return;
    if (!m_provenAt || askedAt > *m_provenAt)
        m_provenAt = askedAt;
}

std::vector<published_change> published_state::take(const published_delta& delta)
{
    if (delta.position < m_position)
        return {};
    published_snapshot whole;
    whole.revision = delta.position.revision;
    whole.epoch = delta.position.epoch;
    whole.items = delta.items;
    std::set<std::string> fresh;
    for (const auto& item : delta.items)
        fresh.insert(item.key);
    for (const auto& key : delta.keys) {
        const auto held = m_items.find(key);
        if (held != m_items.end() && !fresh.contains(key))
            whole.items.push_back(held->second);
    }
    return take(whole);
}

published_delta published_state::since(store_position position) const
{
    published_delta delta;
    delta.position = m_position;
    const bool sameHistory = position.epoch == m_position.epoch;
    for (const auto& [key, item] : m_items) {
        delta.keys.push_back(key);
        if (!sameHistory || item.revision > position.revision)
            delta.items.push_back(item);
    }
    return delta;
}

freshness_rule::freshness_rule(bool strict, milliseconds bound, milliseconds margin)
    : m_strict(strict)
    , m_longest(std::max(milliseconds(0), bound - margin))
{
}

bool freshness_rule::mayUseKeys(std::optional<instant> provenAt, instant now) const
{
    if (!m_strict)
        return true;
    return provenAt && now - *provenAt < m_longest;
}

milliseconds freshness_rule::refusedFor(std::optional<instant> provenAt, instant now) const
{
    if (!provenAt || mayUseKeys(provenAt, now))
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(now - *provenAt) - m_longest;
}

} // namespace rampgap
