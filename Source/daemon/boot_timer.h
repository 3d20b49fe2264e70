// Timers and timeouts on the clock that keeps running while the VM is suspended.
#pragma once

#include "policy/common/instant.h"

#include <algorithm>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace rampgap {

using boot_timer = boost::asio::basic_waitable_timer<boot_clock>;

// Much longer timeouts would overflow the stream's clock.
inline constexpr std::chrono::hours longestStreamWait { 24 };

// The stream's own timer stops while the VM is suspended, so an operation on the stream then times
// out later than `deadline`, by the length of the suspension.
inline void expireStreamAt(boost::beast::tcp_stream& stream, instant deadline)
{
    stream.expires_after(std::clamp<duration>(deadline - boot_clock::now(), duration(0), longestStreamWait));
}

} // namespace rampgap
