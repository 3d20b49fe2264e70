// Costs of a model engine, as users publish them, for tests of what is decided by them.
#pragma once

#include "policy/configuration/fleet_configuration.h"

namespace rampgap::test {

// A rank of 24 with 10 slots.
engine_costs usualCosts();

} // namespace rampgap::test
