// Waits and time-outs by the clock that goes on while the VM is suspended.
#pragma once

#include "policy/instant.h"

#include <algorithm>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace rampgap {

using boot_timer = boost::asio::basic_waitable_timer<boot_clock>;

// Longer waits than this would overflow the stream's clock.
inline constexpr std::chrono::hours longestStreamWait { 24 };

// The stream's own timer stands still during a suspension: what waits on the stream then ends
// so much later than `deadline`.
inline void expireStreamAt(boost::beast::tcp_stream& stream, instant deadline)
{
    stream.expires_after(std::clamp<duration>(deadline - boot_clock::now(), duration(0), longestStreamWait));
}

} // namespace rampgap
