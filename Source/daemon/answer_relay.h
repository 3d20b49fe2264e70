// Passes an upstream's answer on to a caller, piece by piece.
#pragma once

#include "daemon/http_client.h"
#include "daemon/http_server.h"

#include <functional>
#include <optional>
#include <string>

namespace rampgap {

// What has been passed on so far; kept over a resumed stream.
struct relay_progress {
    bool begun = false;
    // Whole server-sent events that the caller has.
    std::uint64_t events = 0;
    // Id of the last of them that had one.
    std::string lastEventId;
    std::uint64_t bytes = 0;
    // When the first and the newest bytes of the body came, and the longest pause between two.
    std::optional<instant> firstBytesAt;
    instant newestBytesAt {};
    milliseconds longestPause { 0 };

    void noteBytes(instant now);
};

struct relay_options {
    // Pass on only whole server-sent events, so that a cut falls between two.
    bool wholeEvents = false;
    // Read to the end even if the caller is gone: the request must not be cut off.
    bool finishWithoutCaller = false;
    // Keep a copy of the answer up to this size.
    std::size_t recordLimit = 0;
    // Longest silence of the upstream in a stream; 0: only the call's deadline counts.
    milliseconds silenceLimit { 0 };
    // When the caller's deadline ends the relay; used with `silenceLimit`.
    instant deadline {};
    // Called when the first bytes of the body have come.
    std::function<void()> onFirstBytes;
    // Buffer plain answers without a stated length too, so that a cut one is never begun.
    bool bufferUnframed = false;
};

enum class relay_end { whole,
    caller_gone,
    cut };

struct relay_outcome {
    relay_end end = relay_end::whole;
    // Set when the answer was cut off.
    std::optional<failure> failed;
    // The copy, if asked for and within the limit.
    std::optional<std::string> recorded;
};

// Relays head and body. A cut answer is left unfinished: the caller of this function
// decides how it ends.
awaitable<relay_outcome> relayAnswer(http_call&, http_head, http_exchange&, relay_progress&, relay_options);

bool isEventStream(const http_head&);

} // namespace rampgap
