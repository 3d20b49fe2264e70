// Converts the contents of datagrams to and from messages.
#pragma once

#include "gateway.pb.h"
#include "policy/configuration/published_state.h"
#include "policy/groups/group_directory.h"
#include "policy/membership/peer_table.h"
#include "policy/routing/load_table.h"

#include <vector>

namespace rampgap {

// An age as it is sent; limited to 32 bits, 49 days.
std::uint32_t wholeMilliseconds(duration);

// Sets the summary fields of any message that has them.
template <class Message>
void setSummary(Message& message, const state_summary& summary)
{
    message.set_epoch(summary.position.epoch);
    message.set_revision(summary.position.revision);
    message.set_retained_digest(summary.retained);
}

template <class Message>
state_summary summaryOf(const Message& message)
{
    return { { message.epoch(), message.revision() }, message.retained_digest() };
}

// IPv4 addresses as numbers; a host that is no such address is left out.
void addHeartbeats(gateway::peer_datagram&, const std::vector<heartbeat>&);
std::vector<heartbeat> heartbeatsOf(const gateway::peer_datagram&);
gateway::process_identity toWire(const peer_info&);
peer_info fromWire(const gateway::process_identity&);

// Adds the sender's own work as a complete report.
void addWork(gateway::peer_datagram&, const load_report_by_hash&);
load_report_by_hash workOf(const gateway::peer_datagram&);

void addGroups(gateway::peer_datagram&, const std::vector<std::pair<group_update, milliseconds>>&);

// A leader's report of the requests at each rank of its group and of what lengthens its steps.
struct rank_load_report {
    group_key group;
    group_slowdown slowdown;
    // Mean duration of the group's passes; 0 if it was not measured.
    milliseconds pass { 0 };
    load_report_by_hash loads;
};

// Copies of `common`, each with as many ranks as fit a packet: a fragmented datagram is lost if any
// fragment is.
std::vector<gateway::peer_datagram> rankDatagrams(const gateway::peer_datagram& common, const rank_load_report&);
// Its loads are empty if the datagram has none.
rank_load_report ranksOf(const gateway::peer_datagram&);

} // namespace rampgap
