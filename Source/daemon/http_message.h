// HTTP types and helpers shared by servers and clients.
#pragma once

#include "policy/common/verdict.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace rampgap {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
template <class T>
using awaitable = boost::asio::awaitable<T>;

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;
using http_head = http::response_header<>;

// The text of a header, empty if it is absent.
std::string headerText(const http::fields&, std::string_view name);
// A whole number from a header, or `fallback`.
std::int64_t headerNumber(const http::fields&, std::string_view name, std::int64_t fallback);

// Rounds up, and limits the result to 30 days.
milliseconds toMilliseconds(double seconds);
// A non-negative decimal number from a header; empty if it is absent or malformed.
std::optional<double> headerAmount(const http::fields&, std::string_view name);

// A request with the method and target of another one, also where the method has no name in the HTTP library.
http_request makeRequestLike(const http_request&);

http_response makeResponse(int status, std::string contentType, std::string body);
// The answer for a failure, with its verdict, reason and `Retry-After`.
http_response makeFailure(const failure&);
// The failure in the headers of a peer process's answer, if any.
std::optional<failure> failureFromHeaders(const http_head&);
// The event that ends a stream which failed after it had begun.
std::string streamErrorEvent(const failure&);

// The value of `name` in the query of a request target, empty if absent.
std::string queryValue(std::string_view target, std::string_view name);
// A whole number in the query: `fallback` if absent, 0 if malformed.
std::uint64_t queryNumber(std::string_view target, std::string_view name, std::uint64_t fallback);
// The path of a request target, without its query.
std::string pathOf(std::string_view target);
// The host of "host:port".
std::string hostOf(const std::string& address);
// Parses "host:port", where the host is an IP address. Declared addresses were already validated.
result<tcp::endpoint> parseEndpoint(const std::string& address);

} // namespace rampgap
