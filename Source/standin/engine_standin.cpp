#include "standin/engine_standin.h"

#include "daemon/boot_timer.h"
#include "daemon/header_names.h"
#include "daemon/operator_pages.h"
#include "daemon/task.h"
#include "discovery/json_reading.h"
#include "policy/common/digest.h"
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace rampgap::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr int crashExitCode = 70;
    constexpr std::size_t prefixCharacters = 64;
    constexpr std::uint64_t defaultTokens = 16;

    struct completion {
        std::string prompt;
        std::uint64_t maxTokens = defaultTokens;
        std::uint64_t resumeFrom = 0;
        bool stream = false;
        bool chat = false;
    };

    std::optional<completion> parseCompletion(const http_request& request)
    {
        boost::system::error_code error;
        const json::value parsed = json::parse(request.body(), error);
        if (error || !parsed.is_object())
            return std::nullopt;
        const json::object& object = parsed.get_object();
        completion made;
        made.chat = request.target().starts_with("/v1/chat");
        const json::value* prompt = object.if_contains(made.chat ? "messages" : "prompt");
        if (!prompt)
            return std::nullopt;
        made.prompt = prompt->is_string() ? std::string(prompt->get_string()) : json::serialize(*prompt);
        made.maxTokens = numberIn(object, "max_tokens", defaultTokens);
        made.resumeFrom = numberIn(object, "resume_from", 0);
        const json::value* stream = object.if_contains("stream");
        made.stream = stream && stream->is_bool() && stream->get_bool();
        return made;
    }

    std::string tokenEvent(const completion& asked, std::uint64_t index)
    {
        const std::string token = tokenAt(asked.prompt, index);
        json::object choice { { "index", 0 } };
        if (asked.chat)
            choice["delta"] = json::object { { "content", token } };
        else
            choice["text"] = token;
        return "data: " + json::serialize(json::object { { "choices", json::array { choice } } }) + "\n\n";
    }

    std::string wholeAnswer(const completion& asked, const std::string& text)
    {
        json::object choice { { "index", 0 }, { "finish_reason", "length" } };
        if (asked.chat)
            choice["message"] = json::object { { "role", "assistant" }, { "content", text } };
        else
            choice["text"] = text;
        return json::serialize(json::object { { "choices", json::array { choice } }, { "usage", json::object { { "completion_tokens", asked.maxTokens } } } });
    }

} // namespace

std::string tokenAt(const std::string& prompt, std::uint64_t index)
{
    return std::to_string(hash64(prompt, index) % 100'000) + " ";
}

engine_standin::engine_standin(process_context& context, const standin_flags& flags)
    : m_context(context)
    , m_flags(flags)
{
}

void engine_standin::start()
{
    if (m_flags.stepMs > 0)
        startLoop(m_context, "step", [this] { return stepLoop(); });
}

awaitable<void> engine_standin::stepLoop()
{
    boot_timer timer(m_context.io());
    instant next = m_context.now();
    for (;;) {
        const auto step = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(m_flags.stepMs * m_slowFactor));
        next = std::max(next + step, m_context.now()) + milliseconds(std::exchange(m_stallMs, 0));
        timer.expires_at(next);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        int running = 0;
        for (auto& member : m_sequences) {
            if (running >= m_flags.slots)
                break;
            ++running;
            member->inBatch = true;
            if (member->stepsToFirst > 0)
                --member->stepsToFirst;
            else
                ++member->steps;
            member->signal.cancel();
        }
    }
}

awaitable<void> engine_standin::nextStep(sequence& own)
{
    own.signal.expires_at(instant::max());
    co_await own.signal.async_wait(asio::as_tuple(asio::use_awaitable));
}

// True if the prefix was cached; least recently used ones are dropped.
bool engine_standin::notePrefix(const std::string& prompt)
{
    const std::string prefix = prompt.substr(0, prefixCharacters);
    const auto found = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
    const bool hit = found != m_prefixes.end();
    if (hit)
        m_prefixes.erase(found);
    m_prefixes.push_front(prefix);
    if (m_prefixes.size() > static_cast<std::size_t>(m_flags.cachedPrefixes))
        m_prefixes.pop_back();
    return hit;
}

void engine_standin::addNotice(http::fields& fields) const
{
    if (!m_limit.empty())
        fields.set(header::limitPerSecond, m_limit);
    if (m_leaving)
        fields.set(header::leaving, "1");
}

void engine_standin::countRun(const http_request& request)
{
    ++m_totalRuns;
    const std::string key = headerText(request, header::idempotencyKey);
    if (!key.empty())
        ++m_runs[headerText(request, header::workspace) + "/" + key];
}

