// An entry VM's estimate of which engine still caches which prompt prefix.
#pragma once

#include "policy/routing/backend_table.h"

#include <array>
#include <vector>

namespace rampgap {

// A table of fixed size. Cache events arrive late and incompletely, so its entries are estimates that decay.
class prefix_table {
public:
    static constexpr std::size_t ways = 2;

    struct estimate {
        backend_id backend = noBackend;
        // 0 to 1, falling with the time since the prefix was last sent there.
        double confidence = 0;
    };

    prefix_table();

    void record(std::uint64_t prefix, backend_id, instant now);
    // The engine reported that it dropped the prefix.
    void forget(std::uint64_t prefix, backend_id);
    std::array<estimate, ways> find(std::uint64_t prefix, instant now) const;

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
