// Settings of a gateway process, independent of the platform.
#pragma once

#include "policy/common/verdict.h"
#include "policy/requests/shared_retry_budget.h"

#include <string>
#include <vector>

namespace rampgap {

struct gateway_settings {
    std::string vmName;
    std::string host;
    std::string zone;
    std::vector<std::string> zones;
    // "host:port"; empty if the process does not have this interface.
    std::string frontAddress;
    std::string readinessAddress;
    std::string controlAddress;
    std::string storeAddress;
    // Bandwidth of this machine's link.
    double linkMbps = 1'000;
    // Memory beyond which the platform ends this process.
    double memoryMb = 256;
    unsigned short firstPeerPort = 0;
    std::vector<std::string> seedHosts;
    // Control port, the same on all entry VMs; 0 if there are no seeds.
    unsigned short seedControlPort = 0;
    // The model engine on the same machine; agents only.
    std::string engineAddress;
    std::string engineService;

    // A revoked key must not be accepted for longer than this after the change.
    bool strictRevocation = true;
    milliseconds revocationBound { 5'000 };
    // Time between the stop signal and the kill.
    milliseconds stopGrace { 8'000 };
    retry_bounds retries;

    bool operator==(const gateway_settings&) const = default;
};

} // namespace rampgap
