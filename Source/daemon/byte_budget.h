// Bounds what many holders keep in memory together, whatever each of them is sent.
#pragma once

#include <cstddef>
#include <memory>

namespace rampgap {

// A number of bytes that several holders share.
class byte_budget {
public:
    explicit byte_budget(std::size_t limit)
        : m_limit(limit)
    {
    }

    std::size_t used() const { return m_used; }
    std::size_t limit() const { return m_limit; }

private:
    friend class held_bytes;

    std::size_t m_limit;
    std::size_t m_used = 0;
};

// What one holder keeps; it is given back at the end of this object. The first `unshared` bytes do not count, so that holders of
// little are served whatever the others keep.
class held_bytes {
public:
    // Without a budget, any number of bytes may be held.
    held_bytes(std::shared_ptr<byte_budget> budget, std::size_t unshared);
    ~held_bytes();
    held_bytes(const held_bytes&) = delete;
    held_bytes& operator=(const held_bytes&) = delete;

    // Changes what is held; false, and no change, if the budget does not suffice.
    bool resize(std::size_t bytes);

private:
    std::shared_ptr<byte_budget> m_budget;
    std::size_t m_unshared;
    // Taken from the budget.
    std::size_t m_shared = 0;
};

} // namespace rampgap
