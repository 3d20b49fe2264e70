// The entry VM's process: callers' HTTP on one side, agents on the other.
#pragma once

#include "daemon/boot_timer.h"
#include "daemon/configuration_node.h"
#include "daemon/http_client.h"
#include "daemon/operator_pages.h"
#include "entry/request_dispatcher.h"
#include "policy/limits/rate_limiter.h"

#include <deque>
#include <map>

namespace rampgap {

class platform_source;

class entry_server : public http_handler, public peer_handler, public configuration_listener {
public:
    // Starts listening; the configuration comes later.
    static result<std::unique_ptr<entry_server>> start(process_context&, entry_settings);
    ~entry_server() override;

    int httpPort() const { return m_http->port(); }
    int peerPort() const { return m_peerServer->port(); }
    // Planned stop: not ready at once, then refuses new work, then ends.
    void leave();

    awaitable<void> handle(http_exchange&) override;
    awaitable<wire::ExchangeReply> onExchange(wire::ExchangeRequest) override;
    void onDeclaration(std::shared_ptr<const declaration>) override;
    void onVmList(const vm_list&) override;

private:
    entry_server(process_context&, entry_settings, std::unique_ptr<routing_policy>);

    awaitable<void> watchForPauses();
    awaitable<void> leaveGracefully();
    bool lookForPause();
    awaitable<void> serveCaller(http_exchange&);
    awaitable<void> refuse(http_exchange&, const failure&, const std::string& correlation);
    awaitable<bool> waitForRevision(std::uint64_t revision, instant deadline);
    awaitable<bool> enterSession(std::string session, instant deadline);
    void leaveSession(const std::string& session);

    process_context& m_context;
    entry_settings m_settings;
    http_client m_client;
    peer_client m_peers;
    std::unique_ptr<platform_source> m_platform;
    crash_history m_history;
    configuration_node m_configuration;
    operator_pages m_pages;
    pause_detector m_pauses;
    request_dispatcher m_dispatcher;
    rate_limiter m_limiter;
    std::shared_ptr<const fleet_snapshot> m_fleet;
    // Requests of one session run one after the other, in the order they came.
    std::map<std::string, std::deque<std::shared_ptr<boot_timer>>> m_sessions;
    std::unique_ptr<http_server> m_http;
    std::unique_ptr<peer_server> m_peerServer;
    std::uint64_t m_nextRequest = 1;
    int m_inFlight = 0;
    bool m_leaving = false;
    bool m_refusing = false;
};

} // namespace rampgap
