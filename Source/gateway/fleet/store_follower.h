// Keeps the fleet state up to date from the metadata store, while this process is one of its readers.
#pragma once

#include "gateway/fleet/fleet_state.h"

namespace rampgap {

class store_follower {
public:
    // `wait`: how long a watch may stay open; each answer renews the freshness.
    store_follower(process_context&, decision_log&, published_source&, fleet_state&, milliseconds wait);

    void start();
    // Called after each reading that was applied.
    void onUpdate(std::function<void()> action) { m_onUpdate = std::move(action); }
    // Sets whether this process should read now; checked before each reading.
    void setShouldRead(std::function<bool()> shouldRead) { m_shouldRead = std::move(shouldRead); }
    // Sets the longest pause between two readings that fail.
    void setLongestPause(std::function<milliseconds()> longestPause) { m_longestPause = std::move(longestPause); }
    // Sets whether other processes read the store for this one, which then leaves the listing of a
    // restored store to them.
    void setOtherReaders(std::function<bool()> hasOtherReaders) { m_hasOtherReaders = std::move(hasOtherReaders); }

private:
    awaitable<void> run();
    awaitable<bool> readAll();
    // Waits for the restored store's state to arrive from peers; true if it did.
    awaitable<bool> awaitPeerListing();
    awaitable<bool> watchOnce();
    void recordEpoch(store_position read);
    void notifyUpdate();

    process_context& m_context;
    decision_log& m_log;
    published_source& m_source;
    fleet_state& m_state;
    milliseconds m_wait;
    std::function<bool()> m_shouldRead;
    std::function<bool()> m_hasOtherReaders;
    std::function<milliseconds()> m_longestPause;
    std::function<void()> m_onUpdate;
    bool m_reading = false;
    bool m_needFullListing = true;
    // The store was restored since the last listing: the next one is first left to others.
    bool m_mayAwaitPeers = false;
    // A watch was answered since the last listing.
    bool m_watched = true;
    // Epoch of the newest answer.
    std::optional<store_epoch> m_epoch;
};

} // namespace rampgap
