// Enforces the rate and concurrency limits of workspaces at one entry VM, without a shared store.
#pragma once

#include "policy/common/verdict.h"
#include "policy/configuration/declaration.h"
#include "policy/limits/token_bucket.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace rampgap {

// Token buckets per workspace. Each entry VM enforces its share of the declared limit.
class rate_limiter {
public:
    // `share` in (0, 1]: this entry VM's part of the fleet's traffic.
    void setShare(double share);

    // Admits one request, or refuses it with the time after which to retry.
    result<void> enter(const workspace_declaration&, instant now);
    // An admitted request ended.
    void leave(const std::string& workspace);

private:
    struct bucket {
        // Empty until the first request of a limited workspace.
        std::optional<token_bucket> tokens;
        int running = 0;
    };

    double m_share = 1;
    std::unordered_map<std::string, bucket> m_buckets;
};

} // namespace rampgap
