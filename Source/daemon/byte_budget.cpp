#include "daemon/byte_budget.h"

#include <algorithm>

namespace rampgap {

held_bytes::held_bytes(std::shared_ptr<byte_budget> budget, std::size_t unshared)
    : m_budget(std::move(budget))
    , m_unshared(unshared)
{
}

held_bytes::~held_bytes()
{
    resize(0);
}

bool held_bytes::resize(std::size_t bytes)
{
    if (!m_budget)
        return true;
    const std::size_t shared = bytes - std::min(bytes, m_unshared);
    const std::size_t others = m_budget->m_used - m_shared;
    if (shared > m_shared && others + shared > m_budget->m_limit)
        return false;
    m_budget->m_used = others + shared;
    m_shared = shared;
    return true;
}

} // namespace rampgap
