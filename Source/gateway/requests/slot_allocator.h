// Allocates request slots at the engines of model services.
#pragma once

#include "daemon/admission_slot.h"
#include "daemon/decision_log.h"
#include "gateway/fleet/fleet_state.h"
#include "gateway/requests/admitted_request.h"
#include "policy/groups/group_directory.h"
#include "policy/limits/server_backpressure.h"
#include "policy/requests/admission_wait.h"
#include "policy/requests/arrival_rate.h"
#include "policy/requests/delay_estimate.h"
#include "policy/requests/return_schedule.h"
#include "policy/requests/start_budget.h"
#include "policy/routing/load_table.h"
#include "policy/routing/pass_feedback.h"

#include <map>
#include <optional>

namespace rampgap {

class slot_allocator {
public:
    slot_allocator(process_context&, decision_log&, fleet_state&, load_table&, group_directory&, const server_backpressure&);

    // Waits for a slot for as long as that is of use to the caller. `begun`: an interrupted stream
    // that is to be resumed. `again`: the request was sent to a server before, so its caller may not
    // retry. Plain services need no slot.
    awaitable<result<admission_slot>> acquire(http_exchange&, const admitted_request&, bool begun, bool again);
    // Records that a caller has come for the first time.
    void recordNewCaller(const admitted_request& request) { slotsFor(request.service).newCallers.record(request.receivedAt); }
    // When a caller that gets no room is to come back.
    milliseconds planReturn(const admitted_request&);
    // The moments at which callers of the service come back.
    return_schedule& returnsOf(const std::string& service) { return slotsFor(service).returns; }
    // Time from a slot to the first event that a caller of a stream has to expect now, or once a closed group opens.
    milliseconds expectedFirstEvent(const admitted_request&, instant now);
    // Share of the service's slots that were in use when the last request arrived.
    double busyShare(const std::string& service) { return slotsFor(service).busyShare; }
    // Sets the number of active entry VMs, this one included.
    void setEntries(std::size_t entries) { m_entries = entries; }
    // Records the time from a slot to the first event of the answer.
    void recordFirstEvent(const std::string& service, milliseconds elapsed);
    // Mean plus two deviations of it.
    milliseconds typicalFirstEvent(const std::string& service) { return slotsFor(service).firstEvent.value(); }
    // Mean time from a slot to the end of the answer, as recently observed. Not a high percentile:
    // answers differ in length by a factor of ten, and a caller refused because its answer might be
    // long gets none at all.
    milliseconds typicalRun(const std::string& service);
    void recordCompletion(const std::string& service, milliseconds elapsed);
    // True if the slots of the request's service depend on the measured passes of its groups.
    static bool measuresPasses(const admitted_request&);
    // A gap between two events of the request's answer.
    void recordGap(const admitted_request&, std::uint32_t backendHash, duration gap);
    // To be called when an attempt has ended, before its slot is given back: the next waiting request gets the slot
    // only if it may still be used.
    void recordEnd(const admitted_request&);
    // Gives slots to waiting requests when there are more of them.
    void runPeriodicWork();

private:
    // State of one service.
    struct service_slots {
        explicit service_slots(process_context&);

        admission_gate gate;
        // Time from a slot to the first event, and to the end of the answer.
        delay_estimate firstEvent;
        // The former, of requests that were sent just after an opening.
        delay_estimate openingFirstEvent;
        delay_estimate run;
        double busyShare = 0;
        arrival_rate newCallers;
        return_schedule returns;
        // Requests that wait with lastChancePriority.
        int lastChances = 0;
        // Fixed random number that rounds the share of this process, so that the shares of all entry VMs add up to the whole.
        double draw;
        start_budget starts;
        // Of the last request whose route sets a gap; empty before the first one.
        std::optional<engine_costs> costs;
        milliseconds gapTarget { 0 };
        bool measured = false;
    };

    // Sequences that a group was to run, as last logged.
    struct logged_target {
        double running = 0;
        instant at;
    };

    service_slots& slotsFor(const std::string& service);
    // Sets how many slots this process may use now.
    // `own`: requests of this process at the engines; `wanted`: others wait to be started.
    void setSlots(const std::string& service, const std::optional<engine_costs>&, milliseconds gapTarget, service_slots&, int own, bool wanted);
    void updatePasses(const std::string& service, const engine_costs&, milliseconds gap, service_slots&);
    void logTarget(const pass_measure&, double running);
    // Refuses a request as it arrives if it can hardly be on time and there is a moment for its return.
    std::optional<failure> refuseEarly(const admitted_request&, const admission_wait_input&, int priority, service_slots&);
    return_request returnRequest(const admitted_request&, const service_slots&) const;
    // The time until the next free moment for a return; empty if none is free in time.
    std::optional<milliseconds> reserveReturn(const admitted_request&, service_slots&);
    awaitable<result<admission_slot>> enter(service_slots&, admission_request, http_exchange&);

    process_context& m_context;
    decision_log& m_log;
    fleet_state& m_state;
    load_table& m_loads;
    group_directory& m_groups;
    const server_backpressure& m_backpressure;
    std::map<std::string, service_slots> m_slotsByService;
    pass_feedback m_passes;
    std::map<group_key, logged_target> m_loggedTargets;
    std::size_t m_entries = 1;
};

} // namespace rampgap
