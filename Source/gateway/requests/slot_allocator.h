// Allocates request slots at the engines of model services.
#pragma once

#include "daemon/admission_slot.h"
#include "daemon/decision_log.h"
#include "gateway/fleet/fleet_state.h"
#include "gateway/requests/admitted_request.h"
#include "policy/groups/group_directory.h"
#include "policy/limits/server_backpressure.h"
#include "policy/requests/admission_wait.h"
#include "policy/requests/delay_estimate.h"
#include "policy/requests/return_schedule.h"
#include "policy/routing/load_table.h"

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

private:
    // State of one service.
    struct service_slots {
        explicit service_slots(process_context&);

        admission_gate gate;
        // Time from a slot to the first event, and to the end of the answer.
        delay_estimate firstEvent;
        delay_estimate run;
        // When callers that are refused early come back.
        return_schedule returns;
        double busyShare = 0;
    };

    service_slots& slotsFor(const std::string& service);
    // Sets how many slots this process may use now.
    void setSlots(const admitted_request&, service_slots&) const;
    // Refuses a request as it arrives if it can hardly be on time and there is a moment for its return.
    std::optional<failure> refuseEarly(const admitted_request&, const admission_wait_input&, int priority, service_slots&);
    static awaitable<result<admission_slot>> enter(admission_gate&, admission_request, http_exchange&);

    process_context& m_context;
    decision_log& m_log;
    fleet_state& m_state;
    load_table& m_loads;
    group_directory& m_groups;
    const server_backpressure& m_backpressure;
    std::map<std::string, service_slots> m_slotsByService;
    std::size_t m_entries = 1;
};

} // namespace rampgap
