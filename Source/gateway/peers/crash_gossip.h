// Exchanges with the fleet which requests were running when servers crashed.
#pragma once

#include "daemon/http_message.h"
#include "daemon/process_context.h"
#include "gateway/peers/datagram_sender.h"
#include "policy/membership/peer_table.h"
#include "policy/requests/crash_history.h"

namespace rampgap {

class crash_gossip {
public:
    crash_gossip(process_context&, crash_history&, const peer_table&, datagram_sender&);

    // Sends new crash records to a few entry VMs at once; they pass them on to others.
    void publish();
    // Merges the crash records of a datagram. If the sender's digest differs, replies with the
    // repeated crashes known here.
    void receive(const gateway::peer_datagram&, const std::string& host);

private:
    awaitable<void> publishLoop();
    void reply(const std::string& host);

    process_context& m_context;
    crash_history& m_history;
    const peer_table& m_peers;
    datagram_sender& m_sender;
    bool m_publishing = false;
    instant m_nextReplyAt {};
};

} // namespace rampgap
