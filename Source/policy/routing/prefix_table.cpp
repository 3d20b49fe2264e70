#include "policy/routing/prefix_table.h"

#include <cmath>

namespace rampgap {

namespace {

    constexpr std::size_t entryCount = 65'536;
    constexpr std::chrono::duration<double> confidenceHalfLife { 120 };

} // namespace

prefix_table::prefix_table()
    : m_entries(entryCount)
{
}

prefix_table::entry& prefix_table::slot(std::uint64_t prefix)
{
    return m_entries[prefix % entryCount];
}

const prefix_table::entry& prefix_table::slot(std::uint64_t prefix) const
{
    return m_entries[prefix % entryCount];
}

void prefix_table::record(std::uint64_t prefix, backend_id backend, instant now)
{
    entry& stored = slot(prefix);
    if (stored.prefix != prefix)
        stored = { prefix, { noBackend, noBackend }, {} };
    // Replaces the older of the two, unless the backend is one of them.
    std::size_t way = stored.seen[0] <= stored.seen[1] ? 0 : 1;
    for (std::size_t i = 0; i < ways; ++i) {
        if (stored.backends[i] == backend)
            way = i;
    }
    stored.backends[way] = backend;
    stored.seen[way] = now;
}

void prefix_table::forget(std::uint64_t prefix, backend_id backend)
{
    entry& stored = slot(prefix);
    if (stored.prefix != prefix)
        return;
    for (auto& known : stored.backends) {
        if (known == backend)
            known = noBackend;
    }
}

std::array<prefix_table::estimate, prefix_table::ways> prefix_table::find(std::uint64_t prefix, instant now) const
{
    std::array<estimate, ways> estimates;
    const entry& stored = slot(prefix);
    if (prefix == 0 || stored.prefix != prefix)
        return estimates;
    for (std::size_t i = 0; i < ways; ++i) {
        if (stored.backends[i] == noBackend)
            continue;
        const std::chrono::duration<double> age = now - stored.seen[i];
        estimates[i] = { stored.backends[i], std::exp2(-age / confidenceHalfLife) };
    }
    return estimates;
}

} // namespace rampgap
