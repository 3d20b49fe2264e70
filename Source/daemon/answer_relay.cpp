#include "daemon/answer_relay.h"

#include <algorithm>

namespace rampgap {

namespace {

    // Answers of a stated length up to this are buffered and sent in one write.
    constexpr std::uint64_t wholeAnswerBytes = 65'536;
    // Largest plain answer without a stated length: a faulty server's may not end.
    constexpr std::uint64_t maxUnframedBytes = 4'194'304;
    // More than a server can send until any caller's deadline: a stated length above this is a fault.
    constexpr std::uint64_t maxStatedBytes = 1'099'511'627'776;
    // Largest event: many times what engines send, which is up to a few tokens.
    constexpr std::size_t maxEventBytes = 262'144;
    // What an answer holds up to this does not count towards what all may hold: sound ones hold less.
    constexpr std::size_t unsharedAnswerBytes = 16'384;
    // If writing to the caller took longer than this, the gap may be the caller's delay.
    constexpr milliseconds maxWriteTime { 10 };

    void dropHopHeaders(http_head& head)
    {
        head.erase(http::field::connection);
        head.erase(http::field::transfer_encoding);
        head.erase(http::field::content_length);
        head.erase(http::field::keep_alive);
    }

    // Measures the gaps between reads that completed an event.
    class gap_meter {
    public:
        // Empty if the gap is not the server's.
        std::optional<duration> recordEvent(instant now)
        {
            std::optional<duration> gap;
            if (m_last && m_readFrom - *m_last <= maxWriteTime)
                gap = now - *m_last;
            m_last = now;
            m_readFrom = now;
            return gap;
        }
        void recordWritten(instant now) { m_readFrom = now; }

    private:
        std::optional<instant> m_last;
        // When the last event had been written to the caller.
        instant m_readFrom {};
    };

    // Takes the bytes out of the events: mostly there is one, which is not copied.
    std::string takeBytes(std::vector<stream_event>& events)
    {
        std::string text;
        for (auto& event : events) {
            if (text.empty())
                text = std::move(event.bytes);
            else
                text += event.bytes;
        }
        return text;
    }

    // Copies an answer as long as it does not exceed the limit.
    class answer_copy {
    public:
        explicit answer_copy(std::size_t limit)
            : m_limit(limit)
            , m_fits(limit > 0)
        {
        }

        void append(std::string_view piece)
        {
            m_fits = m_fits && m_text.size() + piece.size() <= m_limit;
            if (m_fits)
                m_text.append(piece);
        }

        std::optional<std::string> take() { return m_fits ? std::optional<std::string>(std::move(m_text)) : std::nullopt; }

    private:
        std::size_t m_limit;
        bool m_fits;
        std::string m_text;
    };

    // The end of a connection ends an answer without length or chunks, whether the server had finished it or not.
    awaitable<bool> isBrokenOff(const http_call& call, relayed_run& run, const relay_options& options)
    {
        run.sign = call.framed() ? answer_end_sign::framed : answer_end_sign::server_answers;
        if (call.framed() || !options.judgeEnd)
            co_return false;
        run.sign = co_await options.judgeEnd();
        co_return !isWhole(run.sign);
    }

    failure brokenOffFailure(const relayed_run& run)
    {
        return mayHaveRun(failure_reason::connection_lost, "an answer without length or chunks was broken off: " + std::string(toString(run.sign)));
    }

    relay_outcome incompleteOutcome(bool callerGone, std::optional<failure> failed)
    {
        return { callerGone ? relay_end::caller_gone : relay_end::truncated, std::move(failed), std::nullopt };
    }

    relay_outcome cutOutcome(http_call& call, std::string why)
    {
        call.cancel();
        return incompleteOutcome(false, mayHaveRun(failure_reason::backend_error, std::move(why)));
    }

    awaitable<relay_outcome> sendWhole(std::string body, http_head head, http_exchange& exchange, relay_progress& progress, std::size_t recordLimit)
    {
        relay_outcome outcome;
        if (recordLimit >= body.size())
            outcome.recorded = body;
        http_response response;
        response.base() = std::move(head);
        response.version(11);
        progress.begun = true;
        progress.bytes += body.size();
        response.body() = std::move(body);
        response.prepare_payload();
        if (!co_await exchange.send(std::move(response)))
            outcome.end = relay_end::caller_gone;
        co_return outcome;
    }

