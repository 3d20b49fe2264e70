// Sends datagrams to other processes of the fleet.
#pragma once

#include "gateway.pb.h"

#include <string>

namespace rampgap {

class datagram_sender {
public:
    virtual ~datagram_sender() = default;

    // Makes a datagram with the fields that describe its sender.
    virtual gateway::peer_datagram makeDatagram() const = 0;
    virtual void send(const std::string& host, const gateway::peer_datagram&) = 0;
};

} // namespace rampgap
