#include "support/suspended_time.h"

#include <atomic>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

std::atomic<long> suspendedNanoseconds = 0;
constexpr long nanosecondsPerSecond = 1'000'000'000;

bool countsSuspension(clockid_t clock)
{
    return clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME;
}

} // namespace

// In this program it goes before the C library's own.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    const int outcome = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
    if (outcome == 0 && countsSuspension(clock)) {
        const long nanoseconds = time->tv_nsec + suspendedNanoseconds.load();
        time->tv_sec += nanoseconds / nanosecondsPerSecond;
        time->tv_nsec = nanoseconds % nanosecondsPerSecond;
    }
    return outcome;
}

namespace rampgap::test {

void suspendVm(std::chrono::milliseconds length)
{
    suspendedNanoseconds += std::chrono::nanoseconds(length).count();
}

} // namespace rampgap::test
