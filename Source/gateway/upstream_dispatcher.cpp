#include "gateway/upstream_dispatcher.h"

#include "daemon/caller_watch.h"
#include "gateway/held_caller.h"
#include "policy/attempt_rules.h"
#include "policy/group_wait.h"
#include "policy/silence_limit.h"
#include <algorithm>

namespace rampgap {

namespace {

    // A repeatable plain request that has not been answered for so many times its target is
    // tried elsewhere.
    constexpr int silentTargets = 3;
    // Within this after its start a process hears of the groups that have agents, also where all
    // machines start together.
    constexpr milliseconds firstNews { 3'000 };
    // Where agents tell of groups a process hears of them so soon after its start.
    constexpr milliseconds firstGroupNews { 800 };
    // Below this no server can do anything for the caller.
    constexpr milliseconds leastTimeLeft { 20 };
    constexpr milliseconds groupPoll { 20 };
    // A server that says nothing for so long may have crashed without a word; other gaps last up to
    // half a second.
    constexpr milliseconds longSilence { 1'000 };
    constexpr milliseconds fullRetryAfter { 200 };

    // Longest body of a refusal that is read for the sake of keeping the connection.
    constexpr std::size_t longestDroppedBody = 65'536;

    // Reads an answer that nobody wants; if that fails the connection is closed.
    awaitable<void> drop(http_call& call)
    {
        const auto body = co_await call.readAll(longestDroppedBody);
        if (!body)
            call.cancel();
    }

} // namespace

upstream_dispatcher::upstream_dispatcher(process_context& context, decision_log& log, const request_codec& codec, fleet_state& state, load_table& loads, group_directory& groups, crash_history& history, server_backpressure& backpressure, retry_bounds bounds)
    : m_context(context)
    , m_log(log)
    , m_codec(codec)
    , m_state(state)
    , m_loads(loads)
    , m_groups(groups)
    , m_history(history)
    , m_backpressure(backpressure)
    , m_client(context, serverConnectTimeout)
    , m_crashes(context, log, state, history, codec.makePing())
    , m_places(context, state, loads, groups, backpressure)
    , m_picker(context, log, state, loads, groups, backpressure)
    , m_budget(bounds, context.startedAt())
{
    m_history.onChange([this](request_fingerprint request) { takeBackCopies(request); });
}

awaitable<void> upstream_dispatcher::dispatch(http_exchange& exchange, const admitted_request& request)
{
    m_budget.recordRequest(request.service, m_context.now());
    progress state;
    state.fingerprint = fingerprintOf(exchange.request().method_string(), exchange.request().target(), request.said.key, exchange.request().body());
    state.relay.lastEventId = request.said.lastEventId;
    auto failed = co_await run(exchange, request, state);
    m_context.counters().observe(latency::request, m_context.now() - request.receivedAt);
    if (failed)
        co_await refuse(exchange, request, state, std::move(*failed));
    else
        m_context.counters().add(metric::requests_answered);
}

awaitable<std::optional<failure>> upstream_dispatcher::run(http_exchange& exchange, const admitted_request& request, progress& state)
{
    std::optional<try_outcome> last;
    for (;;) {
        const instant now = m_context.now();
        if (request.timeLeft(now) < leastTimeLeft) {
            failure late { state.worst, failure_reason::deadline, "the deadline has passed", std::nullopt };
            if (late.ran == verdict::not_run) {
                late.reason = failure_reason::no_backend;
                late.retryAfter = milliseconds(0);
            }
            co_return late;
        }
        if (last && !mayRepeat(request, state, *last))
            co_return last->failed;
        if (auto refused = co_await refusalOf(exchange, request, state))
            co_return refused;
        if (auto closed = co_await awaitGroup(exchange, request, state))
            co_return closed;
        if (exchange.callerGone())
            co_return std::nullopt;
        if (auto refused = m_picker.allBackOff(request)) {
            refused->ran = state.worst;
            co_return refused;
        }
        const auto place = co_await m_places.take(exchange, request, state.relay.begun, last.has_value());
        if (exchange.callerGone())
            co_return std::nullopt;
        if (!place)
            co_return failure { state.worst, place.error().reason, place.error().message, place.error().retryAfter };
        // The news may have come while it waited.
        if (auto refused = co_await refusalOf(exchange, request, state))
            co_return refused;
        if (exchange.callerGone())
            co_return std::nullopt;
        if (last && !takeRetry(request, *last))
            co_return last->failed;
        const std::string id = co_await m_picker.take(exchange, request, state.tried);
        if (exchange.callerGone())
            co_return std::nullopt;
        if (id.empty()) {
            if (last)
                co_return last->failed;
            co_return m_picker.none(request);
        }
        const listed_backend backend = *m_state.backends().find(id);
        state.tried.all.push_back(id);
        state.lastBackend = id;
        last = co_await tryOn(exchange, request, state, backend);
        if (!last->failed)
            co_return std::nullopt;
        if (last->result == attempt_result::silent || last->result == attempt_result::unreachable)
            state.tried.silent.push_back(id);
        // Once a try may have run, so may the request: a later refusal cannot take it back.
        state.worst = std::max(state.worst, last->failed->ran);
        last->failed->ran = state.worst;
        if (mustAwaitLook(request, *last))
            co_await m_crashes.awaitLook(backend);
        if (exchange.callerGone())
            co_return std::nullopt;
    }
}

// The caller is told at once and truthfully: it has not run here and is not going to. Where nobody
// keeps such a request from the servers it ends one after the other, and hardly anything else is
// served. Whoever ran on one of many servers that crashed together waits for what acquits it: a
// refusal would send it away for a minute.
awaitable<std::optional<failure>> upstream_dispatcher::refusalOf(http_exchange& exchange, const admitted_request& request, const progress& state)
{
    if (const auto until = m_history.clearancePendingUntil(state.fingerprint, m_context.now())) {
        std::function<bool()> undecided = [this, &state] { return m_history.clearancePendingUntil(state.fingerprint, m_context.now()).has_value(); };
        co_await holdCaller(m_context, exchange, std::move(undecided), std::min(*until, request.deadline), groupPoll);
    }
    auto refused = m_history.refuse({ state.fingerprint, closesGroup(request), state.runs > 0 }, m_context.now());
    const auto whyNot = refused ? std::string_view() : m_history.clearanceReason(state.fingerprint, m_context.now());
    if (refused)
        refused->ran = state.worst;
    else if (!whyNot.empty())
        m_log.requestLine("suspicion_lifted").add("request", request.said.id).add("fingerprint", toString(state.fingerprint)).add("reason", std::string(whyNot));
    co_return refused;
}

// After a start of all no group is open: requests that are sent before the first news of that are
// refused, and their first try is gone.
bool upstream_dispatcher::noGroupFor(const admitted_request& request) const
{
    if (!request.costs)
        return false;
    const instant now = m_context.now();
    const bool awaitsNews = request.costs->layerSets > 0 && now - m_context.startedAt() < firstGroupNews && !m_groups.hasGroups(request.service, now);
    return awaitsNews || m_groups.closed(request.service, now);
}

awaitable<std::optional<failure>> upstream_dispatcher::awaitGroup(http_exchange& exchange, const admitted_request& request, const progress& state)
{
    if (!noGroupFor(request))
        co_return std::nullopt;
    group_wait_input question;
    question.timeLeft = request.timeLeft(m_context.now());
    question.patience = callerPatience(request.route.latencyTarget, request.route.gapTarget);
    question.waited = request.waited(m_context.now());
    question.run = m_places.typicalRunTime(request.service);
    question.closedFor = m_groups.closedFor(request.service, m_context.now());
    group_wait_decision decision = decideGroupWait(question);
    // The caller of a begun stream has been waiting since its last event.
    if (state.relay.begun)
        decision.wait = resumeWait;
    std::function<bool()> missing = [this, &request] { return noGroupFor(request); };
    co_await holdCaller(m_context, exchange, std::move(missing), m_context.now() + decision.wait, groupPoll);
    if (exchange.callerGone() || !noGroupFor(request))
        co_return std::nullopt;
    co_return failure { state.worst, failure_reason::no_backend, "no expert group of the service has been open for " + std::to_string(m_groups.closedFor(request.service, m_context.now()).count()) + " ms", decision.retryAfter };
}

void upstream_dispatcher::setSharingProcesses(std::size_t entries, std::size_t maxLiveEntries)
{
    m_places.setEntries(entries);
    m_budget.setSharingProcesses(maxLiveEntries);
}

void upstream_dispatcher::noteRestart(const listed_backend& backend)
{
    m_client.forgetIdle(backend.address);
    m_backpressure.forget(backendHash(backend.id), m_context.now());
    const std::size_t ended = m_calls.end(backend.id);
    if (ended > 0)
        m_log.line("calls_ended").add("backend", backend.id).add("calls", ended).add("reason", "the server was started again");
}

bool upstream_dispatcher::mayRepeat(const admitted_request& request, const progress& state, const try_outcome& last)
{
    const bool resumable = request.route.repeat == repeat_rule::streaming && request.route.resumable;
    return mayAttemptAgain({ last.failed->ran, request.route.repeatable(), resumable, request.route.maxAttempts, state.runs, state.tried.all.size(), state.relay.begun });
}

bool upstream_dispatcher::takeRetry(const admitted_request& request, const try_outcome& last)
{
    if (last.result == attempt_result::unreachable)
        return true;
    if (!m_budget.tryConsume(request.service, m_context.now())) {
        m_log.requestLine("retry_denied").add("request", request.said.id).add("reason", "the shared retry budget is used up").add("service", request.service);
        return false;
    }
    m_context.counters().add(metric::retries);
    return true;
}

// A rank that no leader has counted may belong to a group that this process never heard of;
// but a process that has just started has heard of none, and a group that started with it is
// still forming. A server that asks to back off speaks for itself: taken for a closed group it made
// callers wait though other ranks had room.
void upstream_dispatcher::noteRefusal(const admitted_request& request, const listed_backend& backend, const server_notice& notice)
{
    if (notice.backoff)
        return;
    const bool justStarted = m_context.now() - m_context.startedAt() < firstNews;
    if (request.costs && (justStarted || m_loads.isKnownRank(backend.id)) && m_loads.total(backend.id, m_context.now()).requests <= backend.capacity)
        m_groups.recordRefusal(request.service, backendHash(backend.id), m_context.now());
}

// A silent try is given up only for another one.
instant upstream_dispatcher::headDeadlineOf(const admitted_request& request, const progress& state, instant sentAt)
{
    const bool mayRepeat = request.route.repeatable() && state.runs + 1 < request.route.maxAttempts;
    if (!mayRepeat || !m_budget.allowsRetry(request.service, sentAt))
        return request.deadline;
    if (request.route.repeat == repeat_rule::idempotent)
        return std::min(request.deadline, sentAt + silentTargets * request.route.latencyTarget);
    if (!request.costs || state.relay.begun)
        return request.deadline;
    first_event_input question;
    question.typicalDelay = m_places.usualFirstEvent(request.service);
    question.latencyTarget = request.route.latencyTarget;
    question.patience = callerPatience(request.route.latencyTarget, request.route.gapTarget);
    question.waited = request.waited(sentAt);
    question.busyFraction = m_places.busyFraction(request.service);
    const auto limit = firstEventLimit(question);
    return limit ? std::min(request.deadline, sentAt + *limit) : request.deadline;
}

awaitable<upstream_dispatcher::try_outcome> upstream_dispatcher::tryOn(http_exchange& exchange, const admitted_request& request, progress& state, const listed_backend& backend)
{
    const instant sentAt = m_context.now();
    upstream_facts facts { backend.id, request.workspace, request.timeLeft(sentAt), state.relay.lastEventId, std::nullopt };
    http_call call(m_client);
    const caller_watch watch(exchange, [&call] { call.cancel(); });
    call_registry::registration underWay(m_calls, backend.id, call, closesGroup(request) ? std::optional(state.fingerprint) : std::nullopt);
    if (request.route.repeat == repeat_rule::non_idempotent)
        call.useFreshConnection();
    std::int64_t unread = request.said.promptTokens;
    const std::uint64_t eventsBefore = state.relay.events;
    const bool isTrial = m_history.beginIsolatedAttempt(state.fingerprint, sentAt);
    m_loads.recordSent(backend.id, unread, sentAt);

    const instant headDeadline = headDeadlineOf(request, state, sentAt);
    auto head = co_await call.start(backend.address, m_codec.makeUpstream(exchange.request(), request.said, facts), headDeadline);
    try_outcome outcome;
    state.notice = {};
    if (head) {
        state.notice = m_codec.notice(head.value());
        outcome = co_await takeReply(exchange, request, state, backend, underWay, std::move(head.value()), sentAt, unread);
    } else {
        outcome.failed = head.error();
        if (call.refused())
            m_crashes.noteRefused(backend);
        const bool unreachable = head.error().ran == verdict::not_run;
        outcome.result = unreachable ? attempt_result::unreachable : head.error().reason == failure_reason::deadline ? attempt_result::silent
                                                                                                                     : attempt_result::failed;
        state.runs += unreachable ? 0 : 1;
    }
    m_loads.recordEnded(backend.id, unread);
    const bool isSent = !outcome.failed || outcome.failed->ran != verdict::not_run;
    if (underWay.takenBack() && outcome.failed)
        outcome = { mayHaveRun(failure_reason::crashes_servers, "a server crashed under a copy of this request"), attempt_result::failed };
    if (outcome.result == attempt_result::answered && !exchange.callerGone())
        m_crashes.recordServed(state.fingerprint);
    if (request.costs && outcome.result == attempt_result::answered && !exchange.callerGone())
        m_places.noteEnd(request.service, std::chrono::duration_cast<milliseconds>(m_context.now() - sentAt));
    if (!exchange.callerGone() && !underWay.ended() && !underWay.takenBack()) {
        m_state.backends().recordResult(backend.id, outcome.result, m_context.now());
        m_groups.recordReachability(request.service, backendHash(backend.id), outcome.result != attempt_result::unreachable, m_context.now());
    }
    const duration silence = m_context.now() - std::max(sentAt, state.relay.newestBytesAt);
    const lost_call lost { request.said.id, state.fingerprint, state.relay.events - eventsBefore, sentAt, m_context.now() };
    if (exchange.callerGone() ? silence >= longSilence : endedByServer(outcome))
        m_crashes.recordLost(backend, lost);
    else if (isSent && lost.events == 0 && (exchange.callerGone() || underWay.takenBack()))
        m_crashes.recordWithdrawn(backend, lost);
    if (isTrial)
        m_history.endIsolatedAttempt(state.fingerprint, endedByServer(outcome), m_context.now());
    logTry(request, state, backend, outcome, sentAt);
    co_return outcome;
}

awaitable<upstream_dispatcher::try_outcome> upstream_dispatcher::takeReply(http_exchange& exchange, const admitted_request& request, progress& state, const listed_backend& backend, call_registry::registration& underWay, http_head head, instant sentAt, std::int64_t& unread)
{
    http_call& call = underWay.call();
    const reply_verdict reply = m_codec.judge(head, request.said);
    m_picker.takeNotice(backend, reply.kind, state.notice);
    if (reply.kind == reply_kind::not_executed || reply.kind == reply_kind::wrong_server) {
        co_await drop(call);
        const bool replaced = reply.kind == reply_kind::wrong_server;
        if (!replaced)
            noteRefusal(request, backend, state.notice);
        co_return try_outcome { notRun(failure_reason::queue_full, reply.reason, fullRetryAfter), replaced ? attempt_result::replaced : attempt_result::refused };
    }
    ++state.runs;
    if (reply.kind == reply_kind::unreadable) {
        call.cancel();
        co_return try_outcome { mayHaveRun(failure_reason::backend_error, reply.reason), attempt_result::failed };
    }
    call.expireAt(request.deadline);
    const bool streams = isEventStream(head);
    relay_options options;
    options.wholeEvents = true;
    options.bufferUnframed = true;
    options.deadline = request.deadline;
    const bool mayGoOnElsewhere = request.route.resumable && state.runs < request.route.maxAttempts && m_budget.allowsRetry(request.service, sentAt);
    if (streams && mayGoOnElsewhere)
        options.silenceLimit = streamSilenceLimit(m_groups.hasOtherOpenGroup(request.service, backendHash(backend.id), sentAt));
    options.onFirstBytes = [&, sentAt] {
        underWay.noteBegun();
        m_crashes.recordAnswered(backend, sentAt);
        m_context.counters().observe(latency::first_byte, m_context.now() - request.receivedAt);
        m_places.noteFirstEvent(request.service, std::chrono::duration_cast<milliseconds>(m_context.now() - sentAt));
        m_loads.recordFirstByte(backend.id, unread);
        unread = 0;
    };
    const bool serverFailed = head.result_int() >= 500;
    if (state.relay.begun && serverFailed) {
        call.cancel();
        co_return try_outcome { mayHaveRun(failure_reason::backend_error, "the engine that should go on answered " + std::to_string(head.result_int())), attempt_result::failed };
    }
    // An engine's failure of a repeatable request may be mended by another engine.
    const bool mend = serverFailed && request.route.repeatable() && state.runs < request.route.maxAttempts && request.timeLeft(m_context.now()) > request.route.latencyTarget;
    if (mend) {
        co_await drop(call);
        co_return try_outcome { mayHaveRun(failure_reason::backend_error, "the engine answered " + std::to_string(head.result_int())), attempt_result::failed };
    }
    auto relayed = co_await relayAnswer(call, std::move(head), exchange, state.relay, options);
    if (relayed.end == relay_end::cut)
        co_return try_outcome { relayed.failed, relayed.failed->reason == failure_reason::deadline ? attempt_result::silent : attempt_result::failed };
    co_return try_outcome { std::nullopt, serverFailed ? attempt_result::failed : attempt_result::answered };
}

bool upstream_dispatcher::endedByServer(const try_outcome& outcome)
{
    if (outcome.result == attempt_result::silent)
        return true;
    return outcome.failed && outcome.failed->reason == failure_reason::connection_lost && outcome.failed->ran != verdict::not_run;
}

bool upstream_dispatcher::closesGroup(const admitted_request& request)
{
    return request.costs && request.costs->layerSets > 0;
}

// News of the first crash mostly come before the copy at another group has ended its server: the
// copy can be saved, and that group with it.
void upstream_dispatcher::takeBackCopies(request_fingerprint request)
{
    if (!m_history.isBlockedOrSuspected(request, m_context.now()))
        return;
    const std::size_t taken = m_calls.takeBack(request);
    if (taken > 0)
        m_log.line("calls_taken_back").add("fingerprint", toString(request)).add("calls", taken).add("reason", "a server crashed under a copy of the request");
}

// Sent in the moment in which the call ends, the other try would be at the next group before the
// crash of the first server is known, and would close that as well.
bool upstream_dispatcher::mustAwaitLook(const admitted_request& request, const try_outcome& last)
{
    return closesGroup(request) && last.result != attempt_result::silent && endedByServer(last);
}

void upstream_dispatcher::logTry(const admitted_request& request, const progress& state, const listed_backend& backend, const try_outcome& outcome, instant sentAt)
{
    auto line = m_log.requestLine("try_ended");
    line.add("request", request.said.id).add("fingerprint", toString(state.fingerprint)).add("backend", backend.id).add("address", backend.address).add("try", state.tried.all.size());
    line.add("waited_ms", sentAt - request.receivedAt).add("took_ms", m_context.now() - sentAt).add("load", m_loads.total(backend.id, m_context.now()).requests).add("events", state.relay.events);
    if (const auto age = m_groups.stateAge(request.service, backendHash(backend.id), m_context.now()))
        line.add("group_news_ms", *age);
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
    line.add("request", request.said.id).add("fingerprint", toString(state.fingerprint)).add("route", request.route.name).add("service", request.service).add("age_ms", m_context.now() - request.receivedAt);
    line.add("tries", state.tried.all.size()).add("verdict", toString(failed.ran)).add("reason", toString(failed.reason)).add("detail", failed.message);
    line.add("version", m_state.configuration() ? m_state.configuration()->version() : 0);
    if (exchange.callerGone())
        co_return;
    if (exchange.begun()) {
        exchange.abort();
        co_return;
    }
    co_await exchange.send(m_codec.refuse(failed, request.said.id));
}

} // namespace rampgap
