#include "gateway/admitted_request.h"

namespace rampgap {

namespace {

    // A caller with less than this of its route's time has been here before: who is refused
    // comes back after a pause, and with the same deadline.
    constexpr int firstTimeTenths = 9;

} // namespace

bool admitted_request::isFirstTime() const
{
    return timeLeft(receivedAt) >= route.timeout * firstTimeTenths / 10;
}

} // namespace rampgap
