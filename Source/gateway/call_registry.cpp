#include "gateway/call_registry.h"

namespace rampgap {

call_registry::registration::registration(call_registry& registry, const std::string& backendId, http_call& call, std::optional<request_fingerprint> request)
    : m_registry(registry)
    , m_entry(registry.m_calls.insert({ backendId, { &call, request } }))
{
}

call_registry::registration::~registration()
{
    m_registry.m_calls.erase(m_entry);
}

std::size_t call_registry::end(const std::string& backendId)
{
    const auto [first, last] = m_calls.equal_range(backendId);
    for (auto each = first; each != last; ++each) {
        each->second.ended = true;
        each->second.call->cancel();
    }
    return static_cast<std::size_t>(std::distance(first, last));
}

std::size_t call_registry::takeBack(request_fingerprint request)
{
    std::size_t taken = 0;
    for (auto& [backendId, held] : m_calls) {
        if (held.request != request || held.takenBack)
            continue;
        held.takenBack = true;
        held.call->cancel();
        ++taken;
    }
    return taken;
}

} // namespace rampgap
