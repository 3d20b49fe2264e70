// The agent in a backend server VM: the only way to its engine.
#pragma once

#include "agent/engine_guard.h"
#include "agent/group_member.h"
#include "agent/home_keeper.h"
#include "daemon/admission_gate.h"
#include "daemon/answer_relay.h"
#include "daemon/operator_pages.h"
#include "policy/limits/engine_throttle.h"
#include "policy/requests/permit_issuer.h"

namespace rampgap {

class platform_source;

class agent_server : public http_handler, public peer_handler, public configuration_listener {
public:
    static result<std::unique_ptr<agent_server>> start(process_context&, agent_settings);
    ~agent_server() override;

    int httpPort() const { return m_http->port(); }
    int peerPort() const { return m_peerServer->port(); }
    // Planned stop: refuses new work at once, finishes what it has, gives its ids away.
    void leave();

    awaitable<void> handle(http_exchange&) override;
    awaitable<wire::ExchangeReply> onExchange(wire::ExchangeRequest) override;
    awaitable<wire::HandoverReply> onHandover(wire::HandoverRequest) override;
    awaitable<wire::DepositReply> onDeposit(wire::DepositRequest) override;
    awaitable<wire::GroupMessage> onGroup(wire::GroupMessage) override;
    void onDeclaration(std::shared_ptr<const declaration>) override;

private:
    // A request as the entry VM described it.
    struct work_order {
        std::string correlation;
        admission_request admission;
        std::optional<request_id> onceId;
        std::uint64_t bodyDigest = 0;
        request_fingerprint fingerprint;
        std::vector<request_fingerprint> parts;
        // The entry VM that sent it.
        std::string entry;
    };

    agent_server(process_context&, agent_settings);

    awaitable<void> leaveGracefully();
    awaitable<void> serveEntry(http_exchange&);
    result<work_order> readOrder(const http_request&, instant receivedAt) const;
    // Checks permit and home and claims the id. An answer means it ran before.
    result<std::optional<stored_answer>> claim(const http_request&, const work_order&);
    awaitable<std::optional<failure>> run(http_exchange&, const work_order&);
    awaitable<std::optional<failure>> callEngine(http_exchange&, const work_order&);
    // Records the limits that the engine reports in an answer. Returns how long it asks for no requests, if it refused
    // this one for that reason.
    std::optional<milliseconds> takeNotice(const http_head&);
    // Returns when a connection to the engine ends, or none is let in: what comes next may be
    // another life of it.
    awaitable<void> awaitEngineEnd();
    // The engine ended a call after so many events.
    awaitable<void> recordLost(server_incarnation, const work_order&, std::uint64_t events, instant sentAt);
    // Whether an answer without length or chunks had ended before its engine's process did.
    awaitable<answer_end_sign> judgeEnd(server_incarnation life, const work_order&, std::uint64_t events, instant sentAt, bool streams);
    awaitable<void> refuse(http_exchange&, const failure&, const std::string& correlation);
    void addOwnHeaders(http::fields&);

    process_context& m_context;
    agent_settings m_settings;
    http_client m_client;
    peer_client m_peers;
    std::unique_ptr<platform_source> m_platform;
    crash_history m_history;
    configuration_node m_configuration;
    engine_guard m_engine;
    engine_throttle m_intake;
    operator_pages m_pages;
    permit_issuer m_permits;
    execution_guard m_guard;
    home_keeper m_keeper;
    group_member m_group;
    admission_gate m_gate;
    std::unique_ptr<http_server> m_http;
    std::unique_ptr<peer_server> m_peerServer;
    bool m_declared = false;
    bool m_leaving = false;
    int m_inFlight = 0;
};

} // namespace rampgap
