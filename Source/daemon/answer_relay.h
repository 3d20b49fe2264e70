// Relays the answer of an upstream server to a caller, piece by piece.
#pragma once

#include "daemon/byte_budget.h"
#include "daemon/http_client.h"
#include "daemon/http_server.h"
#include "policy/requests/answer_end.h"
#include "policy/requests/event_filter.h"

#include <functional>
#include <optional>
#include <string>

namespace rampgap {

// What one server sent of an answer.
struct relayed_run {
    // "length", "chunks" or "none".
    std::string_view framing = "-";
    std::uint64_t events = 0;
    // Ids of the first and the last event that had one.
    std::string firstId;
    std::string lastId;
    // Events that the caller had already, and that it was not sent again.
    std::uint64_t repeated = 0;
    answer_end_sign sign = answer_end_sign::none;
    // What showed that the server sends something else than the stream.
    std::optional<violation_report> violation;
};

// What has been relayed so far; the same object continues when a stream is resumed.
struct relay_progress {
    bool begun = false;
    // Complete server-sent events sent to the caller.
    std::uint64_t events = 0;
    // Id of the last event that the caller has and that had one.
    std::string lastEventId;
    // A server can be asked to go on after the last event sent: it had an id, or there was none yet.
    bool mayGoOn = true;
    std::uint64_t bytes = 0;
    // What the ids rose by in the last run that showed any step.
    run_steps shownSteps;
    // Of the current server.
    relayed_run run;
    // When the first and the latest bytes of the body arrived, and the longest pause between two reads.
    std::optional<instant> firstBytesAt;
    instant newestBytesAt {};
    milliseconds longestPause { 0 };

    void recordBytes(instant now);
    void recordEvent(const stream_event&);
};

struct relay_options {
    // Relay only complete server-sent events, so that a stream that breaks off ends between two of them. Otherwise an event that
    // is too large to be held is relayed as it comes.
    bool wholeEvents = false;
    // What the server's protocol promises of the events of a stream.
    event_contract contract = event_contract::standard;
    // Check that the events of a stream go on after `relay_progress::lastEventId`.
    bool checkContinuation = false;
    // What the ids of the service's events rise by; learned from whole runs. Null: not known.
    std::shared_ptr<event_id_steps> idSteps;
    // Read the answer to its end even if the caller has disconnected, so that the request is not aborted.
    bool finishWithoutCaller = false;
    // Keep a copy of an answer of up to this many bytes; 0 keeps none.
    std::size_t recordLimit = 0;
    // Longest time between two reads from the upstream; 0: only the call's deadline applies.
    milliseconds silenceLimit { 0 };
    // The caller's deadline, which limits each wait that `silenceLimit` sets.
    instant deadline {};
    // Called once, after the first read of the body.
    std::function<void()> onFirstBytes;
    // Called with the time between two reads that completed an event, unless the caller delayed the second one.
    std::function<void(duration)> onEventGap;
    // Buffer every answer that is not an event stream, even without a stated length, so that no answer is
    // begun that breaks off before its end. Beyond what may be held it is relayed as it comes.
    bool bufferUnframed = false;
    // What all answers of the process may hold back together: events and answers that are not complete yet. Null: any number.
    std::shared_ptr<byte_budget> heldAnswers;
    // Called at the end of an answer with neither a length nor chunks, before the caller is told that it is
    // complete: returns the sign that tells whether the answer ended or was broken off.
    std::function<awaitable<answer_end_sign>()> judgeEnd;
};

enum class relay_end { complete,
    caller_gone,
    truncated };

struct relay_outcome {
    relay_end end = relay_end::complete;
    // Set if the answer was truncated by the upstream.
    std::optional<failure> failed;
    // The copy, if one was requested and the answer was within the limit.
    std::optional<std::string> recorded;
};

// Relays head and body. A truncated answer is left unfinished: the calling function decides
// how to end it.
awaitable<relay_outcome> relayAnswer(http_call&, http_head, http_exchange&, relay_progress&, relay_options);

// A success that is a stream of events; the body of a failure is passed on as it is, whatever its type.
bool isEventStream(const http_head&);

} // namespace rampgap
