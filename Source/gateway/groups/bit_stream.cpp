#include "gateway/groups/bit_stream.h"

namespace rampgap {

namespace {

    constexpr unsigned bitsPerByte = 8;

} // namespace

void bit_writer::write(std::size_t number, unsigned width)
{
    for (unsigned bit = 0; bit < width; ++bit) {
        if (m_used == 0)
            m_bytes.push_back('\0');
        const auto value = static_cast<unsigned>(number >> bit & 1U);
        m_bytes.back() = static_cast<char>(static_cast<unsigned char>(m_bytes.back()) | value << m_used);
        m_used = (m_used + 1) % bitsPerByte;
    }
}

std::size_t bit_reader::read(unsigned width)
{
    if (m_at + width > m_bytes.size() * bitsPerByte) {
        m_failed = true;
        return 0;
    }
    std::size_t number = 0;
    for (unsigned bit = 0; bit < width; ++bit, ++m_at) {
        const auto byte = static_cast<unsigned char>(m_bytes[m_at / bitsPerByte]);
        number |= static_cast<std::size_t>(byte >> m_at % bitsPerByte & 1U) << bit;
    }
    return number;
}

bool bit_reader::atEnd() const
{
    const std::size_t left = m_bytes.size() * bitsPerByte - m_at;
    if (left >= bitsPerByte)
        return false;
    bit_reader rest = *this;
    return rest.read(static_cast<unsigned>(left)) == 0;
}

} // namespace rampgap
