// Gives requests their places at the engines of model services.
#pragma once

#include "daemon/admission_place.h"
#include "gateway/admitted_request.h"
#include "gateway/fleet_state.h"
#include "policy/delay_estimate.h"
#include "policy/group_directory.h"
#include "policy/load_table.h"
#include "policy/server_backpressure.h"

#include <map>

namespace rampgap {

class place_giver {
public:
    place_giver(process_context&, fleet_state&, load_table&, group_directory&, const server_backpressure&);

    // Waits for a place, as long as that serves the caller. `begun`: a stream that was cut off
    // and is to go on. `again`: it has been at a server, so that its caller may have no other
    // chance. Plain services need no place.
    awaitable<result<admission_place>> take(http_exchange&, const admitted_request&, bool begun, bool again);
    // Part of the places of the service that were taken when the last request came.
    double busyFraction(const std::string& service) { return deskOf(service).busyFraction; }
    // Entry VMs at work, this one included.
    void setEntries(std::size_t entries) { m_entries = entries; }
    // What a request met after it had its place.
    void noteFirstEvent(const std::string& service, milliseconds taken);
    // Mean and two deviations of that.
    milliseconds usualFirstEvent(const std::string& service) { return deskOf(service).firstEvent.value(); }
    // From a place to the end of the answer, as lately observed: the mean, since answers differ
    // in length by a factor of ten, and whoever is refused for fear of a long one gets none.
    milliseconds typicalRunTime(const std::string& service);
    void noteEnd(const std::string& service, milliseconds taken);

private:
    // Of one service.
    struct desk {
        explicit desk(process_context&);

        admission_gate gate;
        // From a place to the first event, and to the end of the answer.
        delay_estimate firstEvent;
        delay_estimate run;
        double busyFraction = 0;
    };

    desk& deskOf(const std::string& service);
    // Sets how many places this process may use now.
    void setSlots(const admitted_request&, desk&) const;
    static awaitable<result<admission_place>> enter(admission_gate&, admission_request, http_exchange&);

    process_context& m_context;
    fleet_state& m_state;
    load_table& m_loads;
    group_directory& m_groups;
    const server_backpressure& m_backpressure;
    std::map<std::string, desk> m_desks;
    std::size_t m_entries = 1;
};

} // namespace rampgap
