#include "entry/caller_request.h"

#include "daemon/header_names.h"
#include "daemon/operator_pages.h"
#include "policy/common/digest.h"
#include <algorithm>
#include <boost/json.hpp>

namespace rampgap {

namespace json = boost::json;

namespace {

    constexpr std::size_t prefixCharacters = 256;
    constexpr std::int64_t maxTimeoutMs = 86'400'000;
    constexpr std::size_t maxKeyBytes = 256;

    // The part of a completion request that decides where it goes.
    struct completion_head {
        std::string model;
        std::string promptStart;
        bool stream = false;
    };

    std::string textOf(const json::value& value)
    {
        return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
    }

    result<completion_head> parseCompletion(const std::string& body, bool isChat)
    {
        boost::system::error_code error;
        const json::value parsed = json::parse(body, error);
        if (error)
            return notRun(failure_reason::invalid_request, "the body is not valid JSON: " + error.message());
        if (!parsed.is_object())
            return notRun(failure_reason::invalid_request, "the body is not a JSON object");
        const json::object& object = parsed.get_object();
        const json::value* model = object.if_contains("model");
        if (!model || !model->is_string())
            return notRun(failure_reason::invalid_request, "'model' is missing or not a string");
        const char* const promptName = isChat ? "messages" : "prompt";
        const json::value* prompt = object.if_contains(promptName);
        if (!prompt)
            return notRun(failure_reason::invalid_request, std::string("'") + promptName + "' is missing");
        const json::value* stream = object.if_contains("stream");
        return completion_head { std::string(model->get_string()), textOf(*prompt).substr(0, prefixCharacters), stream && stream->is_bool() && stream->get_bool() };
    }

    result<void> resolveService(const http_request& request, const std::string& path, caller_request& made)
    {
        const bool isChat = path == "/v1/chat/completions";
        if (!isChat && path != "/v1/completions") {
            made.service = made.fleet->serviceOfPath(path);
            if (!made.service)
                return notRun(failure_reason::not_found, "no service under this path");
            return boost::outcome_v2::success();
        }
        if (request.method() != http::verb::post)
            return notRun(failure_reason::invalid_request, "completions are requested by POST");
        const auto head = parseCompletion(request.body(), isChat);
        if (!head)
            return head.error();
        made.service = made.fleet->model(head.value().model);
        if (!made.service)
            return notRun(failure_reason::not_found, "no model named '" + head.value().model + "'");
        made.prefix = hash64(made.workspace->name + '\n' + head.value().model + '\n' + head.value().promptStart);
        made.parts.push_back(fingerprintOfPart(made.service->name, head.value().promptStart));
        made.resumable = head.value().stream;
        return boost::outcome_v2::success();
    }

    bool mayUse(const workspace_declaration& workspace, const std::string& service)
    {
        return std::find(workspace.uses.begin(), workspace.uses.end(), service) != workspace.uses.end();
    }

} // namespace

result<caller_request> caller_request::make(const http_request& request, std::shared_ptr<const fleet_snapshot> fleet, instant receivedAt, std::string correlation)
{
    caller_request made;
    made.fleet = std::move(fleet);
    made.workspace = made.fleet->workspaceOfKey(bearerKey(request));
    if (!made.workspace)
        return notRun(failure_reason::unauthenticated, "the bearer key is missing or unknown");
    const std::string path = pathOf({ request.target().data(), request.target().size() });
    const auto resolved = resolveService(request, path, made);
    if (!resolved)
        return resolved.error();
    if (!mayUse(*made.workspace, made.service->name))
        return notRun(failure_reason::forbidden, "this workspace may not use '" + made.service->name + "'");

    made.fingerprint = fingerprintOf(request.method_string(), request.target(), made.workspace->name, request.body());
    const std::string given = headerText(request, header::requestId);
    made.correlation = given.empty() ? std::move(correlation) : given.substr(0, maxKeyBytes);
    const std::int64_t defaultTimeout = made.fleet->declared().rules().defaultTimeout.count();
    const std::int64_t timeout = headerNumber(request, header::timeoutMs, defaultTimeout);
    if (timeout < 1 || timeout > maxTimeoutMs)
        return notRun(failure_reason::invalid_request, std::string(header::timeoutMs) + " is out of range");
    made.deadline = receivedAt + milliseconds(timeout);
    // A caller may give up its priority, never raise it.
    made.priority = std::max(made.workspace->priority, static_cast<int>(std::clamp<std::int64_t>(headerNumber(request, header::priority, 0), 0, 9)));
    made.session = headerText(request, header::session);
    if (!made.session.empty())
        made.prefix = hash64(made.workspace->name + '\n' + made.service->name + '\n' + made.session);

    const std::string mark = headerText(request, header::notRepeatable);
    const std::string key = headerText(request, header::idempotencyKey);
    if (key.size() > maxKeyBytes)
        return notRun(failure_reason::invalid_request, std::string(header::idempotencyKey) + " is longer than 256 bytes");
    const bool marked = !mark.empty() && mark != "0" && mark != "no";
    if (marked || !key.empty() || (made.service->notRepeatable && request.method() != http::verb::get)) {
        const std::string onceKey = key.empty() ? "rampgap-" + made.correlation : key;
        made.onceId = request_id { made.workspace->name, made.service->name, onceKey };
        made.resumable = false;
    }
    return made;
}

} // namespace rampgap
