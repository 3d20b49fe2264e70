#include "agent/agent_server.h"

#include "daemon/caller_watch.h"
#include "daemon/graceful_stop.h"
#include "daemon/header_names.h"
#include "daemon/log.h"
#include "daemon/scope_exit.h"
#include "daemon/sleep.h"
#include "daemon/stop_signal.h"
#include "daemon/task.h"
#include "discovery/platform_source.h"
#include "peer.pb.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    constexpr milliseconds leavingRetryAfter { 500 };
    // Between two connections to an engine that leaves and cannot be reached.
    constexpr milliseconds engineLookPause { 250 };
    constexpr std::size_t maxStoredAnswer = 262'144;
    // Body of an engine's refusal that is read for the sake of keeping the connection.
    constexpr std::size_t longestRefusal = 65'536;
    constexpr std::int64_t defaultTimeoutMs = 30'000;

    ledger_limits ledgerLimits(const agent_settings& settings)
    {
        ledger_limits limits;
        limits.maxIds = settings.ledgerIds;
        limits.maxAnswerBytes = settings.ledgerAnswerBytes;
        return limits;
    }

    failure leavingRefusal()
    {
        return notRun(failure_reason::leaving, "this backend server is leaving", leavingRetryAfter);
    }

    // Entry VMs act on these as their agent's words: on a refusal they give up their permits, or send an id to another agent.
    void eraseOwnNames(http_head& head)
    {
        constexpr std::string_view prefix = "Rampgap-";
        for (auto field = head.begin(); field != head.end();) {
            const auto next = std::next(field);
            if (boost::beast::iequals(field->name_string().substr(0, prefix.size()), prefix))
                head.erase(field);
            field = next;
        }
    }

    // How long the engine, which has not run the request, wants no more of them.
    std::optional<milliseconds> backoffOf(const http_head& head)
    {
        const bool notRun = head.result() == http::status::service_unavailable && headerText(head, header::verdict) == toString(verdict::not_run);
        const auto seconds = notRun ? headerAmount(head, header::retryAfter) : std::nullopt;
        if (!seconds)
            return std::nullopt;
        return toMilliseconds(*seconds);
    }

} // namespace

result<std::unique_ptr<agent_server>> agent_server::start(process_context& context, agent_settings settings)
{
    std::unique_ptr<agent_server> made(new agent_server(context, std::move(settings)));
    auto http = http_server::listen(context, made->m_settings.process.listen, made->m_settings.process.limits, *made);
    if (!http)
        return http.error();
    made->m_http = std::move(http.value());
    auto peer = peer_server::listen(context, made->m_settings.process.peerListen, *made);
    if (!peer)
        return peer.error();
    made->m_peerServer = std::move(peer.value());
    const std::string host = hostOf(made->m_settings.process.peerListen);
    made->m_engine.onNews([raw = made.get()] { raw->m_configuration.announceCrashes(); });
    made->m_configuration.start(host + ":" + std::to_string(made->peerPort()));
    made->m_gate.start();
    made->m_keeper.start();
    made->m_group.start();
    return made;
}

