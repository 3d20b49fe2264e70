// Messages between rampgap processes over gRPC. Handlers and results run on the process's Asio thread.
#pragma once

#include "daemon/http_message.h"
#include "daemon/process_context.h"

#include <memory>
#include <string>

namespace rampgap::wire {
class Standing;
class ExchangeRequest;
class ExchangeReply;
class HandoverRequest;
class HandoverReply;
class DepositRequest;
class DepositReply;
class GroupMessage;
}

namespace rampgap {

// Answers messages of other processes; called on the process's Asio thread.
class peer_handler {
public:
    virtual ~peer_handler() = default;

    virtual awaitable<wire::ExchangeReply> onExchange(wire::ExchangeRequest) = 0;
    virtual awaitable<wire::HandoverReply> onHandover(wire::HandoverRequest);
    virtual awaitable<wire::DepositReply> onDeposit(wire::DepositRequest);
    virtual awaitable<wire::GroupMessage> onGroup(wire::GroupMessage);
};

class peer_server {
public:
    static result<std::unique_ptr<peer_server>> listen(process_context&, const std::string& address, peer_handler&);
    ~peer_server();

    int port() const;
    void stop();

private:
    struct implementation;
    explicit peer_server(std::unique_ptr<implementation>);

    std::unique_ptr<implementation> m_implementation;
};

// Calls other processes by address. Only a limited number of channels stays open, as exchanges go to
// random peers.
class peer_client {
public:
    explicit peer_client(process_context&);
    ~peer_client();

    awaitable<result<wire::ExchangeReply>> exchange(std::string address, wire::ExchangeRequest, milliseconds timeout);
    awaitable<result<wire::HandoverReply>> handover(std::string address, wire::HandoverRequest, milliseconds timeout);
    awaitable<result<wire::DepositReply>> deposit(std::string address, wire::DepositRequest, milliseconds timeout);
    awaitable<result<wire::GroupMessage>> group(std::string address, wire::GroupMessage, milliseconds timeout);

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace rampgap
