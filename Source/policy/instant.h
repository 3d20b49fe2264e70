// Moments and spans of time, as all decisions take them.
#pragma once

#include <chrono>

namespace rampgap {

// Time since the VM's start. Unlike the steady clock it goes on while the VM is suspended: a
// lease, a deadline or the age of a reading must not stand still meanwhile.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    // For processes; a decision is handed the moment that it is made at.
    static time_point now() noexcept;
};

using instant = boot_clock::time_point;
using duration = boot_clock::duration;
using milliseconds = std::chrono::milliseconds;

} // namespace rampgap
