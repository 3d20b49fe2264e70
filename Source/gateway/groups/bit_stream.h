// Packs numbers of any width in bits one after the other, lowest bit first.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace rampgap {

class bit_writer {
public:
    void write(std::size_t number, unsigned width);
    // Returns the bytes; the unused bits of the last one are zero.
    std::string finish() { return std::move(m_bytes); }

private:
    std::string m_bytes;
    unsigned m_used = 0;
};

class bit_reader {
public:
    explicit bit_reader(std::string_view bytes)
        : m_bytes(bytes)
    {
    }

    // Returns 0 and sets the failed state if fewer than `width` bits are left.
    std::size_t read(unsigned width);
    bool failed() const { return m_failed; }
    // Nothing is left but the zero padding of the last byte.
    bool atEnd() const;

private:
    std::string_view m_bytes;
    std::size_t m_at = 0;
    bool m_failed = false;
};

} // namespace rampgap
