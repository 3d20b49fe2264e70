#include "entry/request_dispatcher.h"

#include "daemon/caller_watch.h"
#include "daemon/header_names.h"
#include "daemon/sleep.h"
#include "policy/membership/rendezvous.h"
#include "policy/requests/ownership_guard.h"
#include "policy/requests/permit_issuer.h"
#include "policy/requests/retry_policy.h"
#include <boost/json.hpp>
#include <charconv>

namespace rampgap {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr int defaultRetryPercent = 10;
    constexpr milliseconds permitTimeout { 1'000 };
    // How long ids wait for a handover between agents that is under way.
    constexpr milliseconds handoverPatience { 1'000 };
    constexpr milliseconds handoverPause { 50 };
    constexpr milliseconds noBackendRetryAfter { 1'000 };
    constexpr std::string_view internalPrefix = "Rampgap-";

    load_report parseLoad(const std::string& text)
    {
        load_report load;
        const char* const end = text.data() + text.size();
        auto at = std::from_chars(text.data(), end, load.running).ptr;
        if (at != end)
            at = std::from_chars(at + 1, end, load.queued).ptr;
        if (at != end)
            std::from_chars(at + 1, end, load.averageRunMs);
        return load;
    }

    // Refusals after which the id may be taken over by another agent in a moment.
    bool isHandoverReason(const failure& failed)
    {
        if (failed.ran != verdict::not_run)
            return false;
        const bool short_ = !failed.retryAfter || *failed.retryAfter <= milliseconds(1'000);
        switch (failed.reason) {
        case failure_reason::leaving:
        case failure_reason::not_home:
        case failure_reason::not_ready:
        case failure_reason::connection_lost:
            return true;
        case failure_reason::unproven:
            return short_;
        default:
            return false;
        }
    }

    std::string withResume(const std::string& body, std::uint64_t events)
    {
        boost::system::error_code error;
        json::value parsed = json::parse(body, error);
        if (error || !parsed.is_object())
            return body;
        parsed.as_object()["resume_from"] = events;
        return json::serialize(parsed);
    }

} // namespace

request_dispatcher::request_dispatcher(process_context& context, http_client& client, configuration_node& configuration, crash_history& crashes, std::unique_ptr<routing_policy> routing, pause_detector& pauses)
    : m_context(context)
    , m_client(client)
    , m_configuration(configuration)
    , m_crashes(crashes)
    , m_routing(std::move(routing))
    , m_pauses(pauses)
    , m_table(context.zone())
    , m_budget(defaultRetryPercent)
{
}

void request_dispatcher::apply(const declaration& current)
{
    m_table.apply(current, m_context.now());
    m_budget = retry_budget(current.rules().retryPercent);
}

awaitable<void> request_dispatcher::dispatch(http_exchange& exchange, const caller_request& request)
{
    m_budget.recordRequest();
    std::optional<failure> failed;
    if (request.onceId)
        failed = co_await runAtHome(exchange, request);
    else
        failed = co_await runAnywhere(exchange, request);
    if (failed)
        co_await answerFailure(exchange, request, std::move(*failed), exchange.begun());
}

awaitable<std::optional<failure>> request_dispatcher::runAnywhere(http_exchange& exchange, const caller_request& request)
{
    std::vector<backend_id> tried;
    relay_progress progress;
    std::optional<failure> last;
    verdict worst = verdict::not_run;
    for (;;) {
        if (auto refused = m_crashes.refuse({ request.fingerprint, false, worst != verdict::not_run, request.parts }, m_context.now())) {
            refused->ran = worst;
            co_return refused;
        }
        const routing_input question { request.service->name, request.prefix, tried, m_context.now() };
        const backend_id chosen = m_routing->choose(question, m_table, m_context.random());
        const bool first = tried.empty();
        if (!first) {
            const bool canResume = request.resumable && progress.begun;
            const retry_input retry { *last, true, progress.begun && !canResume, chosen != noBackend, static_cast<int>(tried.size()), request.deadline, m_context.now() };
            if (!mayRetry(retry, m_budget))
                co_return last;
            m_context.counters().add(metric::retries);
        }
        if (chosen == noBackend)
            co_return notRun(failure_reason::no_backend, "no backend server is there for '" + request.service->name + "'", noBackendRetryAfter);
        tried.push_back(chosen);
        last = co_await tryAndLearn(exchange, request, chosen, progress);
        if (!last) {
            m_routing->recordPlacement(request.prefix, chosen, m_context.now());
            co_return std::nullopt;
        }
        // Once a try may have run, so may the request: a later refusal cannot take it back.
        worst = std::max(worst, last->ran);
        last->ran = worst;
    }
}

// A suspected request counts as being tried until it is known whether it crashed this server, too.
awaitable<std::optional<failure>> request_dispatcher::tryAndLearn(http_exchange& exchange, const caller_request& request, backend_id id, relay_progress& progress)
{
    const bool isTrial = m_crashes.beginIsolatedAttempt(request.fingerprint, m_context.now());
    auto failed = co_await tryOn(exchange, request, id, progress, {});
    const bool isLost = failed && failed->ran != verdict::not_run;
    if (isLost)
        co_await m_configuration.queryCrashes(request.fingerprint, m_table.view(id).name);
    if (isTrial)
        m_crashes.endIsolatedAttempt(request.fingerprint, isLost, m_context.now());
    co_return failed;
}

awaitable<std::optional<failure>> request_dispatcher::runAtHome(http_exchange& exchange, const caller_request& request)
{
    const instant cameAt = m_context.now();
    for (;;) {
        auto failed = co_await roundOfHomes(exchange, request);
        if (!failed || !isHandoverReason(*failed))
            co_return failed;
        // A home that has failed for longer is not coming back in a moment.
        const std::string home(rendezvousPick(request.onceId->text(), request.fleet->homes(request.service->name)));
        const instant failingSince = std::min(cameAt, m_table.failingSince(m_table.find(home), cameAt));
        if (m_context.now() + handoverPause > std::min(request.deadline, failingSince + handoverPatience))
            co_return failed;
        co_await sleepFor(m_context.io(), handoverPause);
        if (exchange.callerGone())
            co_return std::nullopt;
    }
}

// The home first, then the agents that may keep the home's ids while it restarts. Each
// agent refuses what it may not run, so asking all of them is safe.
awaitable<std::optional<failure>> request_dispatcher::roundOfHomes(http_exchange& exchange, const caller_request& request)
{
    const auto& homes = request.fleet->homes(request.service->name);
    const std::string home(rendezvousPick(request.onceId->text(), homes));
    std::vector<std::string> candidates { home };
    for (auto& keeper : standbysOf(home, homes))
        candidates.push_back(std::move(keeper));

    std::optional<failure> first;
    for (const auto& name : candidates) {
        const backend_id id = m_table.find(name);
        if (id == noBackend)
            continue;
        auto permitText = co_await permitFor(id, request.pauseEpoch);
        std::optional<failure> failed;
        if (permitText) {
            relay_progress progress;
            failed = co_await tryOn(exchange, request, id, progress, permitText.value());
            if (!failed)
                co_return std::nullopt;
        } else {
            failed = permitText.error();
        }
        if (!isHandoverReason(*failed))
            co_return failed;
        if (!first)
            first = failed;
    }
    if (!first)
        first = notRun(failure_reason::no_backend, "no backend server is there for '" + request.service->name + "'", noBackendRetryAfter);
    co_return first;
}

awaitable<result<std::string>> request_dispatcher::permitFor(backend_id id, std::uint64_t epoch)
{
    const failure paused = notRun(failure_reason::stale_permit, "this entry VM was paused while it held the request", noBackendRetryAfter);
    if (epoch != m_pauses.epoch())
        co_return paused;
    const auto known = m_permits.find(id);
    if (known != m_permits.end() && m_context.now() - known->second.fetchedAt < permitRenewalAge)
        co_return known->second.text;
    const instant asked = m_context.now();
    http_request ask { http::verb::get, "/rampgap/permit", 11 };
    auto response = co_await m_client.fetch(m_table.view(id).address, std::move(ask), permitTimeout);
    // The process may have been paused during the call. A permit from after the pause must not be used for
    // a request from before it, which may have been sent by another entry VM meanwhile.
    if (m_pauses.check(m_context.now(), std::chrono::system_clock::now()))
        m_pauseSign = true;
    if (epoch != m_pauses.epoch())
        co_return paused;
    if (!response) {
        m_table.recordConnectFailure(id, m_context.now());
        failure failed = response.error();
        failed.ran = verdict::not_run;
        failed.reason = failure_reason::connection_lost;
        co_return failed;
    }
    // An agent that stops answers what crosses the close of a kept connection by its refusal.
    if (auto refused = failureFromHeaders(response.value())) {
        refused->ran = verdict::not_run;
        noteRefusal(id, *refused);
        co_return *refused;
    }
    const std::string text = headerText(response.value(), header::permit);
    m_permits[id] = { text, asked };
    co_return text;
}

http_request request_dispatcher::makeUpstream(const http_request& original, const caller_request& request, backend_id id, const relay_progress& progress, const std::string& permitText) const
{
    http_request upstream = makeRequestLike(original);
    for (const auto& field : original) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        const bool ours = boost::beast::iequals(field.name_string().substr(0, internalPrefix.size()), internalPrefix);
        const bool hop = field.name() == http::field::connection || field.name() == http::field::transfer_encoding
            || field.name() == http::field::content_length || field.name() == http::field::host
            || field.name() == http::field::expect || field.name() == http::field::authorization;
        if (!ours && !hop)
            upstream.insert(field.name_string(), field.value());
    }
    const auto left = std::chrono::duration_cast<milliseconds>(request.deadline - m_context.now());
    upstream.set(header::workspace, request.workspace->name);
    upstream.set(header::service, request.service->name);
    upstream.set(header::requestId, request.correlation);
    upstream.set(header::fingerprint, toString(request.fingerprint));
    if (!request.parts.empty())
        upstream.set(header::promptPart, toString(request.parts.front()));
    upstream.set(header::priority, std::to_string(request.priority));
    upstream.set(header::timeoutMs, std::to_string(std::max<std::int64_t>(1, left.count())));
    upstream.set(header::revision, std::to_string(request.fleet->revision()));
    upstream.set(header::entry, m_context.name());
    upstream.set(header::backend, m_table.view(id).name);
    upstream.set(header::clock, std::to_string(m_context.timeline().clock()));
    if (request.onceId) {
        upstream.set(header::notRepeatable, "1");
        upstream.set(header::idempotencyKey, request.onceId->key);
        upstream.set(header::permit, permitText);
    }
    upstream.body() = progress.events > 0 ? withResume(original.body(), progress.events) : original.body();
    return upstream;
}

void request_dispatcher::noteHead(backend_id id, const http_head& head)
{
    m_table.recordAnswered(id, parseLoad(headerText(head, header::load)), m_context.now());
    m_context.timeline().observe(static_cast<std::uint64_t>(headerNumber(head, header::clock, 0)));
}

void request_dispatcher::noteRefusal(backend_id id, const failure& refused)
{
    const bool asksForLess = refused.reason == failure_reason::server_limit || refused.reason == failure_reason::server_backoff;
    if (asksForLess && refused.retryAfter)
        m_table.recordPause(id, *refused.retryAfter, m_context.now());
    if (refused.reason == failure_reason::leaving)
        m_table.recordLeaving(id, m_context.now());
    if (refused.reason == failure_reason::backend_error && refused.ran == verdict::not_run)
        m_table.recordConnectFailure(id, m_context.now());
    if (refused.reason == failure_reason::not_ready)
        m_permits.erase(id);
    // The agent's clock shows a pause that this process's clocks did not.
    if (refused.reason == failure_reason::stale_permit) {
        m_context.counters().add(metric::permits_refused);
        m_pauses.recordPause();
        m_pauseSign = true;
    }
}

awaitable<std::optional<failure>> request_dispatcher::tryOn(http_exchange& exchange, const caller_request& request, backend_id id, relay_progress& progress, std::string permitText)
{
    http_call call(m_client);
    const caller_watch watch(exchange, [&call] { call.cancel(); });
    m_table.recordSent(id);
    m_context.recordEvent(event_kind::request_sent, request.correlation, "to=" + m_table.view(id).name);
    auto head = co_await call.start(m_table.view(id).address, makeUpstream(exchange.request(), request, id, progress, permitText), request.deadline);
    std::optional<failure> failed;
    if (!head) {
        failed = head.error();
        if (failed->ran == verdict::not_run)
            m_table.recordConnectFailure(id, m_context.now());
    } else {
        noteHead(id, head.value());
        failed = failureFromHeaders(head.value());
        if (failed) {
            co_await call.readAll(65'536);
            noteRefusal(id, *failed);
        } else {
            m_table.recordServed(id);
            relay_options options;
            options.wholeEvents = request.resumable;
            head.value().erase(header::load);
            head.value().erase(header::permit);
            head.value().erase(header::clock);
            head.value().set(header::requestId, request.correlation);
            head.value().set(header::revision, std::to_string(request.fleet->revision()));
            const auto outcome = co_await relayAnswer(call, std::move(head.value()), exchange, progress, options);
            if (outcome.end == relay_end::truncated)
                failed = outcome.failed;
        }
    }
    m_table.recordEnded(id);
    if (exchange.callerGone())
        co_return std::nullopt;
    if (failed)
        m_context.recordEvent(event_kind::request_refused, request.correlation, "by=" + m_table.view(id).name + " reason=" + std::string(toString(failed->reason)) + " verdict=" + std::string(toString(failed->ran)));
    co_return failed;
}

awaitable<void> request_dispatcher::answerFailure(http_exchange& exchange, const caller_request& request, failure failed, bool begun)
{
    m_context.counters().countFailure(failed);
    m_context.recordEvent(event_kind::request_lost, request.correlation, "reason=" + std::string(toString(failed.reason)) + " verdict=" + std::string(toString(failed.ran)));
    if (!begun) {
        if (failed.ran == verdict::not_run && !failed.retryAfter && httpStatus(failed.reason) >= 500)
            failed.retryAfter = noBackendRetryAfter;
        // Callers refused together must not come back together.
        if (failed.retryAfter && failed.retryAfter->count() > 0)
            *failed.retryAfter += milliseconds(m_context.random()() % (static_cast<std::uint64_t>(failed.retryAfter->count()) / 2 + 1));
        auto response = makeFailure(failed);
        response.set(header::requestId, request.correlation);
        co_await exchange.send(std::move(response));
        co_return;
    }
    m_context.counters().add(metric::requests_lost);
    if (request.resumable)
        co_await exchange.write(streamErrorEvent(failed));
    exchange.abort();
}

} // namespace rampgap
