// How many requests one entry VM may have at the engines of an expert group at once.
#pragma once

#include "policy/verdict.h"

#include <cstddef>

namespace rampgap {

struct admission_share_question {
    // Requests that the listed engines run at once.
    int capacity = 0;
    // Requests at the engines as last counted, ours included.
    int load = 0;
    // Entry VMs that send to them.
    std::size_t entries = 1;
    // How long the group has been open, as far as this process knows.
    milliseconds openFor { 0 };
};

// An equal part of the capacity while the group is loaded or has just opened; the whole of it
// otherwise. Bounds the queues at the engines by arithmetic, without messages.
int admissionShare(const admission_share_question&);

} // namespace rampgap
