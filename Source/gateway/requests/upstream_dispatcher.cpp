#include "gateway/requests/upstream_dispatcher.h"

#include "daemon/caller_watch.h"
#include "daemon/scope_exit.h"
#include "gateway/requests/request_wait.h"
#include "policy/groups/group_wait.h"
#include "policy/requests/attempt_rules.h"
#include "policy/requests/silence_limit.h"
#include <algorithm>

namespace rampgap {

namespace {

    // A repeatable plain request without an answer after so many times its latency target is retried
    // at another server.
    constexpr int maxSilentTargets = 3;
    // Time after its start within which a process learns of all groups that have agents, even if all
    // machines start together.
    constexpr milliseconds groupDiscoveryTime { 3'000 };
    // Time after its start within which a process receives the first reports of groups that are
    // already running.
    constexpr milliseconds firstGroupReportTime { 800 };
    // With less time left no server can answer the caller in time.
    constexpr milliseconds minTimeLeft { 20 };
    constexpr milliseconds groupPoll { 20 };
    constexpr milliseconds fullRetryAfter { 200 };

    // Longest body of a refusal that is read in order to keep the connection.
    constexpr std::size_t maxDiscardedBody = 65'536;
    // It follows its head at once. The request waits here for another server meanwhile.
    constexpr milliseconds maxDiscardTime { 100 };
    // Configurations come and go, and each may name other services.
    constexpr std::size_t maxServices = 1'024;
    // Reads and discards an answer's body; closes the connection if that fails.
    awaitable<void> discardBody(http_call& call)
    {
        call.expireAt(boot_clock::now() + maxDiscardTime);
        const auto body = co_await call.readAll(maxDiscardedBody);
        if (!body)
            call.cancel();
    }

} // namespace

upstream_dispatcher::upstream_dispatcher(process_context& context, decision_log& log, const request_codec& codec, fleet_state& state, load_table& loads, group_directory& groups, crash_history& history, server_backpressure& backpressure, retry_bounds bounds, std::size_t maxHeldAnswers)
    : m_context(context)
    , m_log(log)
    , m_codec(codec)
    , m_state(state)
    , m_loads(loads)
    , m_groups(groups)
    , m_history(history)
    , m_backpressure(backpressure)
    , m_client(context, serverConnectTimeout)
    , m_heldAnswers(std::make_shared<byte_budget>(maxHeldAnswers))
    , m_crashes(context, log, state, history, codec.makeProbe())
    , m_ends(context, log, groups, m_crashes)
    , m_slots(context, log, state, loads, groups, backpressure)
    , m_picker(context, log, state, loads, groups, backpressure)
    , m_budget(bounds, context.startedAt())
{
    m_history.onChange([this](request_fingerprint request) { withdrawCopies(request); });
}

std::vector<request_fingerprint> upstream_dispatcher::progress::suspects() const
{
    std::vector<request_fingerprint> all { fingerprint };
    all.insert(all.end(), parts.begin(), parts.end());
    return all;
}

awaitable<void> upstream_dispatcher::dispatch(http_exchange& exchange, const admitted_request& request)
{
    m_budget.recordRequest(request.service, m_context.now());
    if (request.costs && request.isFirstAttempt())
        m_slots.recordNewCaller(request);
    progress state;
    state.fingerprint = fingerprintOf(exchange.request().method_string(), exchange.request().target(), request.parsed.key, exchange.request().body());
    state.relay.lastEventId = request.parsed.lastEventId;
    for (const auto& part : request.parsed.promptParts)
        state.parts.push_back(fingerprintOfPart(request.service, part.id));
    auto failed = co_await run(exchange, request, state);
    m_context.counters().observe(latency::request, m_context.now() - request.receivedAt);
    if (!exchange.callerGone())
        countReturn(request, state, failed);
    logStreamEnd(m_log, request.parsed, state.streamRuns, exchange.callerGone() ? "caller_gone" : failed ? "broken_off"
                                                                                                         : "complete");
    if (failed)
        co_await refuse(exchange, request, state, std::move(*failed));
    else
        m_context.counters().add(metric::requests_answered);
}

awaitable<std::optional<failure>> upstream_dispatcher::run(http_exchange& exchange, const admitted_request& request, progress& state)
{
    std::optional<attempt_outcome> last;
    for (;;) {
        const instant now = m_context.now();
        if (request.timeLeft(now) < minTimeLeft) {
            failure late { state.worst, failure_reason::deadline, "the deadline has passed", std::nullopt };
            if (late.ran == verdict::not_run) {
                late.reason = failure_reason::no_backend;
                late.retryAfter = milliseconds(0);
            }
            co_return late;
        }
        if (last && !mayRetry(request, state, *last))
            co_return finalFailure(request, *last);
        if (auto refused = co_await checkCrashHistory(exchange, request, state))
            co_return refused;
        if (auto closed = co_await awaitOpenGroup(exchange, request, state))
            co_return closed;
        if (exchange.callerGone())
            co_return std::nullopt;
        if (auto refused = m_picker.backoffFailure(request)) {
            refused->ran = state.worst;
            co_return refused;
        }
        const auto slot = co_await m_slots.acquire(exchange, request, state.relay.begun, last.has_value());
        if (exchange.callerGone())
            co_return std::nullopt;
        if (!slot)
            co_return failure { state.worst, slot.error().reason, slot.error().message, slot.error().retryAfter };
        // A crash may have become known during the wait.
        if (auto refused = co_await checkCrashHistory(exchange, request, state))
            co_return refused;
        if (exchange.callerGone())
            co_return std::nullopt;
        if (last && !consumeRetry(request, *last))
            co_return finalFailure(request, *last);
        const std::string id = co_await m_picker.pick(exchange, request, state.attempted);
        if (exchange.callerGone())
            co_return std::nullopt;
        const auto* chosen = m_state.backends().find(id);
        if (!chosen) {
            if (last)
                co_return finalFailure(request, *last);
            co_return m_picker.unavailableFailure(request);
        }
        // By value: the list may change while the request is at the server.
        const listed_backend backend = *chosen;
        state.attempted.all.push_back(id);
        state.lastBackend = id;
        last = co_await sendAttempt(exchange, request, state, backend);
        if (!last->failed)
            co_return std::nullopt;
        if (last->result == attempt_result::silent || last->result == attempt_result::unreachable)
            state.attempted.silent.push_back(id);
        // Once an attempt may have run, so may the request, whatever the outcome of later attempts.
        state.worst = std::max(state.worst, last->failed->ran);
        last->failed->ran = state.worst;
        if (mustAwaitProbe(request, *last))
            co_await m_crashes.awaitProbe(backend);
        if (exchange.callerGone())
            co_return std::nullopt;
    }
}

// A blocked or suspected request is refused at once, with the truth that it will not run here.
// Without this check such a request crashes one server after the other, and hardly anything else is
// served. A request that ran on one of many servers that crashed together is held until it is
// cleared: a refusal would send its caller away for a minute.
awaitable<std::optional<failure>> upstream_dispatcher::checkCrashHistory(http_exchange& exchange, const admitted_request& request, const progress& state)
{
    if (const auto until = m_history.clearancePendingUntil(state.fingerprint, m_context.now())) {
        std::function<bool()> undecided = [this, &state] { return m_history.clearancePendingUntil(state.fingerprint, m_context.now()).has_value(); };
        co_await waitWhile(m_context, exchange, std::move(undecided), std::min(*until, request.deadline), groupPoll);
    }
    auto refused = m_history.refuse({ state.fingerprint, closesGroup(request), state.runs > 0, state.parts }, m_context.now());
    const auto clearedBy = refused ? std::string_view() : m_history.clearanceReason(state.fingerprint, m_context.now());
    if (refused)
        refused->ran = state.worst;
    else if (!clearedBy.empty())
        m_log.requestLine("suspicion_lifted").add("request", request.parsed.id).add("fingerprint", toString(state.fingerprint)).add("reason", std::string(clearedBy));
    co_return refused;
}

// After a start of the whole fleet no group is open: requests sent before the first report of that
// would be refused and lose their first attempt.
bool upstream_dispatcher::noGroupOpenFor(const admitted_request& request) const
{
    if (!request.costs)
        return false;
    const instant now = m_context.now();
    const bool awaitsReport = request.costs->layerSets > 0 && now - m_context.startedAt() < firstGroupReportTime && !m_groups.hasGroups(request.service, now);
    return awaitsReport || m_groups.closed(request.service, now);
}

awaitable<std::optional<failure>> upstream_dispatcher::awaitOpenGroup(http_exchange& exchange, const admitted_request& request, const progress& state)
{
    if (!noGroupOpenFor(request))
        co_return std::nullopt;
    group_wait_input input;
    input.timeLeft = request.timeLeft(m_context.now());
    input.patience = callerPatience(request.route.latencyTarget, request.route.gapTarget);
    input.waited = request.waited(m_context.now());
    input.run = m_slots.typicalRun(request.service);
    input.firstEvent = m_slots.expectedFirstEvent(request, m_context.now());
    input.closedFor = m_groups.closedFor(request.service, m_context.now());
    input.mayReturn = slot_allocator::measuresPasses(request) && request.isFirstAttempt() && state.attempted.all.empty() && m_groups.closed(request.service, m_context.now());
    group_wait_decision decision = decideGroupWait(input);
    // The caller of an interrupted stream has been waiting since its last event.
    if (state.relay.begun)
        decision.wait = resumeWait;
    std::function<bool()> missing = [this, &request] { return noGroupOpenFor(request); };
    co_await waitWhile(m_context, exchange, std::move(missing), m_context.now() + decision.wait, groupPoll);
    if (exchange.callerGone() || !noGroupOpenFor(request))
        co_return std::nullopt;
    co_return failure { state.worst, failure_reason::no_backend, "no expert group of the service has been open for " + std::to_string(m_groups.closedFor(request.service, m_context.now()).count()) + " ms", decision.retryAfter };
}

void upstream_dispatcher::setEntryCounts(std::size_t entries, std::size_t maxLiveEntries)
{
    m_slots.setEntries(entries);
    m_budget.setSharingProcesses(maxLiveEntries);
}

void upstream_dispatcher::runPeriodicWork()
{
    m_ends.pauses();
    m_crashes.runPeriodicWork();
    m_slots.runPeriodicWork();
}

void upstream_dispatcher::handleRestart(const listed_backend& backend)
{
    m_client.closeIdle(backend.address);
    m_backpressure.forget(backendHash(backend.id), m_context.now());
    const std::size_t ended = m_calls.cancelAll(backend.id);
    if (ended > 0)
        m_log.line("calls_ended").add("backend", backend.id).add("calls", ended).add("reason", "the server was restarted");
}

// The entry says how long the server stays cold from the time of writing. That time is not known here, so reading
// counts in its place, and the server is taken for cold for a moment too long.
void upstream_dispatcher::handleListed(const listed_backend& backend)
{
    const auto configuration = m_state.configuration();
    const auto* service = configuration ? configuration->findService(backend.service) : nullptr;
    const double perSecond = service ? service->coldRequestsPerSecond : 0;
    if (perSecond <= 0 || backend.coldFor <= milliseconds(0))
        return;
    m_backpressure.limits.recordCold(backendHash(backend.id), perSecond, m_context.now() + backend.coldFor);
    m_log.line("backend_cold").add("backend", backend.id).add("cold_ms", backend.coldFor).add("limit_per_s", perSecond);
}

bool upstream_dispatcher::mayRetry(const admitted_request& request, const progress& state, const attempt_outcome& last)
{
    const bool resumable = request.route.repeat == repeat_rule::streaming && request.route.resumable && state.relay.mayGoOn;
    return mayAttemptAgain({ last.failed->ran, request.route.repeatable(), resumable, request.route.maxAttempts, state.runs, state.attempted.all.size(), state.relay.begun });
}

// Load pattern: all servers of a service ask to back off. A refusal of one of them does not say when the
// service accepts requests again; the backoffs of all do.
failure upstream_dispatcher::finalFailure(const admitted_request& request, const attempt_outcome& last)
{
    if (last.failed->ran == verdict::not_run) {
        if (auto refused = m_picker.backoffFailure(request))
            return *refused;
    }
    failure failed = *last.failed;
    if (request.costs && last.result == attempt_result::refused && failed.ran == verdict::not_run)
        failed.retryAfter = pauseAfterRefusal(request);
    return failed;
}

// How long a closure lasts is not known, so that the longest pause has the best chance to outlast it.
milliseconds upstream_dispatcher::pauseAfterRefusal(const admitted_request& request)
{
    return noGroupOpenFor(request) ? longestRetryPause(request.timeLeft(m_context.now())) : m_slots.planReturn(request);
}

void upstream_dispatcher::countReturn(const admitted_request& request, const progress& state, const std::optional<failure>& failed)
{
    if (!request.costs || request.isFirstAttempt())
        return;
    if (!failed && state.attempted.all.size() == 1)
        m_context.counters().add(metric::returns_served);
    else if (failed && failed->ran == verdict::not_run)
        m_context.counters().add(metric::returns_refused);
}

bool upstream_dispatcher::consumeRetry(const admitted_request& request, const attempt_outcome& last)
{
    if (last.result == attempt_result::unreachable)
        return true;
    if (!m_budget.tryConsume(request.service, m_context.now())) {
        m_log.requestLine("retry_denied").add("request", request.parsed.id).add("reason", "the shared retry budget is used up").add("service", request.service);
        return false;
    }
    m_context.counters().add(metric::retries);
    return true;
}

// A rank in no leader's report may belong to a group that this process does not know, so its refusal
// is ignored, except soon after the start, when no group is known and one that started together with
// this process is still forming. A server that asks to back off speaks only for itself: when that was
// taken for a closed group, callers waited though other ranks had free slots.
void upstream_dispatcher::recordRefusal(const admitted_request& request, const listed_backend& backend, const server_notice& notice)
{
    if (notice.backoff)
        return;
    const bool justStarted = m_context.now() - m_context.startedAt() < groupDiscoveryTime;
    if (request.costs && (justStarted || m_loads.isKnownRank(backend.id)) && m_loads.total(backend.id, m_context.now()).requests <= backend.capacity)
        m_groups.recordRefusal(request.service, backendHash(backend.id), m_context.now());
}

// A silent attempt is given up early only if another one may follow.
instant upstream_dispatcher::responseDeadline(const admitted_request& request, const progress& state, instant sentAt)
{
    const bool mayRetry = request.route.repeatable() && state.runs + 1 < request.route.maxAttempts;
    if (!mayRetry || !m_budget.allowsRetry(request.service, sentAt))
        return request.deadline;
    if (request.route.repeat == repeat_rule::idempotent)
        return std::min(request.deadline, sentAt + maxSilentTargets * request.route.latencyTarget);
    if (!request.costs || state.relay.begun)
        return request.deadline;
    first_event_input input;
    input.typicalDelay = m_slots.typicalFirstEvent(request.service);
    input.latencyTarget = request.route.latencyTarget;
    input.patience = callerPatience(request.route.latencyTarget, request.route.gapTarget);
    input.waited = request.waited(sentAt);
    input.busyFraction = m_slots.busyShare(request.service);
    const auto limit = firstEventLimit(input);
    return limit ? std::min(request.deadline, sentAt + *limit) : request.deadline;
}

awaitable<upstream_dispatcher::attempt_outcome> upstream_dispatcher::sendAttempt(http_exchange& exchange, const admitted_request& request, progress& state, const listed_backend& backend)
{
    const instant sentAt = m_context.now();
    upstream_context facts { backend.id, request.workspace, request.timeLeft(sentAt), state.relay.lastEventId, std::nullopt };
    if (request.sendsPriority)
        facts.priority = request.priority;
    http_call call(m_client);
    const caller_watch watch(exchange, [&call] { call.cancel(); });
    call_registry::registration underWay(m_calls, backend.id, call, closesGroup(request) ? state.suspects() : std::vector<request_fingerprint> {});
    if (request.route.repeat == repeat_rule::non_idempotent)
        call.useFreshConnection();
    std::int64_t unread = request.parsed.promptTokens;
    const std::uint64_t eventsBefore = state.relay.events;
    std::vector<request_fingerprint> isolated = state.suspects();
    std::erase_if(isolated, [this, sentAt](request_fingerprint suspect) { return !m_history.beginIsolatedAttempt(suspect, sentAt); });
    m_loads.recordSent(backend.id, unread, sentAt);
    bool counted = true;
    const auto endCount = [&] {
        if (std::exchange(counted, false))
            m_loads.recordEnded(backend.id, unread);
    };
    const scope_exit countEnded(m_context, endCount);

    const instant headDeadline = responseDeadline(request, state, sentAt);
    auto head = co_await call.start(backend.address, m_codec.makeUpstream(exchange.request(), request.parsed, facts), headDeadline);
    attempt_outcome outcome;
    state.notice = {};
    state.relay.run = {};
    if (head) {
        state.notice = m_codec.readNotice(head.value());
        outcome = co_await processReply(exchange, request, state, backend, underWay, std::move(head.value()), sentAt, unread);
    } else {
        outcome.failed = head.error();
        if (call.refused())
            m_crashes.recordRefusedConnection(backend);
        const bool unreachable = head.error().ran == verdict::not_run;
        outcome.result = unreachable ? attempt_result::unreachable : head.error().reason == failure_reason::deadline ? attempt_result::silent
                                                                                                                     : attempt_result::failed;
        state.runs += unreachable ? 0 : 1;
    }
    endCount();
    m_slots.recordEnd(request);
    const bool isSent = !outcome.failed || outcome.failed->ran != verdict::not_run;
    if (underWay.withdrawn() && outcome.failed)
        outcome = { mayHaveRun(failure_reason::crashes_servers, "a server crashed under a copy of this request"), attempt_result::failed };
    if (outcome.result == attempt_result::answered && !exchange.callerGone())
        m_crashes.recordServed(state.fingerprint);
    if (request.costs && outcome.result == attempt_result::answered && !exchange.callerGone())
        m_slots.recordCompletion(request.service, std::chrono::duration_cast<milliseconds>(m_context.now() - sentAt));
    if (!exchange.callerGone() && !underWay.cancelled() && !underWay.withdrawn()) {
        m_state.backends().recordResult(backend.id, outcome.result, m_context.now());
        m_groups.recordReachability(request.service, backendHash(backend.id), outcome.result != attempt_result::unreachable, m_context.now());
    }
    const std::uint64_t events = state.relay.events - eventsBefore;
    if (isAnswerBegun(outcome, events) && (!exchange.callerGone() || events >= earlyEvents))
        m_crashes.recordSurvived(state.parts);
    const duration silence = m_context.now() - std::max(sentAt, state.relay.newestBytesAt);
    const lost_call lost { request.parsed.id, state.fingerprint, events, sentAt, m_context.now(), state.parts };
    if (exchange.callerGone() ? silence >= longSilence : endedByServer(outcome))
        m_crashes.recordLostCall(backend, lost);
    else if (isSent && lost.events == 0 && (exchange.callerGone() || underWay.withdrawn()))
        m_crashes.recordWithdrawnCall(backend, lost);
    for (const auto suspect : isolated)
        m_history.endIsolatedAttempt(suspect, endedByServer(outcome), m_context.now());
    logAttempt(request, state, backend, outcome, sentAt);
    co_return outcome;
}

awaitable<upstream_dispatcher::attempt_outcome> upstream_dispatcher::processReply(http_exchange& exchange, const admitted_request& request, progress& state, const listed_backend& backend, call_registry::registration& underWay, http_head head, instant sentAt, std::int64_t& unread)
{
    http_call& call = underWay.call();
    const reply_verdict reply = m_codec.classify(head, request.parsed, call.firstOnConnection());
    m_picker.applyNotice(backend, reply.kind, state.notice);
    if (reply.kind == reply_kind::not_executed || reply.kind == reply_kind::wrong_server) {
        co_await discardBody(call);
        const bool replaced = reply.kind == reply_kind::wrong_server;
        if (!replaced)
            recordRefusal(request, backend, state.notice);
        co_return attempt_outcome { notRun(failure_reason::queue_full, reply.reason, fullRetryAfter), replaced ? attempt_result::replaced : attempt_result::refused };
    }
    ++state.runs;
    if (reply.kind == reply_kind::unreadable) {
        call.cancel();
        co_return attempt_outcome { mayHaveRun(failure_reason::backend_error, reply.reason), attempt_result::failed };
    }
    call.expireAt(request.deadline);
    const bool streams = isEventStream(head);
    relay_options options;
    options.wholeEvents = true;
    options.checkContinuation = request.route.resumable;
    if (request.route.repeat == repeat_rule::streaming)
        options.contract = m_codec.streamContract();
    if (streams)
        options.idSteps = idStepsOf(request.service);
    options.bufferUnframed = true;
    options.heldAnswers = m_heldAnswers;
    options.deadline = request.deadline;
    const bool mayResumeElsewhere = request.route.resumable && state.runs < request.route.maxAttempts && m_budget.allowsRetry(request.service, sentAt);
    if (streams && mayResumeElsewhere)
        options.silenceLimit = streamSilenceLimit(m_groups.hasOtherOpenGroup(request.service, backendHash(backend.id), sentAt));
    options.judgeEnd = [this, &request, &state, &backend, sentAt, streams, begunAt = m_context.now(), pausesBefore = m_ends.pauses()] {
        lost_call call { request.parsed.id, state.fingerprint, state.relay.run.events, sentAt, m_context.now(), state.parts };
        const instant newestBytesAt = std::max(sentAt, state.relay.newestBytesAt);
        return m_ends.judge({ request.service, backend, std::move(call), streams, closesGroup(request), begunAt, newestBytesAt, pausesBefore });
    };
    options.onFirstBytes = [&, sentAt] {
        underWay.recordFirstBytes();
        m_crashes.recordAnswer(backend, sentAt);
        m_context.counters().observe(latency::first_byte, m_context.now() - request.receivedAt);
        m_slots.recordFirstEvent(request.service, std::chrono::duration_cast<milliseconds>(m_context.now() - sentAt));
        m_loads.recordFirstByte(backend.id, unread);
        unread = 0;
    };
    if (streams && m_slots.measuresPasses(request))
        options.onEventGap = [this, &request, server = backendHash(backend.id)](duration gap) { m_slots.recordGap(request, server, gap); };
    const bool serverFailed = head.result_int() >= 500;
    // If an engine fails a repeatable request, another engine may answer it.
    const bool retryElsewhere = serverFailed && request.route.repeatable() && state.runs < request.route.maxAttempts && request.timeLeft(m_context.now()) > request.route.latencyTarget;
    if (retryElsewhere) {
        co_await discardBody(call);
        co_return attempt_outcome { mayHaveRun(failure_reason::backend_error, "the engine answered " + std::to_string(head.result_int())), attempt_result::failed };
    }
    auto relayed = co_await relayAnswer(call, std::move(head), exchange, state.relay, options);
    if (!call.framed() && state.relay.run.sign != answer_end_sign::none)
        m_context.counters().countAnswerEnd(state.relay.run.sign);
    if (state.relay.run.violation) {
        m_context.counters().countViolation(state.relay.run.violation->violation);
        logViolation(m_log, request.parsed, backend.id, backend.address, state.relay.run, m_context.now() - sentAt);
    }
    if (streams)
        state.streamRuns.push_back({ backend.id, state.relay.run });
    if (relayed.end == relay_end::truncated)
        co_return attempt_outcome { relayed.failed, relayed.failed->reason == failure_reason::deadline ? attempt_result::silent : attempt_result::failed };
    co_return attempt_outcome { std::nullopt, serverFailed ? attempt_result::failed : attempt_result::answered };
}

std::shared_ptr<event_id_steps> upstream_dispatcher::idStepsOf(const std::string& service)
{
    if (m_idSteps.size() >= maxServices && !m_idSteps.contains(service))
        m_idSteps.clear();
    auto& steps = m_idSteps[service];
    if (!steps)
        steps = std::make_shared<event_id_steps>();
    return steps;
}

bool upstream_dispatcher::endedByServer(const attempt_outcome& outcome)
{
    if (outcome.result == attempt_result::silent)
        return true;
    return outcome.failed && outcome.failed->reason == failure_reason::connection_lost && outcome.failed->ran != verdict::not_run;
}

bool upstream_dispatcher::isAnswerBegun(const attempt_outcome& outcome, std::uint64_t events)
{
    return outcome.result == attempt_result::answered || events >= earlyEvents;
}

bool upstream_dispatcher::closesGroup(const admitted_request& request)
{
    return request.costs && request.costs->layerSets > 0;
}

// The first crash mostly becomes known before a copy at another group has crashed its server, so
// withdrawing the copy saves that group.
void upstream_dispatcher::withdrawCopies(request_fingerprint request)
{
    if (!m_history.isBlockedOrSuspected(request, m_context.now()))
        return;
    const std::size_t withdrawn = m_calls.withdraw(request);
    if (withdrawn > 0)
        m_log.line("calls_taken_back").add("fingerprint", toString(request)).add("calls", withdrawn).add("reason", "a server crashed under a copy of the request");
}

// A retry sent right when the call ends would reach the next group before the crash of the first
// server is known, and would close that group as well.
bool upstream_dispatcher::mustAwaitProbe(const admitted_request& request, const attempt_outcome& last)
{
    return closesGroup(request) && last.result != attempt_result::silent && endedByServer(last);
}

void upstream_dispatcher::logAttempt(const admitted_request& request, const progress& state, const listed_backend& backend, const attempt_outcome& outcome, instant sentAt)
{
    auto line = m_log.requestLine("try_ended");
    line.add("request", request.parsed.id).add("fingerprint", toString(state.fingerprint)).add("backend", backend.id).add("address", backend.address).add("try", state.attempted.all.size());
    line.add("waited_ms", sentAt - request.receivedAt).add("took_ms", m_context.now() - sentAt).add("load", m_loads.total(backend.id, m_context.now()).requests).add("events", state.relay.events);
    if (const auto age = m_groups.stateAge(request.service, backendHash(backend.id), m_context.now()))
        line.add("group_news_ms", *age);
    addRun(line, state.relay.run);
    if (state.relay.firstBytesAt)
        line.add("first_ms", *state.relay.firstBytesAt - request.receivedAt).add("longest_pause_ms", state.relay.longestPause);
    if (state.notice.limitPerSecond)
        line.add("limit_per_s", *state.notice.limitPerSecond);
    if (state.notice.backoff)
        line.add("backoff_ms", *state.notice.backoff);
    if (!state.notice.unreadable.empty())
        line.add("unreadable", state.notice.unreadable);
    if (outcome.failed)
        line.add("outcome", toString(outcome.failed->reason)).add("verdict", toString(outcome.failed->ran)).add("reason", outcome.failed->message);
    else
        line.add("outcome", "answered");
}

awaitable<void> upstream_dispatcher::refuse(http_exchange& exchange, const admitted_request& request, const progress& state, failure failed)
{
    m_context.counters().countFailure(failed);
    auto line = m_log.requestLine("request_failed");
    line.add("request", request.parsed.id).add("fingerprint", toString(state.fingerprint)).add("route", request.route.name).add("service", request.service).add("age_ms", m_context.now() - request.receivedAt);
    line.add("tries", state.attempted.all.size()).add("verdict", toString(failed.ran)).add("reason", toString(failed.reason)).add("detail", failed.message);
    line.add("version", m_state.configuration() ? m_state.configuration()->version() : 0);
    if (request.costs && failed.retryAfter) {
        return_schedule& returns = m_slots.returnsOf(request.service);
        line.add("retry_after_ms", *failed.retryAfter).add("return_rate", returns.rate()).add("returns_ahead", returns.returnsAhead(m_context.now()));
    }
    if (exchange.callerGone())
        co_return;
    if (exchange.begun()) {
        exchange.abort();
        co_return;
    }
    co_await exchange.send(m_codec.makeRefusal(failed, request.parsed.id));
}

} // namespace rampgap
