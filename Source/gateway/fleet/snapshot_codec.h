// Compresses the fleet's state for transfer between processes.
#pragma once

#include <optional>
#include <string>

namespace rampgap {

namespace gateway {
    class fleet_snapshot;
}

// Configurations are repetitive text: 130 KB compress to a tenth.
std::string packSnapshot(const gateway::fleet_snapshot&);
// Empty if the bytes are not a packed snapshot, or decompress to more than `largest` bytes.
std::optional<gateway::fleet_snapshot> unpackSnapshot(const std::string& packed, std::size_t largest);

} // namespace rampgap
