// Numbers of any width in bits, one after the other, lowest bit first.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace rampgap {

class bit_writer {
public:
    void put(std::size_t number, unsigned width);
    // Fills the last byte with zeros.
    std::string take() { return std::move(m_bytes); }

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

    // 0 once the bytes have ended.
    std::size_t take(unsigned width);
    bool failed() const { return m_failed; }
    // Nothing is left but the zeros that fill the last byte.
    bool atEnd() const;

private:
    std::string_view m_bytes;
    std::size_t m_at = 0;
    bool m_failed = false;
};

} // namespace rampgap
