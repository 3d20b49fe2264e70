// How many requests one entry VM may have running at the engines of an expert group.
#pragma once

#include "policy/common/verdict.h"

#include <cstddef>

namespace rampgap {

struct admission_share_input {
    // Requests that the listed engines can run at once and still be on time.
    int capacity = 0;
    // Requests at the engines by the latest counts, those of this entry VM included.
    int load = 0;
    // Requests of this entry VM at the engines.
    int own = 0;
    // Number of entry VMs that send to the engines.
    std::size_t entries = 1;
    // Time since the group opened, as far as this process knows.
    milliseconds openFor { 0 };
    // Request slots of the listed engines; 0 if the accepted gap does not bound the capacity.
    int slots = 0;
    // Of `own` and `load`, requests that are newer than the counts from engines.
    int sentRecently = 0;
    // Uniform in [0, 1), the same each time for an entry VM: rounds a bounded share.
    double draw = 0;
    // By start_budget: counts where there are few slots for each entry VM.
    int starts = 0;
};

// Load pattern: more callers than request slots, or all callers of a closed group arriving at the
// moment at which it opens. Each entry VM gets an equal part of the capacity and may use a part of what is
// free as well, half of it by what it runs already, so that all of them together send about the capacity
// however unevenly callers come. This bounds the queues at the engines without messages between entry VMs.
int admissionShare(const admission_share_input&);

// Of the capacity, what the entry VMs share out.
double sharedCapacity(const admission_share_input&);
// True if there are few slots for each entry VM: then the entry VMs share starts in place of slots.
bool sharesStarts(const admission_share_input&);

} // namespace rampgap
