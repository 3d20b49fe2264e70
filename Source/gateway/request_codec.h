// How callers and backend servers spell requests, answers and refusals; implemented by
// the adapter of each platform.
#pragma once

#include "daemon/http_message.h"
#include "policy/verdict.h"

#include <optional>
#include <string>
#include <vector>

namespace rampgap {

// A part of a prompt that other requests may share.
struct prompt_part {
    std::string id;
    std::int64_t tokens = 0;

    bool operator==(const prompt_part&) const = default;
};

// What a caller says about its request.
struct gateway_request {
    // Unique for each try of the caller.
    std::string id;
    std::string host;
    std::string path;
    std::string key;
    // How long the caller waits; empty if it does not say.
    std::optional<milliseconds> timeLeft;
    // Last event of a stream that the caller already has.
    std::string lastEventId;
    std::int64_t promptTokens = 0;
    std::int64_t maxAnswerTokens = 0;
    // The caller's estimate of the answer; 0 if there is none.
    std::int64_t expectedAnswerTokens = 0;
    std::vector<prompt_part> promptParts;

    bool operator==(const gateway_request&) const = default;
};

// What a backend server is told besides the caller's own words.
struct upstream_facts {
    std::string backendId;
    std::string workspace;
    milliseconds timeLeft { 0 };
    std::string lastEventId;
    // 0 is first; empty: the server's default.
    std::optional<int> urgency;
};

enum class reply_kind {
    // The server's own answer, whatever its status.
    answer,
    // It has not run the request.
    not_executed,
    // Another server has the address; it has not run the request.
    wrong_server,
    // Cannot be told to be the answer to this request.
    unreadable,
};

struct reply_verdict {
    reply_kind kind = reply_kind::unreadable;
    // Why, for the log.
    std::string reason;
    // The server at fault, if the reply names one.
    std::string faultyAddress;

    bool operator==(const reply_verdict&) const = default;
};

// What a server says of itself in any of its answers.
struct server_notice {
    // Requests a second that it takes from all VMs together; empty: any number.
    std::optional<double> limitPerSecond;
    // It turned the request away and wants nothing from this process for so long.
    std::optional<milliseconds> backoff;
    // It takes no new requests any more.
    bool leaving = false;
    // Names of headers whose values cannot be read, for the log.
    std::string unreadable;

    bool operator==(const server_notice&) const = default;
};

class request_codec {
public:
    virtual ~request_codec() = default;

    virtual result<gateway_request> decode(const http_request&) const = 0;
    virtual http_request makeUpstream(const http_request&, const gateway_request&, const upstream_facts&) const = 0;
    virtual reply_verdict judge(const http_head&, const gateway_request&) const = 0;
    virtual server_notice notice(const http_head&) const = 0;
    // What a server answers at once, whatever its load, while its process works.
    virtual http_request makePing() const = 0;
    // The final answer to a request that failed here.
    virtual http_response refuse(const failure&, const std::string& requestId) const = 0;
};

} // namespace rampgap
