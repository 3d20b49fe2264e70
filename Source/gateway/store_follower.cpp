#include "gateway/store_follower.h"

#include "daemon/boot_timer.h"
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    // A store that fails is asked again after this, doubled up to the longest pause. Each
    // call is priced, but the first one after its return ends the outage for us.
    constexpr milliseconds firstPause { 100 };
    constexpr milliseconds longestPause { 600 };

    // A process that lives on its peers' readings looks so often whether it must read itself.
    constexpr milliseconds idlePause { 50 };

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
    asio::co_spawn(m_context.io(), run(), asio::detached);
}

awaitable<void> store_follower::run()
{
    milliseconds pause = firstPause;
    for (;;) {
        const bool wanted = !m_wanted || m_wanted();
        if (wanted != m_reading) {
            m_reading = wanted;
            m_log.line(wanted ? "reading_begun" : "reading_ended").add("dependency", "store").add("revision", m_state.published().revision()).add("proof_age_ms", m_state.proofAge().value_or(milliseconds(-1)));
        }
        if (!wanted) {
            // What peers send meanwhile is newer than what a reading left off at.
            m_needAll = m_state.published().empty();
            boot_timer timer(m_context.io(), idlePause);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        bool done = false;
        if (m_needAll)
            done = co_await readAll();
        else
            done = co_await watchOnce();
        if (done) {
            pause = firstPause;
            continue;
        }
        boot_timer timer(m_context.io(), pause);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        pause = std::min(pause * 2, longestPause);
    }
}

awaitable<bool> store_follower::readAll()
{
    const instant askedAt = m_context.now();
    m_context.counters().add(metric::platform_reads);
    const auto snapshot = co_await m_source.readAll();
    if (!snapshot) {
        m_state.noteSourceLost(snapshot.error().message);
        co_return false;
    }
    m_state.noteSourceRegained();
    noteEpoch(snapshot.value().epoch, snapshot.value().revision);
    if (snapshot.value().revision < m_state.published().revision()) {
        m_context.counters().add(metric::store_readings_refused);
        m_log.line("listing_refused").add("epoch", snapshot.value().epoch).add("revision", snapshot.value().revision).add("held", m_state.published().revision());
    }
    m_state.take(snapshot.value(), askedAt);
    m_needAll = false;
    co_return true;
}

awaitable<bool> store_follower::watchOnce()
{
    const instant askedAt = m_context.now();
    m_context.counters().add(metric::platform_reads);
    const auto update = co_await m_source.watch(m_state.published().revision(), m_wait);
    if (!update) {
        m_state.noteSourceLost(update.error().message);
        co_return false;
    }
    m_state.noteSourceRegained();
    noteEpoch(update.value().epoch, update.value().revision);
    if (update.value().historyLost) {
        m_log.line("history_lost").add("revision", m_state.published().revision()).add("outcome", "reading everything anew");
        m_needAll = true;
        co_return true;
    }
    m_state.take(update.value(), askedAt);
    if (m_onNews)
        m_onNews();
    co_return true;
}

void store_follower::noteEpoch(store_epoch epoch, store_revision revision)
{
    if (m_epoch == epoch)
        return;
    m_log.line("store_epoch_seen").add("epoch", epoch).add("before", m_epoch.value_or(0)).add("revision", revision).add("held", m_state.published().revision());
    m_epoch = epoch;
    m_context.counters().set(metric::store_epoch, static_cast<double>(epoch));
}

} // namespace rampgap
