// Translates requests, answers and refusals between a platform's protocol and the gateway;
// implemented by the adapter of each platform.
#pragma once

#include "daemon/http_message.h"
#include "policy/common/verdict.h"
#include "policy/requests/event_judge.h"

#include <optional>
#include <string>
#include <vector>

namespace rampgap {

// A part of a prompt that several requests may share.
struct prompt_part {
    std::string id;
    std::int64_t tokens = 0;

    bool operator==(const prompt_part&) const = default;
};

// A caller's request as decoded from its headers.
struct gateway_request {
    // Unique for each attempt of the caller.
    std::string id;
    std::string host;
    std::string path;
    std::string key;
    // How long the caller waits; empty if not given.
    std::optional<milliseconds> timeLeft;
    // Last event of a stream that the caller has already received.
    std::string lastEventId;
    std::int64_t promptTokens = 0;
    std::int64_t maxAnswerTokens = 0;
    // The caller's estimate of the answer's length; 0 if not given.
    std::int64_t expectedAnswerTokens = 0;
    std::vector<prompt_part> promptParts;
    // Names of headers with invalid values, for the log; their fields have their defaults.
    std::string unreadable;

    bool operator==(const gateway_request&) const = default;
};

// What is sent to a backend server in addition to the caller's request.
struct upstream_context {
    std::string backendId;
    std::string workspace;
    milliseconds timeLeft { 0 };
    std::string lastEventId;
    // 0 is the most urgent; the codec keeps it within the range of the protocol. Empty for the server's default.
    std::optional<int> priority;
};

enum class reply_kind {
    // The server's answer, whatever its status.
    answer,
    // The server did not run the request.
    not_executed,
    // Another server has this address; it did not run the request.
    wrong_server,
    // The reply is malformed, or belongs to another request or may do so; this one may have run.
    unreadable,
};

struct reply_verdict {
    reply_kind kind = reply_kind::unreadable;
    // The reason, for the log.
    std::string reason;
    // Address of the server at fault, if the reply names one.
    std::string faultyAddress;

    bool operator==(const reply_verdict&) const = default;
};

// What a server reports about itself in any of its answers.
struct server_notice {
    // Requests per second that it accepts from all VMs together; empty if unlimited.
    std::optional<double> limitPerSecond;
    // It refused the request and asks this process to send it nothing for this time.
    std::optional<milliseconds> backoff;
    // It accepts no new requests any more.
    bool leaving = false;
    // Names of headers with invalid values, for the log.
    std::string unreadable;

    bool operator==(const server_notice&) const = default;
};

class request_codec {
public:
    virtual ~request_codec() = default;

    virtual result<gateway_request> decode(const http_request&) const = 0;
    virtual http_request makeUpstream(const http_request&, const gateway_request&, const upstream_context&) const = 0;
    // `firstOnConnection`: nothing was sent on the connection before the request, so the reply cannot belong to an earlier one.
    virtual reply_verdict classify(const http_head&, const gateway_request&, bool firstOnConnection) const = 0;
    virtual server_notice readNotice(const http_head&) const = 0;
    // What servers promise of the events of the streams on streaming routes.
    virtual event_contract streamContract() const = 0;
    // A request that a server answers at once under any load, as long as its process works.
    virtual http_request makeProbe() const = 0;
    // The answer to the caller of a request that failed.
    virtual http_response makeRefusal(const failure&, const std::string& requestId) const = 0;
};

} // namespace rampgap
