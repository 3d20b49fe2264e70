#include "gateway/requests/call_registry.h"

#include <algorithm>

namespace rampgap {

call_registry::registration::registration(call_registry& registry, const std::string& backendId, http_call& call, std::vector<request_fingerprint> suspects)
    : m_registry(registry)
    , m_entry(registry.m_calls.insert({ backendId, { &call, std::move(suspects) } }))
{
}

call_registry::registration::~registration()
{
    m_registry.m_calls.erase(m_entry);
}

std::size_t call_registry::cancelAll(const std::string& backendId)
{
    const auto [first, last] = m_calls.equal_range(backendId);
    for (auto each = first; each != last; ++each) {
        each->second.cancelled = true;
        each->second.call->cancel();
    }
    return static_cast<std::size_t>(std::distance(first, last));
}

std::size_t call_registry::withdraw(request_fingerprint request)
{
    std::size_t count = 0;
    for (auto& [backendId, registered] : m_calls) {
        const auto& suspects = registered.suspects;
        if (registered.withdrawn || std::find(suspects.begin(), suspects.end(), request) == suspects.end())
            continue;
        registered.withdrawn = true;
        registered.call->cancel();
        ++count;
    }
    return count;
}

} // namespace rampgap
