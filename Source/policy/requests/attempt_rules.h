// Limits on how often a request is sent to servers, and how long an attempt may stay silent.
#pragma once

#include "policy/common/verdict.h"

#include <cstddef>

namespace rampgap {

// Several times the round trip between zones. A lost packet of a connection attempt is sent again only
// after a second, so trying another server is faster.
inline constexpr milliseconds serverConnectTimeout { 250 };

// A server that sends nothing for this long may have crashed silently; other gaps last up to half a
// second.
inline constexpr milliseconds longSilence { 1'000 };

struct further_attempt_input {
    // What is known of all attempts so far together.
    verdict ran = verdict::not_run;
    // Properties of the route.
    bool repeatable = false;
    bool resumable = false;
    int maxAttempts = 1;
    // Attempts that a server may have run, and servers to which the request was sent.
    int possibleRuns = 0;
    std::size_t serversTried = 0;
    // The caller has received a part of the answer.
    bool answerBegun = false;
};

// Whether another attempt is safe and within the route's limit. The retry budget is checked separately.
bool mayAttemptAgain(const further_attempt_input&);

// Silence after which a stream is resumed at another server. `openElsewhere`: another expert group could
// resume it.
milliseconds streamSilenceLimit(bool openElsewhere);

} // namespace rampgap
