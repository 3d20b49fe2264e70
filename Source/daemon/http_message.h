// HTTP types used by servers and clients alike.
#pragma once

#include "policy/verdict.h"

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

// Rounded up, and at the most a month.
milliseconds toMilliseconds(double seconds);
// A decimal number of 0 or more from a header; empty if it is absent or anything else.
std::optional<double> headerAmount(const http::fields&, std::string_view name);

http_response makeResponse(int status, std::string contentType, std::string body);
// The answer for a failure, with its verdict, reason and `Retry-After`.
http_response makeFailure(const failure&);
// The failure that a peer process stated in its answer's headers; empty if it stated none.
std::optional<failure> statedFailure(const http_head&);
// The event that ends a stream which was cut off.
std::string streamErrorEvent(const failure&);

// The value of `name` in the query of a request target, empty if absent.
std::string queryValue(std::string_view target, std::string_view name);
// A whole number in the query, or `fallback`; 0 where it is no number.
std::uint64_t queryNumber(std::string_view target, std::string_view name, std::uint64_t fallback);
// The path of a request target, without its query.
std::string pathOf(std::string_view target);
// The host of "host:port".
std::string hostOf(const std::string& address);
// "host:port" as an endpoint. The text was checked when it was declared.
result<tcp::endpoint> parseEndpoint(const std::string& address);

} // namespace rampgap
