// Sends requests to backend servers and relays their answers; retries where that is safe.
#pragma once

#include "daemon/answer_relay.h"
#include "gateway/process/gateway_settings.h"
#include "gateway/requests/answer_end_judge.h"
#include "gateway/requests/call_registry.h"
#include "gateway/requests/crash_reporter.h"
#include "gateway/requests/slot_allocator.h"
#include "gateway/requests/stream_report.h"
#include "gateway/requests/upstream_picker.h"
#include "policy/groups/group_directory.h"
#include "policy/routing/load_table.h"

namespace rampgap {

class upstream_dispatcher {
public:
    // `maxHeldAnswers`: bytes of all answers together that are held back until they are complete.
    upstream_dispatcher(process_context&, decision_log&, const request_codec&, fleet_state&, load_table&, group_directory&, crash_history&, server_backpressure&, retry_bounds, std::size_t maxHeldAnswers);

    // Always completes the exchange, with an answer or a refusal.
    awaitable<void> dispatch(http_exchange&, const admitted_request&);
    // `entries`: active entry VMs; `maxLiveEntries`: those that may share the retry budget.
    void setEntryCounts(std::size_t entries, std::size_t maxLiveEntries);

    // The server was restarted under its id and has lost the calls it was running.
    void handleRestart(const listed_backend&);
    // The server's entry was added or changed.
    void handleListed(const listed_backend&);
    // Called when there are new crash records for the fleet.
    void onCrash(std::function<void()> action) { m_crashes.onUpdate(std::move(action)); }
    // Periodic work: updates what is known of crashes, and the request slots of waiting requests.
    void runPeriodicWork();

private:
    // State of one request across its attempts.
    struct progress {
        request_fingerprint fingerprint;
        // The parts of the prompt, in their order.
        std::vector<request_fingerprint> parts;
        // What servers may crash under: the request and the parts of its prompt.
        std::vector<request_fingerprint> suspects() const;
        attempted_servers attempted;
        // Attempts that a server may have run.
        int runs = 0;
        relay_progress relay;
        // What the servers sent of a stream, in their order, and the ids of the servers.
        std::vector<stream_run> streamRuns;
        verdict worst = verdict::not_run;
        std::string lastBackend;
        // What the server of the last attempt reported about itself.
        server_notice notice;
    };
    // How one attempt ended; without a failure the caller has its answer or has disconnected.
    struct attempt_outcome {
        std::optional<failure> failed;
        attempt_result result = attempt_result::answered;
    };

    // True if no group of the service is open, or if this process has just started and does not know
    // of any group yet.
    bool noGroupOpenFor(const admitted_request&) const;
    // Waits while no expert group of the service is open, for as long as that is of use to the caller.
    awaitable<std::optional<failure>> awaitOpenGroup(http_exchange&, const admitted_request&, const progress&);
    // Returns a failure if the request must not be sent to any server now, since servers crashed while
    // running it. Waits briefly while this is still undecided.
    awaitable<std::optional<failure>> checkCrashHistory(http_exchange&, const admitted_request&, const progress&);
    awaitable<std::optional<failure>> run(http_exchange&, const admitted_request&, progress&);
    awaitable<attempt_outcome> sendAttempt(http_exchange&, const admitted_request&, progress&, const listed_backend&);
    awaitable<attempt_outcome> processReply(http_exchange&, const admitted_request&, progress&, const listed_backend&, call_registry::registration&, http_head, instant sentAt, std::int64_t& unread);
    // Until when an attempt may stay without an answer.
    instant responseDeadline(const admitted_request&, const progress&, instant sentAt);
    // Whether a retry is safe and within the route's limit; does not check the retry budget.
    static bool mayRetry(const admitted_request&, const progress&, const attempt_outcome&);
    // The failure to answer with if no attempt follows the last one.
    failure finalFailure(const admitted_request&, const attempt_outcome& last);
    // The pause after which a caller whose request the engines refused is to retry.
    milliseconds pauseAfterRefusal(const admitted_request&);
    // Counts how a caller fared that was refused before and has come back.
    void countReturn(const admitted_request&, const progress&, const std::optional<failure>&);
    // Takes a retry from the shared budget; false if it is used up.
    bool consumeRetry(const admitted_request&, const attempt_outcome&);
    // The server broke off the call or was silent for too long.
    static bool endedByServer(const attempt_outcome&);
    // A retry of a call that its server broke off first waits for the probe of that server: if it
    // crashed, the request becomes suspected.
    static bool mustAwaitProbe(const admitted_request&, const attempt_outcome&);
    // The server did not crash as it began to answer.
    static bool isAnswerBegun(const attempt_outcome&, std::uint64_t events);
    std::shared_ptr<event_id_steps> idStepsOf(const std::string& service);
    static bool closesGroup(const admitted_request&);
    // A server has crashed under the request or part: withdraws the calls with it at other servers whose answers have not
    // begun.
    void withdrawCopies(request_fingerprint);
    // A refusal by a server with free slots shows that its group has closed, unless it asks to back off.
    void recordRefusal(const admitted_request&, const listed_backend&, const server_notice&);
    awaitable<void> refuse(http_exchange&, const admitted_request&, const progress&, failure);
    void logAttempt(const admitted_request&, const progress&, const listed_backend&, const attempt_outcome&, instant sentAt);

    process_context& m_context;
    decision_log& m_log;
    const request_codec& m_codec;
    fleet_state& m_state;
    load_table& m_loads;
    group_directory& m_groups;
    crash_history& m_history;
    server_backpressure& m_backpressure;
    http_client m_client;
    std::shared_ptr<byte_budget> m_heldAnswers;
    call_registry m_calls;
    crash_reporter m_crashes;
    answer_end_judge m_ends;
    slot_allocator m_slots;
    upstream_picker m_picker;
    shared_retry_budget m_budget;
    // By service.
    std::map<std::string, std::shared_ptr<event_id_steps>> m_idSteps;
};

} // namespace rampgap
