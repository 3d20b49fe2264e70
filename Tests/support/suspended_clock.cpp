// Preloaded into a program of ours, lets its VM be suspended: the steady clock stands still for the
// nanoseconds that the file named by SUSPENDED_TIME_FILE holds; the other clocks go on.
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;

std::int64_t suspendedNanoseconds()
{
    static const char* const path = std::getenv("SUSPENDED_TIME_FILE");
    static const int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    std::int64_t nanoseconds = 0;
    return file >= 0 && pread(file, &nanoseconds, sizeof(nanoseconds), 0) == sizeof(nanoseconds) ? nanoseconds : 0;
}

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    const int outcome = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
    if (outcome == 0 && clock == CLOCK_MONOTONIC) {
        const std::int64_t nanoseconds = time->tv_sec * nanosecondsPerSecond + time->tv_nsec - suspendedNanoseconds();
        time->tv_sec = nanoseconds / nanosecondsPerSecond;
        time->tv_nsec = nanoseconds % nanosecondsPerSecond;
    }
    return outcome;
}
