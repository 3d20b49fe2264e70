// The process of an entry VM: creates its parts, and starts, reloads and stops them.
#pragma once

#include "gateway/fleet/store_follower.h"
#include "gateway/peers/peer_exchange.h"
#include "gateway/requests/gateway_server.h"

#include <boost/asio/signal_set.hpp>
#include <functional>

namespace rampgap {

// The interfaces that a platform's adapter implements.
struct platform_adapter {
    const request_codec& codec;
    const fleet_decoder& decoder;
    published_source& source;
    // Path of the readiness check.
    std::string readinessPath;
    // Reads the settings again, to find changes.
    std::function<result<gateway_settings>()> reloadSettings;
};

// Serves pages by path.
class page_handler : public http_handler {
public:
    using page = std::function<http_response(const http_request&)>;

    void add(std::string path, page handler) { m_pages.emplace(std::move(path), std::move(handler)); }
    awaitable<void> handle(http_exchange&) override;

private:
    std::map<std::string, page> m_pages;
};

class gateway_process {
public:
    static result<std::unique_ptr<gateway_process>> start(process_context&, decision_log&, gateway_settings, platform_adapter);
    ~gateway_process();

private:
    gateway_process(process_context&, decision_log&, gateway_settings, platform_adapter);

    result<void> openPorts();
    void addPages();
    awaitable<void> housekeeping();
    awaitable<void> watchSignals();
    awaitable<void> stopGracefully();
    void reload();
    void applyLimits();
    bool ready() const;
    // Whether this process should read the store now.
    bool shouldReadStore() const;
    void logReadiness();

    process_context& m_context;
    decision_log& m_log;
    gateway_settings m_settings;
    platform_adapter m_adapter;
    fleet_state m_state;
    load_table m_loads;
    group_directory m_groups;
    crash_history m_history;
    server_backpressure m_backpressure;
    upstream_dispatcher m_dispatcher;
    gateway_server m_front;
    store_follower m_follower;
    page_handler m_readinessPages;
    page_handler m_controlPages;
    page_handler m_metricsPages;
    std::unique_ptr<peer_exchange> m_peers;
    std::unique_ptr<http_server> m_frontPort;
    std::unique_ptr<http_server> m_readinessPort;
    std::unique_ptr<http_server> m_controlPort;
    std::unique_ptr<http_server> m_metricsPort;
    boost::asio::signal_set m_signals;
    // Random number from 0 to 1 that spreads the first store readings of processes that start together.
    double m_joinDelayDraw = 0;
    bool m_leaving = false;
    bool m_wasReady = false;
};

// Flushes the log periodically while the context runs.
awaitable<void> flushLog(process_context&, decision_log&);
// Logs the exceptions that end tasks; the number of lines per second is bounded.
void logExceptions(process_context&, decision_log&);

} // namespace rampgap