    // What `readHeld` has read of an answer.
    struct held_answer {
        std::string body;
        // The end was read; otherwise the rest is too much to be held.
        bool whole = false;
        std::optional<failure> failed;
    };

    awaitable<held_answer> readHeld(http_call& call, held_bytes& held)
    {
        held_answer answer;
        for (;;) {
            const auto piece = co_await call.read();
            if (!piece) {
                answer.failed = piece.error();
                co_return answer;
            }
            answer.whole = piece.value().empty();
            answer.body.append(piece.value());
            if (answer.whole || answer.body.size() > maxUnframedBytes || !held.resize(answer.body.size()))
                co_return answer;
        }
    }

} // namespace

void relay_progress::recordBytes(instant now)
{
    if (firstBytesAt)
        longestPause = std::max(longestPause, std::chrono::duration_cast<milliseconds>(now - newestBytesAt));
    else
        firstBytesAt = now;
    newestBytesAt = now;
}

void relay_progress::recordEvent(const stream_event& event)
{
    if (!event.isEvent())
        return;
    ++events;
    ++run.events;
    if (event.id) {
        if (run.firstId.empty())
            run.firstId = *event.id;
        run.lastId = *event.id;
        lastEventId = *event.id;
    }
    mayGoOn = event.id && mayNameEvent(*event.id);
}

bool isEventStream(const http_head& head)
{
    if (http::to_status_class(head.result()) != http::status_class::successful)
        return false;
    const auto type = head[http::field::content_type];
    const auto name = type.substr(0, type.find_first_of("; \t"));
    return boost::beast::iequals(name, "text/event-stream");
}

namespace {

    // The next piece of the body, within the longest silence; empty at its end.
    awaitable<result<std::string_view>> readPiece(http_call& call, const relay_options& options)
    {
        if (options.silenceLimit > milliseconds(0))
            call.expireAt(std::min(options.deadline, boot_clock::now() + options.silenceLimit));
        const auto read = co_await call.read();
        co_return read;
    }

    void recordPiece(std::string_view piece, relay_progress& progress, relay_options& options)
    {
        if (!piece.empty())
            progress.recordBytes(boot_clock::now());
        if (const auto action = std::exchange(options.onFirstBytes, nullptr))
            action();
    }

    // The failure of a stream whose bytes have ended too early; empty if it is whole.
    awaitable<std::optional<failure>> findBreak(const http_call& call, const event_filter& filter, bool mayBeEmpty, relay_progress& progress, const relay_options& options)
    {
        const bool isEmpty = progress.run.events == 0 && !mayBeEmpty;
        if (options.wholeEvents && !call.framed() && (filter.inEvent() || isEmpty)) {
            progress.run.sign = filter.inEvent() ? answer_end_sign::inside_event : answer_end_sign::no_event;
            co_return mayHaveRun(failure_reason::connection_lost, "the stream ended inside an event, or before the first one");
        }
        const bool broken = co_await isBrokenOff(call, progress.run, options);
        if (!broken)
            co_return std::nullopt;
        co_return brokenOffFailure(progress.run);
    }

    // The bytes that may be sent now that a piece has come, or the end of the answer. An event that is too large to be held is
    // passed on as it comes, if its caller may get a part of one.
    std::string takeSendable(event_filter& filter, std::vector<stream_event>& events, bool partsAllowed)
    {
        std::string bytes = takeBytes(events);
        if (partsAllowed && !filter.violation() && filter.heldBytes() > maxEventBytes)
            bytes += filter.takeLarge();
        return bytes;
    }

