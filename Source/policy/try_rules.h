// How often and how long a request is tried at servers.
#pragma once

#include "policy/verdict.h"

#include <cstddef>

namespace rampgap {

// Several times a round trip between zones; a lost packet is sent again only after a second, so
// another server is the faster way.
inline constexpr milliseconds serverConnectTimeout { 250 };

struct another_try_question {
    // Of the tries so far, together.
    verdict ran = verdict::not_run;
    // Of the route.
    bool repeatable = false;
    bool resumable = false;
    int maxAttempts = 1;
    // Tries that a server may have run, and servers that were offered it.
    int runs = 0;
    std::size_t tried = 0;
    // The caller has a part of the answer.
    bool begun = false;
};

// Whether another try is safe and within the route's limit, whatever the retry budget says.
bool mayTryAgain(const another_try_question&);

// Silence after which a stream is taken elsewhere. `openElsewhere`: another expert group could go
// on with it.
milliseconds streamSilenceLimit(bool openElsewhere);

} // namespace rampgap
