// Tells the fleet which servers limit their requests, and carries grants from their arbiters.
#pragma once

#include "daemon/decision_log.h"
#include "daemon/process_context.h"
#include "gateway/datagram_sender.h"
#include "policy/limit_arbiter.h"
#include "policy/peer_table.h"

namespace rampgap {

class limit_exchange {
public:
    limit_exchange(process_context&, decision_log&, server_limits&, const peer_table&, datagram_sender&);

    // Adds the words that are new here.
    void addNews(gateway::peer_datagram&) const;
    // Adds all words, for a process that has just started.
    void addKnown(gateway::peer_datagram&) const;
    // Sends the questions for grants to the servers' arbiters.
    void ask();
    void receive(const gateway::peer_datagram&, const std::string& host);

private:
    void takeWords(const gateway::peer_datagram&, const std::string& host);
    gateway::peer_datagram answersTo(const gateway::peer_datagram&, const std::string& host);
    grant_answer answerTo(const grant_question&, const std::string& host);
    // This VM has been there long enough to know the others, and is the server's arbiter.
    bool isArbiter(server_hash) const;

    process_context& m_context;
    decision_log& m_log;
    server_limits& m_limits;
    const peer_table& m_peers;
    datagram_sender& m_sender;
    limit_arbiter m_office;
};

} // namespace rampgap
