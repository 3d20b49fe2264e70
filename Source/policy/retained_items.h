// What was confirmed and a restored store has forgotten.
#pragma once

#include "policy/item_order.h"

#include <deque>
#include <vector>

namespace rampgap {

struct retained_item {
    published_item item;
    // The entry had been removed: what is listed under its key is that removed one.
    bool removed = false;

    bool operator==(const retained_item&) const = default;
};

// Kept from before a restoration and learned from peers. Each item stands in the place of what
// the store lists until the store shows as much again, or something newer.
class retained_items {
public:
    // `order` must outlive this.
    explicit retained_items(const item_order& order)
        : m_order(order)
    {
    }

    // The store may forget that it removed an entry. The latest removals are remembered.
    void noteRemoved(const published_item&);
    // The store was restored: `inForce` held before, it now shows `listed`.
    void keep(const items_by_key& inForce, const items_by_key& listed);
    // Takes what a peer retains. True if it is news, given what is listed under its key; null
    // if nothing is.
    bool join(const retained_item&, const published_item* listed);
    // What is in force under a key; null if nothing is. An item in whose place the store now
    // shows as much is forgotten.
    const published_item* inForce(const std::string& key, const published_item* listed);
    // Forgets what only stands in for servers that would say more of themselves, or would have
    // lapsed, by now; returns the keys.
    std::vector<std::string> expire();
    // True if an item holds until the store shows as much, however long that takes.
    bool lasting(const retained_item&) const;

    const std::map<std::string, retained_item>& all() const { return m_items; }
    // The same for items that are equally far; 0 for none.
    std::uint32_t digest() const { return m_digest; }

private:
    std::optional<item_rank> rankOf(const retained_item&) const;
    bool holds(const retained_item&, const published_item* listed) const;
    void updateDigest();

    const item_order& m_order;
    std::map<std::string, retained_item> m_items;
    std::deque<published_item> m_removed;
    std::uint32_t m_digest = 0;
};

} // namespace rampgap
