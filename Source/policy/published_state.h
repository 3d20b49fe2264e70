// The items that the users' metadata store publishes, with the proof of how fresh they are.
#pragma once

#include "policy/store_position.h"
#include "policy/verdict.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rampgap {

struct published_item {
    std::string key;
    std::string value;
    // Of the last change and of the creation.
    store_revision revision = 0;
    store_revision created = 0;

    bool operator==(const published_item&) const = default;
};

// One change: the item as it was written, or its removal.
struct published_change {
    published_item item;
    bool removed = false;

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

// Copy of the store's items. Its position only rises, whoever it was learned from.
class published_state {
public:
    // Takes a complete listing; returns what changed. An older one than held changes nothing.
    std::vector<published_change> take(const published_snapshot&);
    // Takes the changes from one position on, up to revision `upTo` of the same epoch; returns
    // those that were new. Changes that do not join what is held change nothing.
    std::vector<published_change> take(const std::vector<published_change>&, store_position from, store_revision upTo);
    // Takes what another holder sent; an older state than held changes nothing.
    std::vector<published_change> take(const published_delta&);
    // What a holder of an earlier position lacks.
    published_delta since(store_position) const;
    // A reading sent at `askedAt` showed nothing newer than `upTo`. Counts only if that is
    // what is held, since a proof about other items says nothing about these.
    void noteProof(store_position upTo, instant askedAt);

    store_position position() const { return m_position; }
    bool empty() const { return m_position.revision == 0; }
    // When the newest reading that proved the held items was sent; empty if there was none.
    std::optional<instant> provenAt() const { return m_provenAt; }
    const std::map<std::string, published_item>& items() const { return m_items; }

private:
    std::map<std::string, published_item> m_items;
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
