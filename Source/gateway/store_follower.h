// Keeps the fleet state up to date from the store, or from peers where the store is out of reach.
#pragma once

#include "gateway/fleet_state.h"

namespace rampgap {

class store_follower {
public:
    // `wait`: how long a watch may stay open; each answer renews the proof of freshness.
    store_follower(process_context&, decision_log&, published_source&, fleet_state&, milliseconds wait);

    void start();
    // Called after each reading that brought something.
    void onNews(std::function<void()> action) { m_onNews = std::move(action); }
    // Whether this process is to read now; asked before each reading.
    void setWanted(std::function<bool()> wanted) { m_wanted = std::move(wanted); }
    // Whether others read for this process: it leaves the listing of a restored store to them.
    void setReadersBeside(std::function<bool()> beside) { m_readersBeside = std::move(beside); }

private:
    awaitable<void> run();
    awaitable<bool> readAll();
    // Waits for peers to bring the restored store's state; true if they did.
    awaitable<bool> leaveListing();
    awaitable<bool> watchOnce();
    void noteEpoch(store_position read);
    void announceNews();

    process_context& m_context;
    decision_log& m_log;
    published_source& m_source;
    fleet_state& m_state;
    milliseconds m_wait;
    std::function<bool()> m_wanted;
    std::function<bool()> m_readersBeside;
    std::function<void()> m_onNews;
    bool m_reading = false;
    bool m_needAll = true;
    // The store was restored since the last listing, which is to be left to others first.
    bool m_mayLeaveListing = false;
    // A watch has been answered since the last listing.
    bool m_watched = true;
    // Of the newest answer.
    std::optional<store_epoch> m_epoch;
};

} // namespace rampgap