agent_server::agent_server(process_context& context, agent_settings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_client(context)
    , m_peers(context)
    , m_platform(platform_source::makeHttp(context, m_client, m_settings.process.platform))
    , m_configuration(context, m_settings.process, *m_platform, m_peers, m_history, *this)
    , m_engine(context, m_history, m_settings.process.name, m_settings.engine)
    , m_pages(context, m_settings.process, m_configuration)
    , m_permits(context.incarnation(), context.startedAt())
    , m_guard(m_settings.process.name, context.incarnation(), context.startedAt(), ledgerLimits(m_settings))
    , m_keeper(context, m_peers, m_configuration, m_guard)
    , m_group(context, m_client, m_peers, m_configuration, m_settings.engine, m_settings.rebalanceInterval)
    , m_gate(context, { 1, m_settings.maxQueued }, m_settings.shedding)
{
}

agent_server::~agent_server() = default;

void agent_server::onDeclaration(std::shared_ptr<const declaration> current)
{
    m_guard.apply(*current, m_context.now());
    const backend_declaration* own = current->findBackend(m_settings.process.name);
    m_declared = own && !own->stopped;
    if (own)
        m_gate.setSlots(own->slots);
    m_keeper.poke();
    m_group.apply(*current);
}

awaitable<wire::ExchangeReply> agent_server::onExchange(wire::ExchangeRequest request)
{
    return m_configuration.onExchange(std::move(request));
}

awaitable<wire::GroupMessage> agent_server::onGroup(wire::GroupMessage message)
{
    return m_group.answer(std::move(message));
}

awaitable<wire::HandoverReply> agent_server::onHandover(wire::HandoverRequest request)
{
    co_return m_keeper.answer(request);
}

awaitable<wire::DepositReply> agent_server::onDeposit(wire::DepositRequest request)
{
    co_return m_keeper.answer(request);
}

void agent_server::addOwnHeaders(http::fields& fields)
{
    const admission_queue& queue = m_gate.queue();
    fields.set(header::load, std::to_string(queue.running()) + "," + std::to_string(queue.queued()) + "," + std::to_string(queue.averageRun().count()));
    fields.set(header::permit, m_permits.issue(m_context.now()));
    fields.set(header::clock, std::to_string(m_context.timeline().clock()));
    fields.set(header::backend, m_settings.process.name);
}

awaitable<void> agent_server::handle(http_exchange& exchange)
{
    if (auto page = m_pages.answer(exchange.request())) {
        co_await exchange.send(std::move(*page));
        co_return;
    }
    if (exchange.request().target() == "/rampgap/permit") {
        auto response = makeResponse(200, "text/plain", "");
        addOwnHeaders(response);
        co_await exchange.send(std::move(response));
        co_return;
    }
    if (exchange.request().target() == "/rampgap/group") {
        co_await exchange.send(makeResponse(200, "application/json", m_group.describe()));
        co_return;
    }
    ++m_inFlight;
    m_context.counters().set(metric::in_flight, m_inFlight);
    const scope_exit ended(m_context, [this] {
        --m_inFlight;
        m_context.counters().set(metric::in_flight, m_inFlight);
    });
    co_await serveEntry(exchange);
    m_context.counters().set(metric::ledger_ids, static_cast<double>(m_guard.ledger().size()));
}

awaitable<void> agent_server::refuse(http_exchange& exchange, const failure& refused, const std::string& correlation)
{
    m_context.counters().countFailure(refused);
    m_context.recordEvent(event_kind::request_refused, correlation, "reason=" + std::string(toString(refused.reason)) + " verdict=" + std::string(toString(refused.ran)));
    auto response = makeFailure(refused);
    addOwnHeaders(response);
    co_await exchange.send(std::move(response));
}

result<agent_server::work_order> agent_server::readOrder(const http_request& request, instant receivedAt) const
{
    work_order order;
    order.correlation = headerText(request, header::requestId);
    order.entry = headerText(request, header::entry);
    order.admission.workspace = headerText(request, header::workspace);
    const std::string service = headerText(request, header::service);
    if (order.admission.workspace.empty() || service.empty())
        return notRun(failure_reason::invalid_request, "requests come through an entry VM: workspace or service is missing");
    if (headerText(request, header::backend) != m_settings.process.name)
        return notRun(failure_reason::not_home, "the request was meant for another backend server", leavingRetryAfter);
    order.admission.priority = static_cast<int>(headerNumber(request, header::priority, order.admission.priority));
    order.admission.deadline = receivedAt + milliseconds(headerNumber(request, header::timeoutMs, defaultTimeoutMs));
    // An entry VM of an earlier version sends none. What it resumes is another body, and so not
    // known again here.
    const auto told = parseFingerprint(headerText(request, header::fingerprint));
    order.fingerprint = told.value_or(fingerprintOf(request.method_string(), request.target(), order.admission.workspace, request.body()));
    if (const auto part = parseFingerprint(headerText(request, header::promptPart)))
        order.parts.push_back(*part);
    if (!headerText(request, header::notRepeatable).empty()) {
        order.onceId = request_id { order.admission.workspace, service, headerText(request, header::idempotencyKey) };
        order.bodyDigest = hash64(request.body());
    }
    return order;
}

result<std::optional<stored_answer>> agent_server::claim(const http_request& request, const work_order& order)
{
    const instant now = m_context.now();
    const auto permitted = m_permits.check(headerText(request, header::permit), now);
    if (!permitted)
        return permitted.error();
    return m_guard.claim(*order.onceId, order.bodyDigest, now);
}

awaitable<void> agent_server::serveEntry(http_exchange& exchange)
{
    m_context.counters().add(metric::requests_received);
    const http_request& request = exchange.request();
    m_context.timeline().observe(static_cast<std::uint64_t>(headerNumber(request, header::clock, 0)));
    const auto order = readOrder(request, exchange.receivedAt());
    if (!order) {
        co_await refuse(exchange, order.error(), headerText(request, header::requestId));
        co_return;
    }
    const std::string& correlation = order.value().correlation;
    // The entry VM may have sent it after the signal.
    if (isStopSignalPending())
        leave();
    if (m_leaving || !m_declared) {
        const failure refused = m_leaving ? leavingRefusal() : notRun(failure_reason::not_ready, "this backend server is not declared", leavingRetryAfter);
        co_await refuse(exchange, refused, correlation);
        co_return;
    }
    if (const auto barred = m_engine.barred(order.value().fingerprint, order.value().parts)) {
        co_await refuse(exchange, *barred, correlation);
        co_return;
    }
    if (order.value().onceId) {
        auto claimed = claim(request, order.value());
        if (!claimed) {
            co_await refuse(exchange, claimed.error(), correlation);
            co_return;
        }
        if (claimed.value()) {
            m_context.counters().add(metric::duplicates_answered);
            auto response = makeResponse(claimed.value()->status, claimed.value()->contentType, claimed.value()->body);
            if (!claimed.value()->contentEncoding.empty())
                response.set(http::field::content_encoding, claimed.value()->contentEncoding);
            addOwnHeaders(response);
            co_await exchange.send(std::move(response));
            co_return;
        }
    }
    const auto failed = co_await run(exchange, order.value());
    if (!failed)
        co_return;
    if (exchange.begun())
        exchange.abort();
    else
        co_await refuse(exchange, *failed, correlation);
}

awaitable<std::optional<failure>> agent_server::run(http_exchange& exchange, const work_order& order)
{
    auto admitted = co_await m_gate.enter(order.admission, exchange);
    std::optional<failure> refused;
    if (!admitted)
        refused = admitted.error();
    else if (!exchange.callerGone())
        refused = m_engine.barred(order.fingerprint, order.parts); // The news may have come while it waited.
    if (admitted && !refused && !exchange.callerGone()) {
        if (const auto taken = m_intake.enter(order.entry, m_context.now()); !taken)
            refused = taken.error();
    }
    if (refused || exchange.callerGone()) {
        if (admitted)
            m_gate.leave(admitted.value(), duration::zero());
        if (order.onceId)
            m_guard.ledger().release(*order.onceId);
        co_return refused;
    }
    const instant startedAt = m_context.now();
    m_context.recordEvent(event_kind::request_started, order.correlation, "workspace=" + order.admission.workspace);
    std::optional<failure> failed;
    {
        bool returned = false;
        const scope_exit left(m_context, [&] {
            m_gate.leave(admitted.value(), m_context.now() - startedAt);
            // An id that stays claimed for ever would make its caller's repeats wait for ever.
            if (!returned && order.onceId)
                m_guard.ledger().finishWithoutAnswer(*order.onceId, m_context.now());
        });
        failed = co_await callEngine(exchange, order);
        returned = true;
    }
    m_context.recordEvent(event_kind::request_finished, order.correlation, failed ? "failed=" + failed->message : "");
    co_return failed;
}

awaitable<void> agent_server::recordLost(server_incarnation life, const work_order& order, std::uint64_t events, instant sentAt)
{
    lost_call call { order.correlation, order.fingerprint, events, sentAt, m_context.now(), order.parts };
    co_await m_engine.recordLost(std::move(life), std::move(call));
    co_await m_configuration.awaitCrashesAnnounced();
}

awaitable<answer_end_sign> agent_server::judgeEnd(server_incarnation life, const work_order& order, std::uint64_t events, instant sentAt, bool streams)
{
    lost_call call { order.correlation, order.fingerprint, events, sentAt, m_context.now(), order.parts };
    const auto fate = co_await m_engine.awaitFate(std::move(life), std::move(call), streams);
    if (fate == server_fate::answers)
        co_return answer_end_sign::server_answers;
    co_return fate == server_fate::ended ? answer_end_sign::server_ended : answer_end_sign::server_silent;
}

std::optional<milliseconds> agent_server::takeNotice(const http_head& head)
{
    m_intake.recordReportedLimit(headerAmount(head, header::limitPerSecond), m_context.now());
    const auto backoff = backoffOf(head);
    if (backoff)
        m_intake.recordBackoff(*backoff, m_context.now());
    if (headerText(head, header::leaving) == "1" && m_intake.recordLeaving()) {
        logStateChange("engine_leaving", "engine=" + m_settings.engine);
        startLoop(m_context, "await_engine_end", [this] { return awaitEngineEnd(); });
    }
    return backoff;
}

awaitable<void> agent_server::awaitEngineEnd()
{
    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    const auto endpoint = parseEndpoint(m_settings.engine);
    for (bool ended = !endpoint; !ended;) {
        tcp::socket socket(m_context.io());
        const auto [refused] = co_await socket.async_connect(endpoint.value(), asTuple);
        ended = !refused || refused == asio::error::connection_refused;
        char byte = 0;
        if (!refused)
            co_await socket.async_read_some(asio::buffer(&byte, 1), asTuple);
        else if (!ended)
            co_await sleepFor(m_context.io(), engineLookPause);
    }
    m_intake.forget();
    logStateChange("engine_ended", "engine=" + m_settings.engine);
}

awaitable<std::optional<failure>> agent_server::callEngine(http_exchange& exchange, const work_order& order)
{
    const bool once = order.onceId.has_value();
    http_request request = exchange.request();
    const auto left = std::chrono::duration_cast<milliseconds>(order.admission.deadline - m_context.now());
    request.set(header::timeoutMs, std::to_string(std::max<std::int64_t>(1, left.count())));
    request.erase(std::string(header::permit));
    http_call call(m_client);
    // Engines' replies do not name their requests: on a connection that carried another request, a second copy of its answer
    // would be passed on as this one's, and after one of a refusal this request would be run again.
    call.useFreshConnection();
    // Closed with the call, in place of returning to the pool.
    call.keepForNext(true);
    const instant sentAt = m_context.now();
    const server_incarnation life = m_engine.life();
    // What may run only once is not cut off: its answer is kept for a repeat of the call.
    const caller_watch watch(exchange, [&call, once] {
        if (!once)
            call.cancel();
    });
    auto head = co_await call.start(m_settings.engine, std::move(request), order.admission.deadline);
    if (!head) {
        failure failed = head.error();
        // Also where the caller has left: what had begun ends its engine all the same.
        if (failed.ran != verdict::not_run && failed.reason == failure_reason::connection_lost)
            co_await recordLost(life, order, 0, sentAt);
        if (failed.ran == verdict::not_run) {
            // Nothing listens there: what comes next is another life of the engine.
            m_intake.forget();
            if (call.refused())
                m_engine.recordRefusedConnection(life);
            failed.reason = failure_reason::backend_error;
        }
        if (once && failed.ran == verdict::not_run)
            m_guard.ledger().release(*order.onceId);
        else if (once)
            m_guard.ledger().finishWithoutAnswer(*order.onceId, m_context.now());
        co_return failed;
    }
    if (const auto backoff = takeNotice(head.value())) {
        co_await call.readAll(longestRefusal);
        if (once)
            m_guard.ledger().release(*order.onceId);
        co_return notRun(failure_reason::server_backoff, "the engine asked to back off", backoff);
    }
    eraseOwnNames(head.value());
    const int status = static_cast<int>(head.value().result_int());
    const std::string contentType(head.value()[http::field::content_type]);
    const std::string contentEncoding(head.value()[http::field::content_encoding]);
    addOwnHeaders(head.value());
    relay_progress progress;
    relay_options options;
    const bool streams = isEventStream(head.value());
    options.wholeEvents = streams && !call.framed();
    options.judgeEnd = [this, life, &order, &progress, sentAt, streams] { return judgeEnd(life, order, progress.events, sentAt, streams); };
    options.finishWithoutCaller = once;
    options.recordLimit = once ? maxStoredAnswer : 0;
    const auto outcome = co_await relayAnswer(call, std::move(head.value()), exchange, progress, options);
    m_context.counters().add(metric::bytes_relayed, static_cast<double>(progress.bytes));
    if (const auto& found = progress.run.violation) {
        m_context.counters().countViolation(found->violation);
        logWarning("stream_violation", "request=" + order.correlation + " engine=" + m_settings.engine + " rule=" + std::string(toString(found->violation)) + " run_events=" + std::to_string(progress.run.events) + " after_id=\"" + excerptOf(found->previousId) + "\" bytes=\"" + found->excerpt + "\"");
    }
    if (once && outcome.recorded)
        m_guard.ledger().finish(*order.onceId, { status, contentType, *outcome.recorded, contentEncoding }, m_context.now());
    else if (once)
        m_guard.ledger().finishWithoutAnswer(*order.onceId, m_context.now());
    if (outcome.end == relay_end::complete) {
        m_context.counters().add(metric::requests_answered);
        m_engine.recordServed(order.fingerprint, order.parts);
    }
    if (outcome.end == relay_end::caller_gone && progress.events == 0)
        co_await recordLost(life, order, 0, sentAt);
    if (outcome.end != relay_end::truncated)
        co_return std::nullopt;
    failure cut = outcome.failed.value_or(failure {});
    if (cut.reason == failure_reason::connection_lost)
        co_await recordLost(life, order, progress.events, sentAt);
    cut.ran = verdict::may_have_run;
    cut.reason = failure_reason::backend_error;
    co_return cut;
}

void agent_server::leave()
{
    if (std::exchange(m_leaving, true))
        return;
    m_pages.setLeaving();
    m_context.recordEvent(event_kind::leaving, "", "");
    logStateChange("leaving", "");
    startTask(m_context, "leave", leaveGracefully());
}

awaitable<void> agent_server::leaveGracefully()
{
    const scope_exit stopped(m_context, [this] { m_context.io().stop(); });
    co_await m_keeper.giveAway();
    co_await sleepFor(m_context.io(), m_settings.process.linger);
    std::function<int()> inFlight = [this] { return m_inFlight; };
    // Entry VMs keep connections, and a request may be on its way as its connection is closed. Without an answer it would count as
    // one that may have run.
    auto notice = makeFailure(leavingRefusal());
    addOwnHeaders(notice);
    std::optional<http_response> lastAnswer = std::move(notice);
    co_await drainConnections(m_context, *m_http, std::move(inFlight), std::move(lastAnswer));
    logStateChange("stopped", "");
}

} // namespace rampgap
