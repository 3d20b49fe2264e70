#include "policy/common/instant.h"

#include <ctime>

namespace rampgap {

boot_clock::time_point boot_clock::now() noexcept
{
    timespec read {};
    clock_gettime(CLOCK_BOOTTIME, &read);
    return time_point(std::chrono::seconds(read.tv_sec) + std::chrono::nanoseconds(read.tv_nsec));
}

} // namespace rampgap
