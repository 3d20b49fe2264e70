// Types for points in time and durations, as all decisions use them.
#pragma once

#include <chrono>

namespace rampgap {

// Time since the VM booted. Unlike the steady clock it goes on while the VM is suspended: a lease,
// a deadline or the age of a reading must not stop in the meantime.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    // Only for processes; a decision gets the current time as a parameter.
    static time_point now() noexcept;
};

using instant = boot_clock::time_point;
using duration = boot_clock::duration;
using milliseconds = std::chrono::milliseconds;

} // namespace rampgap
