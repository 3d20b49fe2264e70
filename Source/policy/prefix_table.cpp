#include "policy/prefix_table.h"

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

void prefix_table::note(std::uint64_t prefix, backend_id backend, instant now)
{
    entry& place = slot(prefix);
    if (place.prefix != prefix)
        place = { prefix, { noBackend, noBackend }, {} };
    // The older of the two gives way, unless the backend stands there already.
    std::size_t way = place.seen[0] <= place.seen[1] ? 0 : 1;
    for (std::size_t i = 0; i < ways; ++i) {
        if (place.backends[i] == backend)
            way = i;
    }
    place.backends[way] = backend;
    place.seen[way] = now;
}

void prefix_table::forget(std::uint64_t prefix, backend_id backend)
{
    entry& place = slot(prefix);
    if (place.prefix != prefix)
        return;
    for (auto& known : place.backends) {
        if (known == backend)
            known = noBackend;
    }
}

std::array<prefix_table::guess, prefix_table::ways> prefix_table::find(std::uint64_t prefix, instant now) const
{
    std::array<guess, ways> guesses;
    const entry& place = slot(prefix);
    if (prefix == 0 || place.prefix != prefix)
        return guesses;
    for (std::size_t i = 0; i < ways; ++i) {
        if (place.backends[i] == noBackend)
            continue;
        const std::chrono::duration<double> age = now - place.seen[i];
        guesses[i] = { place.backends[i], std::exp2(-age / confidenceHalfLife) };
    }
    return guesses;
}

} // namespace rampgap
