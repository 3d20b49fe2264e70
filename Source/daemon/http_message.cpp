#include "daemon/http_message.h"

#include "daemon/header_names.h"
#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>

namespace rampgap {

namespace {

    std::string errorBody(const failure& failed)
    {
        const boost::json::object error {
            { "message", failed.message },
            { "type", httpStatus(failed.reason) >= 500 ? "server_error" : "invalid_request_error" },
            { "code", std::string(toString(failed.reason)) },
            { "verdict", std::string(toString(failed.ran)) },
        };
        return boost::json::serialize(boost::json::object { { "error", error } });
    }

    constexpr std::int64_t millisecondsPerSecond = 1'000;

} // namespace

std::string headerText(const http::fields& fields, std::string_view name)
{
    const auto value = fields[boost::beast::string_view(name.data(), name.size())];
    return { value.data(), value.size() };
}

std::int64_t headerNumber(const http::fields& fields, std::string_view name, std::int64_t fallback)
{
    const std::string text = headerText(fields, name);
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? value : fallback;
}

milliseconds toMilliseconds(double seconds)
{
    constexpr double maxSeconds = 30.0 * 24 * 3'600;
    return milliseconds(static_cast<std::int64_t>(std::ceil(std::min(seconds, maxSeconds) * millisecondsPerSecond)));
}

std::optional<double> headerAmount(const http::fields& fields, std::string_view name)
{
    const std::string text = headerText(fields, name);
    double amount = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), amount);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(amount) || amount < 0)
        return std::nullopt;
    return amount;
}

http_request makeRequestLike(const http_request& original)
{
    http_request made;
    made.version(11);
    made.method_string(original.method_string());
    made.target(original.target());
    return made;
}

http_response makeResponse(int status, std::string contentType, std::string body)
{
    http_response response { static_cast<http::status>(status), 11 };
    response.set(http::field::content_type, contentType);
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

http_response makeFailure(const failure& failed)
{
    http_response response = makeResponse(httpStatus(failed.reason), "application/json", errorBody(failed));
    response.set(header::verdict, toString(failed.ran));
    response.set(header::reason, toString(failed.reason));
    if (failed.retryAfter) {
        const auto seconds = (failed.retryAfter->count() + millisecondsPerSecond - 1) / millisecondsPerSecond;
        response.set(header::retryAfter, std::to_string(seconds));
        response.set(header::retryAfterMs, std::to_string(failed.retryAfter->count()));
    }
    return response;
}

std::optional<failure> failureFromHeaders(const http_head& head)
{
    const auto ran = parseVerdict(headerText(head, header::verdict));
    const auto reason = parseFailureReason(headerText(head, header::reason));
    if (!ran || !reason)
        return std::nullopt;
    failure stated { *ran, *reason, std::string(toString(*reason)), std::nullopt };
    const auto retryAfter = headerNumber(head, header::retryAfterMs, -1);
    if (retryAfter >= 0)
        stated.retryAfter = milliseconds(retryAfter);
    return stated;
}

std::string streamErrorEvent(const failure& failed)
{
    return "event: error\ndata: " + errorBody(failed) + "\n\n";
}

std::string queryValue(std::string_view target, std::string_view name)
{
    auto at = target.find('?');
    while (at != std::string_view::npos) {
        target.remove_prefix(at + 1);
        const auto end = target.find('&');
        const std::string_view part = target.substr(0, end);
        const auto equals = part.find('=');
        if (part.substr(0, equals) == name && equals != std::string_view::npos)
            return std::string(part.substr(equals + 1));
        at = end;
    }
    return {};
}

std::uint64_t queryNumber(std::string_view target, std::string_view name, std::uint64_t fallback)
{
    const std::string text = queryValue(target, name);
    return text.empty() ? fallback : std::strtoull(text.c_str(), nullptr, 10);
}

std::string pathOf(std::string_view target)
{
    return std::string(target.substr(0, target.find('?')));
}

std::string hostOf(const std::string& address)
{
    return address.substr(0, address.rfind(':'));
}

result<tcp::endpoint> parseEndpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    boost::system::error_code error;
    const auto host = boost::asio::ip::make_address(address.substr(0, colon), error);
    unsigned short port = 0;
    const char* const end = address.data() + address.size();
    if (colon == std::string::npos)
        return notRun(failure_reason::connection_lost, "'" + address + "' has no port");
    const auto [last, portError] = std::from_chars(address.data() + colon + 1, end, port);
    if (error || portError != std::errc {} || last != end)
        return notRun(failure_reason::connection_lost, "'" + address + "' is not an IP number and port");
    return tcp::endpoint(host, port);
}

} // namespace rampgap
