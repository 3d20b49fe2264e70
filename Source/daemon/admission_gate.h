// Makes requests wait until the admission queue starts or refuses them.
#pragma once

#include "daemon/boot_timer.h"
#include "daemon/http_server.h"
#include "policy/requests/admission_queue.h"

#include <memory>
#include <unordered_map>

namespace rampgap {

class admission_gate {
public:
    admission_gate(process_context&, admission_limits, bool shedding);

    // Starts the loop that refuses requests as soon as they are predicted to miss their deadline;
    // without it they wait until the deadline.
    void start();
    // Waits until the request may start, and returns the id for `leave`, or until it is refused. A
    // request whose caller disconnects while it waits is refused as not run.
    awaitable<result<admission_id>> enter(admission_request, http_exchange&);
    // `ran`: how long the request ran; a gate that sheds predicts the waits of others from it.
    void leave(admission_id, duration ran = duration::zero());
    void setSlots(int slots);
    // Starts waiting requests for which there are slots now.
    void startFitting();
    // See admission_queue::reserve.
    void reserve(int priority, int nth) { m_queue.reserve(priority, nth); }

    bool full() const { return m_queue.running() >= m_limits.slots; }
    int slots() const { return m_limits.slots; }
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
    void apply(const admission_outcome&);

    process_context& m_context;
    admission_limits m_limits;
    admission_queue m_queue;
    std::unordered_map<admission_id, std::shared_ptr<waiter>> m_waiters;
};

} // namespace rampgap
