// How many requests one entry VM may have at the engines of an expert group at once.
#pragma once

#include "policy/verdict.h"

#include <cstddef>

namespace rampgap {

struct admission_share_question {
    // Requests that the listed engines run at once and on time.
    int capacity = 0;
    // Requests at the engines as last counted, ours included.
    int load = 0;
    // Those of this entry VM.
    int own = 0;
    // Entry VMs that send to them.
    std::size_t entries = 1;
    // How long the group has been open, as far as this process knows.
    milliseconds openFor { 0 };
};

// Load pattern: more callers than places, or all callers of a closure at one moment. An equal
// part of the capacity, and of what is free besides; together about the capacity. Bounds the
// queues at the engines by arithmetic, without messages.
int admissionShare(const admission_share_question&);

} // namespace rampgap
