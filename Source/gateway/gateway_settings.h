// What a process of the gateway must know to start, in the project's own terms.
#pragma once

#include "policy/shared_retry_budget.h"
#include "policy/verdict.h"

#include <string>
#include <vector>

namespace rampgap {

struct gateway_settings {
    std::string vmName;
    std::string host;
    std::string zone;
    std::vector<std::string> zones;
    // "host:port"; empty where the process does not serve this.
    std::string frontAddress;
    std::string readinessAddress;
    std::string controlAddress;
    std::string storeAddress;
    // Of this machine's link.
    double linkMbps = 1'000;
    unsigned short firstPeerPort = 0;
    std::vector<std::string> seedHosts;
    // Control port of the seeds, which all entry VMs share; 0 if there are no seeds.
    unsigned short seedControlPort = 0;
    // The model engine on the same machine; agents only.
    std::string engineAddress;
    std::string engineService;

    // A key that was taken away must not be served later than this after the change.
    bool strictRevocation = true;
    milliseconds revocationBound { 5'000 };
    // From the order to stop to the kill.
    milliseconds stopGrace { 8'000 };
    retry_bounds retries;

    bool operator==(const gateway_settings&) const = default;
};

} // namespace rampgap
