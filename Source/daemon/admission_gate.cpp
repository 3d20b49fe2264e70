#include "daemon/admission_gate.h"

#include "daemon/boot_timer.h"
#include "daemon/caller_watch.h"
#include "daemon/task.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    constexpr milliseconds shedInterval { 10 };

    failure callerGoneFailure()
    {
        return notRun(failure_reason::connection_lost, "the caller disconnected while the request was queued");
    }

} // namespace

admission_gate::admission_gate(process_context& context, admission_limits limits, bool shedding)
    : m_context(context)
    , m_limits(limits)
    , m_queue(limits)
{
    m_queue.setShedding(shedding);
}

void admission_gate::start()
{
    startLoop(m_context, "shed", [this] { return shedLoop(); });
}

void admission_gate::setSlots(int slots)
{
    m_limits.slots = slots;
    m_queue.setLimits(m_limits);
}

void admission_gate::startFitting()
{
    admission_outcome outcome;
    m_queue.startFitting(m_context.now(), outcome);
    apply(outcome);
}

awaitable<result<admission_id>> admission_gate::enter(admission_request request, http_exchange& exchange)
{
    admission_outcome outcome;
    const admission_id id = m_queue.offer(request, m_context.now(), outcome);
    auto entry = std::make_shared<waiter>(m_context.io(), request.deadline);
    m_waiters.emplace(id, entry);
    apply(outcome);
    if (!entry->started && !entry->refused) {
        const caller_watch watch(exchange, [this, id] { withdraw(id); });
        co_await entry->signal.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!entry->started && !entry->refused) {
            m_queue.withdraw(id);
            entry->refused = notRun(failure_reason::queue_full, "the request was not admitted before its deadline");
        }
    }
    m_waiters.erase(id);
    if (entry->started)
        co_return id;
    co_return entry->refused.value_or(callerGoneFailure());
}

void admission_gate::leave(admission_id id, duration ran)
{
    admission_outcome outcome;
    m_queue.finish(id, ran, m_context.now(), outcome);
    apply(outcome);
}

void admission_gate::withdraw(admission_id id)
{
    const auto found = m_waiters.find(id);
    if (found == m_waiters.end() || found->second->started)
        return;
    m_queue.withdraw(id);
    found->second->refused = callerGoneFailure();
    found->second->signal.cancel();
}

void admission_gate::apply(const admission_outcome& outcome)
{
    for (const admission_id id : outcome.started) {
        const auto found = m_waiters.find(id);
        if (found == m_waiters.end())
            continue;
        found->second->started = true;
        found->second->signal.cancel();
    }
    for (const auto& [id, refused] : outcome.refused) {
        const auto found = m_waiters.find(id);
        if (found == m_waiters.end())
            continue;
        found->second->refused = refused;
        found->second->signal.cancel();
    }
    m_context.counters().set(metric::queued, m_queue.queued());
}

awaitable<void> admission_gate::shedLoop()
{
    boot_timer timer(m_context.io());
    for (;;) {
        timer.expires_after(shedInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (m_queue.queued() == 0)
            continue;
        admission_outcome outcome;
        m_queue.shed(m_context.now(), outcome);
        apply(outcome);
    }
}

} // namespace rampgap