    // Relays the events of a stream, each of them with its last byte, once it was judged.
    awaitable<relay_outcome> relayEvents(http_call& call, event_filter& filter, http_exchange& exchange, bool callerConnected, relay_progress& progress, relay_options& options)
    {
        held_bytes held(options.heldAnswers, unsharedAnswerBytes);
        // A run that is to go on after the last event has none.
        const bool mayBeEmpty = options.checkContinuation && !progress.lastEventId.empty();
        answer_copy copy(options.recordLimit);
        gap_meter gaps;
        for (;;) {
            if (!callerConnected && !options.finishWithoutCaller)
                co_return incompleteOutcome(true, std::nullopt);
            const auto piece = co_await readPiece(call, options);
            if (!piece)
                co_return incompleteOutcome(exchange.callerGone() && !options.finishWithoutCaller, piece.error());
            recordPiece(piece.value(), progress, options);
            const bool last = piece.value().empty();
            if (last) {
                const auto broken = co_await findBreak(call, filter, mayBeEmpty, progress, options);
                if (broken)
                    co_return incompleteOutcome(exchange.callerGone() && !options.finishWithoutCaller, broken);
            }
            auto events = last ? filter.finish() : filter.push(piece.value());
            const std::string out = takeSendable(filter, events, !last && !options.wholeEvents);
            progress.run.repeated = filter.repeated();
            progress.run.violation = filter.violation();
            copy.append(out);
            if (!out.empty() && options.onEventGap) {
                if (const auto gap = gaps.recordEvent(boot_clock::now()))
                    options.onEventGap(*gap);
            }
            if (callerConnected && !out.empty()) {
                callerConnected = co_await exchange.write(out);
                gaps.recordWritten(boot_clock::now());
                for (const auto& event : events)
                    progress.recordEvent(event);
                progress.bytes += out.size();
            }
            progress.mayGoOn = progress.mayGoOn && !filter.mayLastBeGarbage();
            if (filter.violation())
                co_return cutOutcome(call, "the server sent something else than its stream: " + std::string(toString(filter.violation()->violation)));
            if (filter.heldBytes() > maxEventBytes || !held.resize(filter.heldBytes()))
                co_return cutOutcome(call, "an event of the answer is larger than may be held");
            if (!last)
                continue;
            if (callerConnected)
                callerConnected = co_await exchange.finish();
            relay_outcome outcome;
            outcome.end = callerConnected ? relay_end::complete : relay_end::caller_gone;
            outcome.recorded = copy.take();
            co_return outcome;
        }
    }

    // Relays the events of one run; what its ids rise by is kept for the stream's next run, and for the service if it is whole.
    awaitable<relay_outcome> relayRun(http_call& call, http_exchange& exchange, bool callerConnected, relay_progress& progress, relay_options options)
    {
        event_filter_input input { options.contract, options.checkContinuation ? progress.lastEventId : std::string(), options.idSteps, progress.shownSteps, progress.bytes > 0 };
        event_filter filter(std::move(input));
        auto outcome = co_await relayEvents(call, filter, exchange, callerConnected, progress, options);
        if (!filter.steps().empty())
            progress.shownSteps = filter.steps();
        if (outcome.end == relay_end::complete)
            filter.learn();
        co_return outcome;
    }

    // Relays the pieces of a plain answer that has begun, after `first`, which has been read already.
    awaitable<relay_outcome> relayPieces(http_call& call, std::string first, http_exchange& exchange, bool callerConnected, relay_progress& progress, relay_options options)
    {
        const bool lengthKnown = call.statedLength().has_value();
        answer_copy copy(options.recordLimit);
        for (;;) {
            if (!callerConnected && !options.finishWithoutCaller)
                co_return incompleteOutcome(true, std::nullopt);
            std::string_view piece = first;
            if (first.empty()) {
                const auto read = co_await readPiece(call, options);
                if (!read)
                    co_return incompleteOutcome(exchange.callerGone() && !options.finishWithoutCaller, read.error());
                piece = read.value();
            }
            recordPiece(piece, progress, options);
            const bool last = piece.empty();
            if (last) {
                const bool broken = co_await isBrokenOff(call, progress.run, options);
                if (broken)
                    co_return incompleteOutcome(exchange.callerGone() && !options.finishWithoutCaller, brokenOffFailure(progress.run));
            }
            copy.append(piece);
            if (callerConnected && !last) {
                callerConnected = co_await exchange.write(piece);
                progress.bytes += piece.size();
            }
            first.clear();
            if (!lengthKnown && progress.bytes > maxUnframedBytes)
                co_return cutOutcome(call, "the answer has no stated length and does not end");
            if (!last)
                continue;
            if (callerConnected)
                callerConnected = co_await exchange.finish();
            relay_outcome outcome;
            outcome.end = callerConnected ? relay_end::complete : relay_end::caller_gone;
            outcome.recorded = copy.take();
            co_return outcome;
        }
    }

