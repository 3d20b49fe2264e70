#include "gateway/requests/admitted_request.h"

#include "policy/requests/admission_wait.h"

namespace rampgap {

bool admitted_request::isFirstAttempt() const
{
    return isFirstCall(timeLeft(receivedAt), route.timeout);
}

} // namespace rampgap
