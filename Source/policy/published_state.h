// The items that the users' metadata store publishes, with the proof of how fresh they are.
#pragma once

#include "policy/retained_items.h"
#include "policy/verdict.h"

#include <set>

namespace rampgap {

// One change: the item as it was written, or its removal.
struct published_change {
    published_item item;
    bool removed = false;
    // Not what the store lists, but what was confirmed before it was restored.
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

// What one holder has that another lacks: changed items, and the keys of all that exist.
struct published_delta {
    std::vector<published_item> items;
    std::vector<std::string> keys;
    store_position position;

    bool operator==(const published_delta&) const = default;
};

// What one holds, for comparison with what others hold.
struct state_summary {
    store_position position;
    // Of the retained items; 0 if there are none.
    std::uint32_t retained = 0;

    bool operator==(const state_summary&) const = default;
};

// What a removed entry means.
enum class removal { gone,
    // It may have lapsed in an outage, and its server is there.
    doubtful };

// Copy of the store's items, and what was confirmed before the store was restored. Its position
// only rises, and no item goes back to what it was before, whoever they were learned from.
class published_state {
public:
    // Retains nothing.
    published_state();
    // `order` must outlive this.
    explicit published_state(const item_order& order);

    // Takes a complete listing; returns what changed. An older one than held changes nothing.
    std::vector<published_change> take(const published_snapshot&, removal = removal::gone);
    // Takes the changes from one position on, up to revision `upTo` of the same epoch; returns
    // those that were new. Changes that do not join what is held change nothing.
    std::vector<published_change> take(const std::vector<published_change>&, store_position from, store_revision upTo, removal = removal::gone);
    // Takes what another holder sent; an older state than held changes nothing.
    std::vector<published_change> take(const published_delta&, removal = removal::gone);
    // Takes what another holder retains; with `lastingOnly` nothing that stands in for a while.
    std::vector<published_change> join(const std::vector<retained_item>&, bool lastingOnly);
    // Time is up for what stands in for a while.
    std::vector<published_change> expireRetained();
    // What a holder of an earlier position lacks of the store's items.
    published_delta since(store_position) const;
    // A reading sent at `askedAt` showed nothing newer than `upTo`. Counts only if that is
    // what is held, since a proof about other items says nothing about these.
    void noteProof(store_position upTo, instant askedAt);

    store_position position() const { return m_position; }
    bool empty() const { return m_position.revision == 0; }
    // When the newest reading that proved the held items was sent; empty if there was none.
    std::optional<instant> provenAt() const { return m_provenAt; }
    // What is in force.
    const items_by_key& items() const { return m_items; }
    const retained_items& retained() const { return m_retained; }

private:
    const published_item* listed(const std::string& key) const;
    void refresh(const std::string& key, std::vector<published_change>&);

    // As the store shows them, and what is in force.
    items_by_key m_listed;
    items_by_key m_items;
    // Keys under which what is in force is retained, not what the store shows.
    std::set<std::string> m_retainedKeys;
    retained_items m_retained;
    store_position m_position;
    std::optional<instant> m_provenAt;
};

// How long what was read may be acted on where a withdrawal must hold by a bound.
class freshness_rule {
public:
    // `bound`: within it a withdrawal is in force; `margin` covers what a reading can miss.
    freshness_rule(bool strict, milliseconds bound, milliseconds margin);

    // True if a request with a key may be admitted now.
    bool mayUseKeys(std::optional<instant> provenAt, instant now) const;
    // How long none could be admitted; 0 while they may.
    milliseconds refusedFor(std::optional<instant> provenAt, instant now) const;

private:
    bool m_strict;
    milliseconds m_longest;
};

} // namespace rampgap
