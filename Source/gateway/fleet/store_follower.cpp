#include "gateway/fleet/store_follower.h"

#include "daemon/sleep.h"
#include "daemon/task.h"
#include <algorithm>
#include <random>

namespace rampgap {

namespace {

    // Backoff after a failure, doubled up to the longest pause. Each call has its price, but only
    // the first one after the store's return ends the outage for this process.
    constexpr milliseconds firstPause { 100 };
    constexpr milliseconds defaultLongestPause { 600 };

    // Load pattern: all servers of a fleet register within seconds, or configurations come in quick succession. A watch ends
    // with the first change, so each change would take a call. A change is read at once, those after it together.
    constexpr milliseconds changeBatchInterval { 200 };

    // How often a process that relies on its peers' readings checks whether it must read itself.
    constexpr milliseconds idlePause { 50 };

    // Within this time the readers of each zone have listed a restored store and their peers have
    // fetched the result. The wait is drawn from once to twice this time, so that the remaining
    // processes do not all list at once.
    constexpr milliseconds peerListingTime { 250 };

} // namespace

store_follower::store_follower(process_context& context, decision_log& log, published_source& source, fleet_state& state, milliseconds wait)
    : m_context(context)
    , m_log(log)
    , m_source(source)
    , m_state(state)
    , m_wait(wait)
{
}

void store_follower::start()
{
    startLoop(m_context, "follow_store", [this] { return run(); });
}

awaitable<void> store_follower::run()
{
    milliseconds pause = firstPause;
    for (;;) {
        const bool shouldRead = !m_shouldRead || m_shouldRead();
        if (shouldRead != m_reading) {
            m_reading = shouldRead;
            m_log.line(shouldRead ? "reading_begun" : "reading_ended").add("dependency", "store").add("revision", m_state.published().position().revision).add("proof_age_ms", m_state.freshnessAge().value_or(milliseconds(-1)));
        }
        if (!shouldRead) {
            // State from peers is newer than where the last reading stopped, so no listing is needed.
            m_needFullListing = m_state.published().empty();
            co_await sleepFor(m_context.io(), idlePause);
            continue;
        }
        const instant startedAt = m_context.now();
        bool done = false;
        if (m_needFullListing)
            done = co_await readAll();
        else
            done = co_await watchOnce();
        if (done) {
            pause = firstPause;
            co_await sleepUntil(m_context.io(), startedAt + changeBatchInterval);
            continue;
        }
        // The time that a failed reading took counts towards the pause.
        co_await sleepUntil(m_context.io(), std::max(startedAt + pause, m_context.now() + firstPause));
        pause = std::min(pause * 2, m_longestPause ? m_longestPause() : defaultLongestPause);
    }
}

// Load pattern: after an outage all of 390 VMs watch the store and find it restored within 0.6 s.
// A listing takes five calls with 2,000 servers, 2,300 calls in all, above the 2,000 per second
// that the store allows. Left to one reader per zone first, it takes about 50.
awaitable<bool> store_follower::awaitPeerListing()
{
    m_mayAwaitPeers = false;
    const double draw = std::uniform_real_distribution<double>(1, 2)(m_context.random());
    const instant until = m_context.now() + std::chrono::duration_cast<duration>(peerListingTime * draw);
    while (m_context.now() < until) {
        if (m_state.published().position().epoch >= m_epoch.value_or(0)) {
            m_needFullListing = false;
            co_return true;
        }
        co_await sleepFor(m_context.io(), idlePause);
    }
    co_return false;
}

awaitable<bool> store_follower::readAll()
{
    if (m_mayAwaitPeers && m_hasOtherReaders && m_hasOtherReaders() && co_await awaitPeerListing())
        co_return true;
    const instant askedAt = m_context.now();
    m_context.counters().add(metric::platform_reads);
    const auto snapshot = co_await m_source.readAll();
    if (!snapshot) {
        m_state.recordStoreUnavailable(snapshot.error().message);
        co_return false;
    }
    m_state.recordStoreAvailable();
    recordEpoch(snapshot.value().position());
    m_needFullListing = false;
    const bool applied = m_state.applySnapshot(snapshot.value(), askedAt);
    if (applied) {
        notifyUpdate();
    } else {
        const store_position current = m_state.published().position();
        m_context.counters().add(metric::store_readings_refused);
        m_log.line("listing_refused").add("epoch", snapshot.value().epoch).add("revision", snapshot.value().revision).add("held_epoch", current.epoch).add("held", current.revision);
    }
    // A listing older than the state from peers is repeated after a pause.
    co_return applied;
}

awaitable<bool> store_follower::watchOnce()
{
    const instant askedAt = m_context.now();
    m_context.counters().add(metric::platform_reads);
    const store_position from = m_state.published().position();
    // A store that was unavailable never answers a call that was sent before its return. A watch that
    // does not wait for changes times out sooner, so the return is found within 1.1 s instead of 2.4 s.
    const milliseconds wait = m_state.storeUnavailable() ? milliseconds(0) : m_wait;
    const auto update = co_await m_source.watch(from.revision, wait);
    if (!update) {
        m_state.recordStoreUnavailable(update.error().message);
        co_return false;
    }
    m_state.recordStoreAvailable();
    recordEpoch({ update.value().epoch, update.value().revision });
    // A restored store may have the requested revision in another history, so the changes after it
    // cannot be applied to the current state.
    const bool restored = update.value().epoch > from.epoch;
    if (update.value().historyLost || restored) {
        m_log.line("history_lost").add("epoch", from.epoch).add("revision", from.revision).add("restored", static_cast<int>(restored)).add("outcome", "listing everything again");
        m_needFullListing = true;
        m_mayAwaitPeers = restored;
        // Lists without a pause, unless the previous listing did not help.
        co_return std::exchange(m_watched, false);
    }
    if (update.value().epoch < from.epoch)
        co_return false;
    m_watched = true;
    m_state.applyUpdate(update.value(), from, askedAt);
    notifyUpdate();
    co_return true;
}

void store_follower::notifyUpdate()
{
    if (m_onUpdate)
        m_onUpdate();
}

void store_follower::recordEpoch(store_position read)
{
    if (m_epoch == read.epoch)
        return;
    m_log.line("store_epoch_seen").add("epoch", read.epoch).add("before", m_epoch.value_or(0)).add("revision", read.revision).add("held", m_state.published().position().revision);
    m_epoch = read.epoch;
    m_context.counters().set(metric::store_epoch, static_cast<double>(read.epoch));
}

} // namespace rampgap
