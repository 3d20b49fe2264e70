// One run of a scenario: callers, entry VMs, groups and faults in virtual time.
#pragma once

#include "model/entry_model.h"
#include "model/outcome.h"

#include <memory>

namespace rampgap::model {

// The same scenario, ways and seed give the same outcome.
outcome runFleet(const scenario&, const ways&, std::uint64_t seed);

} // namespace rampgap::model
