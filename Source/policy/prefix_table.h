// An entry VM's estimate of which engine still caches which prompt prefix.
#pragma once

#include "policy/backend_table.h"

#include <array>
#include <vector>

namespace rampgap {

// A fixed table: cache events come late and with gaps, so this is an estimate that decays.
class prefix_table {
public:
    static constexpr std::size_t ways = 2;

    struct guess {
        backend_id backend = noBackend;
        // 0 to 1, falling with the time since the prefix was last sent there.
        double confidence = 0;
    };

    prefix_table();

    void note(std::uint64_t prefix, backend_id, instant now);
    // The engine reported that it dropped the prefix.
    void forget(std::uint64_t prefix, backend_id);
    std::array<guess, ways> find(std::uint64_t prefix, instant now) const;

private:
    struct entry {
        std::uint64_t prefix = 0;
        std::array<backend_id, ways> backends { noBackend, noBackend };
        std::array<instant, ways> seen {};
    };

    entry& slot(std::uint64_t prefix);
    const entry& slot(std::uint64_t prefix) const;

    std::vector<entry> m_entries;
};

} // namespace rampgap
