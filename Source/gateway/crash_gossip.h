// Tells the fleet which requests servers crashed under, and learns it from the fleet.
#pragma once

#include "daemon/http_message.h"
#include "daemon/process_context.h"
#include "gateway/datagram_sender.h"
#include "policy/crash_history.h"
#include "policy/peer_table.h"

namespace rampgap {

class crash_gossip {
public:
    crash_gossip(process_context&, crash_history&, const peer_table&, datagram_sender&);

    // Tells a few entry VMs at once of what is new here; they tell others.
    void tell();
    // Takes what a datagram tells, and tells its sender what it seems to lack.
    void receive(const gateway::peer_datagram&, const std::string& host);

private:
    awaitable<void> spread();
    void answer(const std::string& host);

    process_context& m_context;
    crash_history& m_history;
    const peer_table& m_peers;
    datagram_sender& m_sender;
    bool m_spreading = false;
    instant m_nextAnswer {};
};

} // namespace rampgap
