// The items that the users' metadata store publishes, and up to when this copy is known to be current.
#pragma once

#include "policy/common/verdict.h"
#include "policy/configuration/retained_items.h"

#include <deque>
#include <optional>
#include <set>

namespace rampgap {

// One change: the item as it was written, or its removal.
struct published_change {
    published_item item;
    bool removed = false;
    // The item is not what the store lists, but what was confirmed before the store was restored.
    bool retained = false;

    bool operator==(const published_change&) const = default;
};

struct published_snapshot {
    std::vector<published_item> items;
    store_revision revision = 0;
    store_epoch epoch = 0;

    store_position position() const { return { epoch, revision }; }
    bool operator==(const published_snapshot&) const = default;
};

// A key that was removed, and the latest revision at which that may have happened.
struct removed_key {
    std::string key;
    store_revision revision = 0;

    bool operator==(const removed_key&) const = default;
};

// Difference to an older copy: the changed items, and either the keys of all existing ones or what
// was removed.
struct published_delta {
    std::vector<published_item> items;
    std::vector<std::string> keys;
    store_position position;
    // The older copy's revision, in the same epoch, if `removed` is given and not `keys`.
    std::optional<store_revision> changesFrom = std::nullopt;
    std::vector<removed_key> removed = {};

    bool operator==(const published_delta&) const = default;
};

// Summary of a copy, to compare it with the copies of peers.
struct state_summary {
    store_position position;
    // Digest of the retained items; 0 if there are none.
    std::uint32_t retained = 0;

    bool operator==(const state_summary&) const = default;
};

// How to interpret the removal of an entry.
enum class removal { gone,
    // It may have lapsed in an outage while its server still runs.
    doubtful };

// Copy of the store's items, and of those that were confirmed before the store was restored. Its
// position only increases and no item returns to an earlier version, whatever the source is.
class published_state {
public:
    // Retains nothing.
    published_state();
    // `order` must outlive this.
    explicit published_state(const item_order& order);

    // Applies a complete listing; returns what changed. A listing older than this copy changes nothing.
    std::vector<published_change> apply(const published_snapshot&, removal = removal::gone);
    // Applies the changes from position `from` up to revision `upTo` of the same epoch; returns
    // those that were new. Changes that leave a gap to this copy, or are of another epoch, are ignored.
    std::vector<published_change> apply(const std::vector<published_change>&, store_position from, store_revision upTo, removal = removal::gone);
    // Applies what a peer sent; a state that is not newer than this copy changes nothing.
    std::vector<published_change> apply(const published_delta&, removal = removal::gone);
    // Merges the items that a peer retains; with `indefiniteOnly` none that is retained temporarily.
    std::vector<published_change> mergeRetained(const std::vector<retained_item>&, bool indefiniteOnly);
    // Drops the items that are retained temporarily; returns what changed.
    std::vector<published_change> expireRetained();
    // What a copy at an earlier position lacks of the store's items. With `mayOmitKeys`, the keys of
    // the unchanged items are left out if all removals since then are known.
    published_delta since(store_position, bool mayOmitKeys = false) const;
    // A reading that was requested at `askedAt` showed nothing newer than `upTo`. Counts only if
    // this copy is at `upTo`: the freshness of other items says nothing about these.
    void recordFreshness(store_position upTo, instant askedAt);

    store_position position() const { return m_position; }
    bool empty() const { return m_position.revision == 0; }
    // When the newest reading that confirmed this copy was requested; empty if there was none.
    std::optional<instant> freshAsOf() const { return m_freshAsOf; }
    // The items in force.
    const items_by_key& items() const { return m_items; }
    const retained_items& retained() const { return m_retained; }

private:
    void recordRemoved(const std::string& key, store_revision);
    const published_item* listed(const std::string& key) const;
    // `next` is about to replace what is in force under its key.
    void keepReadable(const published_item& inForce, const published_item& next, std::vector<published_change>&);
    void updateInForce(const std::string& key, std::vector<published_change>&);

    // Items as the store lists them, and items in force.
    items_by_key m_listed;
    items_by_key m_items;
    // Keys whose item in force is a retained one, not the listed one.
    std::set<std::string> m_retainedKeys;
    retained_items m_retained;
    store_position m_position;
    // The latest removals of this epoch, the oldest first, and the revision after which none is missing.
    std::deque<removed_key> m_removed;
    store_revision m_removedAfter = 0;
    std::optional<instant> m_freshAsOf;
};

// How long a copy may be used to admit keys where the revocation of a key must take effect within a bound.
class freshness_rule {
public:
    // `bound`: time within which a revocation takes effect; `margin` covers what a reading can miss.
    freshness_rule(bool strict, milliseconds bound, milliseconds margin);

    // True if a request with a key may be admitted now.
    bool mayUseKeys(std::optional<instant> freshAsOf, instant now) const;
    // How long no request with a key could be admitted; 0 while they can.
    milliseconds refusedFor(std::optional<instant> freshAsOf, instant now) const;

private:
    bool m_strict;
    milliseconds m_maxAge;
};

} // namespace rampgap
