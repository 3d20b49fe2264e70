// Lets requests wait for their turn at the admission queue.
#pragma once

#include "daemon/boot_timer.h"
#include "daemon/http_server.h"
#include "policy/admission_queue.h"

#include <memory>
#include <unordered_map>

namespace rampgap {

class admission_gate {
public:
    admission_gate(process_context&, admission_limits, bool shedding);

    // Starts the loop that refuses early what is predicted to miss its deadline; without it
    // requests wait until their deadline.
    void start();
    // Returns when the request may start, with the id to finish it by, or is refused; a
    // request whose caller goes away while it waits is refused as not run.
    awaitable<result<admission_id>> enter(admission_request, http_exchange&);
    // `ran` predicts the waits of others where the gate sheds.
    void leave(admission_id, duration ran = duration::zero());
    void setSlots(int slots);
    // See admission_queue::reserve.
    void reserve(int priority, int nth) { m_queue.reserve(priority, nth); }

    bool full() const { return m_queue.running() >= m_limits.slots; }
    const admission_queue& queue() const { return m_queue; }

private:
    struct waiter {
        waiter(boost::asio::io_context& io, instant deadline)
            : signal(io, deadline)
        {
        }
        boot_timer signal;
        bool started = false;
        std::optional<failure> refused;
    };

    awaitable<void> shedLoop();
    void withdraw(admission_id);
    void carryOut(const admission_outcome&);

    process_context& m_context;
    admission_limits m_limits;
    admission_queue m_queue;
    std::unordered_map<admission_id, std::shared_ptr<waiter>> m_waiters;
};

} // namespace rampgap
