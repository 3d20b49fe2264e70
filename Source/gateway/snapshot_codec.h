// The state of the fleet as it travels from one process to another, compressed.
#pragma once

#include <optional>
#include <string>

namespace rampgap {

namespace gateway {
    class fleet_snapshot;
}

// A configuration is text that repeats itself: 130 KB of it travel as a tenth.
std::string packSnapshot(const gateway::fleet_snapshot&);
// Empty if the bytes are not a packed snapshot, or would unpack to more than `largest` bytes.
std::optional<gateway::fleet_snapshot> unpackSnapshot(const std::string& packed, std::size_t largest);

} // namespace rampgap
