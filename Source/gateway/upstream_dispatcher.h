// Carries one request to a backend server and its answer back; tries again where safe.
#pragma once

#include "daemon/answer_relay.h"
#include "gateway/call_registry.h"
#include "gateway/crash_reporter.h"
#include "gateway/gateway_settings.h"
#include "gateway/place_giver.h"
#include "gateway/upstream_picker.h"
#include "policy/group_directory.h"
#include "policy/load_table.h"

namespace rampgap {

class upstream_dispatcher {
public:
    upstream_dispatcher(process_context&, decision_log&, const request_codec&, fleet_state&, load_table&, group_directory&, crash_history&, server_backpressure&, retry_bounds);

    // Answers the exchange, whatever happens.
    awaitable<void> dispatch(http_exchange&, const admitted_request&);
    // `entries`: entry VMs at work; `maxLiveEntries`: those that may share the retry budget.
    void setSharingProcesses(std::size_t entries, std::size_t maxLiveEntries);

    // The server was started again under its id: what it had taken is lost.
    void noteRestart(const listed_backend&);
    // Called when there are news of crashed servers for the fleet.
    void onCrash(std::function<void()> action) { m_crashes.onNews(std::move(action)); }
    // Periodic work.
    void settle() { m_crashes.settle(); }

private:
    // How far one request has come.
    struct progress {
        request_fingerprint fingerprint;
        tried_servers tried;
        // Tries that a server may have run.
        int runs = 0;
        relay_progress relay;
        verdict worst = verdict::not_run;
        std::string lastBackend;
        // What the last server said of itself.
        server_notice notice;
    };
    // How one try ended; without a failure the caller has its answer or is gone.
    struct try_outcome {
        std::optional<failure> failed;
        attempt_result result = attempt_result::answered;
    };

    // No group of its service is open, or a process that has just started has heard of none yet.
    bool noGroupFor(const admitted_request&) const;
    // Waits while the service's expert group is closed, as far as that serves the caller.
    awaitable<std::optional<failure>> awaitGroup(http_exchange&, const admitted_request&, const progress&);
    // Set if no server may run the request now, since some crashed under it. Waits where that will
    // be known in a moment.
    awaitable<std::optional<failure>> refusalOf(http_exchange&, const admitted_request&, const progress&);
    awaitable<std::optional<failure>> run(http_exchange&, const admitted_request&, progress&);
    awaitable<try_outcome> tryOn(http_exchange&, const admitted_request&, progress&, const listed_backend&);
    awaitable<try_outcome> takeReply(http_exchange&, const admitted_request&, progress&, const listed_backend&, call_registry::registration&, http_head, instant sentAt, std::int64_t& unread);
    // Until when a try may stay without an answer.
    instant headDeadlineOf(const admitted_request&, const progress&, instant sentAt);
    // Whether another try is safe and within the route's limit, whatever the budget says.
    static bool mayRepeat(const admitted_request&, const progress&, const try_outcome&);
    // Takes the other try from the shared budget.
    bool takeRetry(const admitted_request&, const try_outcome&);
    // The server broke off the call that it had taken, or said nothing for too long.
    static bool endedByServer(const try_outcome&);
    // Another try of a call that its server broke off waits for that: its crash puts the request off.
    static bool mustAwaitLook(const admitted_request&, const try_outcome&);
    static bool closesGroup(const admitted_request&);
    // Copies that have not begun are taken back from other servers once one has crashed.
    void takeBackCopies(request_fingerprint);
    // A server with room that refuses belongs to a group that has closed, unless it asks to back off.
    void noteRefusal(const admitted_request&, const listed_backend&, const server_notice&);
    awaitable<void> refuse(http_exchange&, const admitted_request&, const progress&, failure);
    void logTry(const admitted_request&, const progress&, const listed_backend&, const try_outcome&, instant sentAt);

    process_context& m_context;
    decision_log& m_log;
    const request_codec& m_codec;
    fleet_state& m_state;
    load_table& m_loads;
    group_directory& m_groups;
    crash_history& m_history;
    server_backpressure& m_backpressure;
    http_client m_client;
    call_registry m_calls;
    crash_reporter m_crashes;
    place_giver m_places;
    upstream_picker m_picker;
    shared_retry_budget m_budget;
};

} // namespace rampgap
