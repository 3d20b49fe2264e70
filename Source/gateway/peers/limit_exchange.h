// Gossips which servers limit their requests, and exchanges grants with the servers' arbiters.
#pragma once

#include "daemon/decision_log.h"
#include "daemon/process_context.h"
#include "gateway/peers/datagram_sender.h"
#include "policy/limits/limit_arbiter.h"
#include "policy/membership/peer_table.h"

namespace rampgap {

class limit_exchange {
public:
    limit_exchange(process_context&, decision_log&, server_limits&, const peer_table&, datagram_sender&);

    // Adds the limits that changed recently.
    void addUpdates(gateway::peer_datagram&) const;
    // Adds all known limits, for a process that has just started.
    void addKnownLimits(gateway::peer_datagram&) const;
    // Sends the pending queries for grants to the servers' arbiters.
    void sendGrantQueries();
    void receive(const gateway::peer_datagram&, const std::string& host);

private:
    void mergeLimits(const gateway::peer_datagram&, const std::string& host);
    gateway::peer_datagram makeGrantAnswers(const gateway::peer_datagram&, const std::string& host);
    grant_answer makeGrantAnswer(const grant_question&, const std::string& host);
    // True if this VM has run long enough to know the others and is the server's arbiter.
    bool isArbiter(server_hash) const;

    process_context& m_context;
    decision_log& m_log;
    server_limits& m_limits;
    const peer_table& m_peers;
    datagram_sender& m_sender;
    limit_arbiter m_arbiter;
};

} // namespace rampgap