awaitable<void> engine_standin::handle(http_exchange& exchange)
{
    const std::string target(exchange.request().target());
    const std::string path = pathOf(target);
    if (path == "/standin/faults") {
        co_await exchange.send(setFaults(target));
        co_return;
    }
    if (exchange.request().method() == http::verb::options) {
        co_await exchange.send(makeResponse(204, "text/plain", ""));
        co_return;
    }
    if (path == "/standin/runs") {
        co_await exchange.send(runs());
        co_return;
    }
    if (m_refuse) {
        co_await exchange.send(makeResponse(503, "text/plain", "refusing\n"));
        co_return;
    }
    if (!m_backoff.empty()) {
        ++m_turnedAway;
        auto refusal = makeFailure(notRun(failure_reason::queue_full, "asks to back off"));
        refusal.set(header::retryAfter, m_backoff);
        co_await exchange.send(std::move(refusal));
        co_return;
    }
    countRun(exchange.request());
    if (m_flags.kind == "service")
        co_await callService(exchange);
    else
        co_await complete(exchange);
}

awaitable<void> engine_standin::complete(http_exchange& exchange)
{
    const auto asked = parseCompletion(exchange.request());
    if (!asked) {
        co_await exchange.send(makeResponse(400, "text/plain", "not a completion request\n"));
        co_return;
    }
    const auto own = std::make_shared<sequence>(m_context.io());
    own->stepsToFirst = notePrefix(asked->prompt) ? 0 : m_flags.prefillSteps;
    m_sequences.push_back(own);
    bool callerThere = true;
    if (asked->stream) {
        http_head head;
        head.version(11);
        head.result(http::status::ok);
        head.set(http::field::content_type, "text/event-stream");
        addNotice(head);
        callerThere = co_await exchange.begin(std::move(head));
    }
    std::string text;
    std::uint64_t sent = asked->resumeFrom;
    while (callerThere && !exchange.callerGone() && sent < asked->maxTokens) {
        co_await nextStep(*own);
        if (!m_crashOn.empty() && asked->prompt.find(m_crashOn) != std::string::npos)
            std::_Exit(crashExitCode);
        const std::uint64_t ready = std::min(asked->maxTokens, asked->resumeFrom + own->steps);
        for (; sent < ready && callerThere; ++sent) {
            if (m_breakAfter >= 0 && sent >= static_cast<std::uint64_t>(m_breakAfter)) {
                m_sequences.remove(own);
                exchange.abort();
                co_return;
            }
            if (asked->stream)
                callerThere = co_await exchange.write(tokenEvent(*asked, sent));
            else
                text += tokenAt(asked->prompt, sent);
        }
    }
    m_sequences.remove(own);
    if (!callerThere || exchange.callerGone()) {
        ++m_cancelled;
        co_return;
    }
    if (!asked->stream) {
        auto answer = makeResponse(200, "application/json", wholeAnswer(*asked, text));
        addNotice(answer);
        co_await exchange.send(std::move(answer));
        co_return;
    }
    co_await exchange.write("data: [DONE]\n\n");
    co_await exchange.finish();
}

// Echoes the body after one step, so that a caller can check that the answer is its own.
awaitable<void> engine_standin::callService(http_exchange& exchange)
{
    const auto own = std::make_shared<sequence>(m_context.io());
    m_sequences.push_back(own);
    while (m_flags.stepMs > 0 && own->steps == 0)
        co_await nextStep(*own);
    m_sequences.remove(own);
    if (m_breakAfter == 0) {
        exchange.abort();
        co_return;
    }
    auto echo = makeResponse(200, "text/plain", "echo:" + exchange.request().body());
    addNotice(echo);
    co_await exchange.send(std::move(echo));
}

http_response engine_standin::setFaults(const std::string& target)
{
    if (const std::string slow = queryValue(target, "slow"); !slow.empty())
        m_slowFactor = std::strtod(slow.c_str(), nullptr);
    if (const std::string stall = queryValue(target, "stall_ms"); !stall.empty())
        m_stallMs = std::atoi(stall.c_str());
    if (const std::string broken = queryValue(target, "break_after"); !broken.empty())
        m_breakAfter = std::atoi(broken.c_str());
    if (const std::string refuse = queryValue(target, "refuse"); !refuse.empty())
        m_refuse = refuse == "1";
    if (const std::string limit = queryValue(target, "limit"); !limit.empty())
        m_limit = limit == "none" ? "" : limit;
    if (const std::string backoff = queryValue(target, "backoff"); !backoff.empty())
        m_backoff = backoff == "none" ? "" : backoff;
    if (const std::string leaving = queryValue(target, "leaving"); !leaving.empty())
        m_leaving = leaving == "1";
    if (const std::string word = queryValue(target, "crash_on"); !word.empty())
        m_crashOn = word;
    return makeResponse(200, "text/plain", "ok\n");
}

http_response engine_standin::runs() const
{
    int most = 0;
    json::object byKey;
    for (const auto& [key, count] : m_runs) {
        most = std::max(most, count);
        byKey[key] = count;
    }
    return makeResponse(200, "application/json", json::serialize(json::object { { "total", m_totalRuns }, { "most_per_key", most }, { "cancelled", m_cancelled }, { "in_batch", m_sequences.size() }, { "turned_away", m_turnedAway }, { "runs", std::move(byKey) } }));
}

} // namespace rampgap::standin
