// Items that were confirmed but that the store has lost: it was restored, or something unreadable was written in their place.
#pragma once

#include "policy/configuration/item_order.h"

#include <deque>
#include <vector>

namespace rampgap {

struct retained_item {
    published_item item;
    // The entry was removed before the restoration: the entry listed under its key is the removed one.
    bool removed = false;

    bool operator==(const retained_item&) const = default;
};

// Items kept from before a restoration or an unreadable change, or learned from peers. Each replaces what the store lists
// until the store lists the same version again, or a newer one.
class retained_items {
public:
    // `order` must outlive this.
    explicit retained_items(const item_order& order)
        : m_order(order)
    {
    }

    // Remembers a removal, since a restored store may list the entry again. Only the latest ones are kept.
    void recordRemoval(const published_item&);
    // The store was restored: `inForce` was in force before, it now lists `listed`.
    void retain(const items_by_key& inForce, const items_by_key& listed);
    // `inForce` is to stay in force if it is of a kind that stays in force unlisted, and the store now lists an item that cannot be read in
    // its place. True if it does.
    bool keepReadable(const published_item& inForce, const published_item& listed);
    // Merges an item that a peer retains. True if this changes what is retained here. `listed` is
    // the store's item under the same key, null if there is none.
    bool merge(const retained_item&, const published_item* listed);
    // The item in force under a key; null if there is none. Forgets the retained item once the store
    // lists the same version or a newer one.
    const published_item* inForce(const std::string& key, const published_item* listed);
    // Forgets the items that are retained temporarily: by now their servers have been listed again
    // or their entries would have lapsed. Returns the keys.
    std::vector<std::string> expire();
    // True if an item is retained until the store lists the same version, however long that takes.
    bool isIndefinite(const retained_item&) const;

    const std::map<std::string, retained_item>& all() const { return m_items; }
    // Equal for items of equal ranks; 0 if there are none.
    std::uint32_t digest() const { return m_digest; }

private:
    std::optional<item_rank> rankOf(const retained_item&) const;
    bool prevails(const retained_item&, const published_item* listed) const;
    bool wasRemoved(const retained_item&) const;
    void updateDigest();

    const item_order& m_order;
    std::map<std::string, retained_item> m_items;
    std::deque<published_item> m_removed;
    std::uint32_t m_digest = 0;
};

} // namespace rampgap
