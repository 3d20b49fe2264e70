// What processes tell each other in datagrams, to and from messages.
#pragma once

#include "gateway.pb.h"
#include "policy/group_directory.h"
#include "policy/load_table.h"
#include "policy/peer_table.h"
#include "policy/published_state.h"

#include <vector>

namespace rampgap {

// An age as it travels; one of 49 days or more is cut to that.
std::uint32_t wholeMilliseconds(duration);

// What a process holds, in each message that says so.
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

gateway::process_identity toWire(const peer_info&);
peer_info fromWire(const gateway::process_identity&);

// The sender's own work, as a complete report.
void addWork(gateway::peer_datagram&, const load_report_by_hash&);
load_report_by_hash workOf(const gateway::peer_datagram&);

void addGroups(gateway::peer_datagram&, const std::vector<std::pair<group_update, milliseconds>>&);

// Requests at the ranks of a group and what lengthens its steps, by the group's leader.
struct ranks_report {
    group_key group;
    group_slowdown slowdown;
    load_report_by_hash loads;
};

// Each copied from `common`, with as many ranks as fit a packet: what is fragmented is lost
// with any of its parts.
std::vector<gateway::peer_datagram> rankDatagrams(const gateway::peer_datagram& common, const ranks_report&);
// Empty loads if the datagram carries none.
ranks_report ranksOf(const gateway::peer_datagram&);

} // namespace rampgap
