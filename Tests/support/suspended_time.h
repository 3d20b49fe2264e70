// Stands in for a VM that is suspended: the steady clock does not count the time, the clock since
// the boot and the time of day do.
#pragma once

#include <chrono>

namespace rampgap::test {

// Lets that much time pass while this process, as far as its steady clock shows, did not run.
void suspendVm(std::chrono::milliseconds);

} // namespace rampgap::test