    // Holds the answer until it is whole. One that is too large for that is relayed as it comes, if it is not larger than any may be.
    awaitable<relay_outcome> relayHeld(http_call& call, http_head head, http_exchange& exchange, relay_progress& progress, relay_options options)
    {
        held_bytes held(options.heldAnswers, unsharedAnswerBytes);
        auto answer = co_await readHeld(call, held);
        if (answer.failed)
            co_return incompleteOutcome(exchange.callerGone(), std::move(answer.failed));
        if (answer.body.size() > maxUnframedBytes)
            co_return cutOutcome(call, "the answer has no stated length and does not end");
        if (!answer.whole) {
            held.resize(0);
            progress.begun = true;
            progress.mayGoOn = false;
            const bool connected = co_await exchange.begin(std::move(head));
            co_return co_await relayPieces(call, std::move(answer.body), exchange, connected, progress, std::move(options));
        }
        const bool broken = co_await isBrokenOff(call, progress.run, options);
        if (broken)
            co_return incompleteOutcome(exchange.callerGone(), brokenOffFailure(progress.run));
        co_return co_await sendWhole(std::move(answer.body), std::move(head), exchange, progress, options.recordLimit);
    }

    // An answer to HEAD has no body, and states the length that the answer to GET would have.
    awaitable<relay_outcome> relayHeadOnly(http_call& call, http_head head, http_exchange& exchange, relay_progress& progress)
    {
        const auto length = call.statedLength();
        // Returns the connection to the pool.
        const auto end = co_await call.read();
        if (!end)
            co_return incompleteOutcome(exchange.callerGone(), end.error());
        http_response response;
        response.base() = std::move(head);
        response.version(11);
        if (length)
            response.content_length(*length);
        progress.begun = true;
        relay_outcome outcome;
        if (!co_await exchange.send(std::move(response)))
            outcome.end = relay_end::caller_gone;
        co_return outcome;
    }

    awaitable<relay_outcome> relaySmall(http_call& call, http_head head, http_exchange& exchange, relay_progress& progress, relay_options options)
    {
        auto body = co_await call.readAll(wholeAnswerBytes);
        if (!body)
            co_return incompleteOutcome(exchange.callerGone(), body.error());
        co_return co_await sendWhole(std::move(body.value()), std::move(head), exchange, progress, options.recordLimit);
    }

} // namespace

awaitable<relay_outcome> relayAnswer(http_call& call, http_head head, http_exchange& exchange, relay_progress& progress, relay_options options)
{
    const auto length = call.statedLength();
    if (length && *length > maxStatedBytes)
        co_return cutOutcome(call, "the answer states a length of " + std::to_string(*length) + " bytes");
    const bool isStream = isEventStream(head);
    progress.run = {};
    progress.run.framing = length ? "length" : call.framed() ? "chunks"
                                                             : "none";
    // Its body would be joined to the stream.
    if (progress.begun && !isStream)
        co_return cutOutcome(call, "the server that was to go on with the stream answered " + std::to_string(head.result_int()) + " " + headerText(head, "Content-Type"));
    dropHopHeaders(head);
    if (exchange.request().method() == http::verb::head)
        co_return co_await relayHeadOnly(call, std::move(head), exchange, progress);
    if (length && *length <= wholeAnswerBytes && !progress.begun && !isStream)
        co_return co_await relaySmall(call, std::move(head), exchange, progress, std::move(options));
    // A long answer of known length is passed on as it comes: held whole, 200 of 1 MB for slow callers would exceed the VM's memory.
    if (options.bufferUnframed && !isStream && !length && !progress.begun)
        co_return co_await relayHeld(call, std::move(head), exchange, progress, std::move(options));
    bool callerConnected = true;
    if (!progress.begun) {
        progress.begun = true;
        // Nothing goes on after a part of a plain answer.
        progress.mayGoOn = isStream;
        callerConnected = co_await exchange.begin(std::move(head));
    }
    if (isStream)
        co_return co_await relayRun(call, exchange, callerConnected, progress, std::move(options));
    co_return co_await relayPieces(call, {}, exchange, callerConnected, progress, std::move(options));
}

} // namespace rampgap
