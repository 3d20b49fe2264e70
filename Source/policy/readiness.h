// Whether callers are best sent to this entry VM.
#pragma once

#include "policy/verdict.h"

#include <optional>

namespace rampgap {

struct readiness_question {
    bool leaving = false;
    bool configured = false;
    // Since the newest proof that nothing newer is published; empty if there is none.
    std::optional<milliseconds> proofAge;
    // Since anything was heard of any entry VM of another zone; empty if none is known.
    std::optional<milliseconds> sinceOtherZones;

    bool operator==(const readiness_question&) const = default;
};

// Load pattern: a zone is cut off, with the entry VMs in it, and callers still reach them. Soon
// they must refuse every request with a key; the balancer, which asks once a second and takes
// a VM out after two misses, has to know two seconds before. Where only the store is away all
// VMs are alike, and none is better.
bool isReady(const readiness_question&);

} // namespace rampgap
