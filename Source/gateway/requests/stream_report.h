// Log lines that say of which runs a caller's stream was made, and how each ended.
#pragma once

#include "daemon/answer_relay.h"
#include "daemon/decision_log.h"
#include "gateway/requests/request_codec.h"

namespace rampgap {

struct stream_run {
    std::string backend;
    relayed_run relayed;
};

// Adds a run's fields to the line of its attempt; none if no answer came.
void addRun(log_line&, const relayed_run&);
// One line for a run whose server sent something else than the stream: which rule it broke, at which event.
void logViolation(decision_log&, const gateway_request&, const std::string& backend, const std::string& address, const relayed_run&, duration took);
// One line for a stream that is not one framed answer of one server. `outcome`: what its caller saw.
void logStreamEnd(decision_log&, const gateway_request&, const std::vector<stream_run>&, std::string_view outcome);

} // namespace rampgap
