#include "daemon/decision_log.h"

#include <poll.h>
#include <unistd.h>

namespace rampgap {

namespace {

    // A VM of the planned size serves about 26 requests per second and logs up to four lines for each.
    constexpr int requestLinesPerSecond = 150;
    // Bounds the memory in use when the reader of the pipe does not read.
    constexpr std::size_t maxBufferBytes = 262'144;
    // A writable pipe accepts this many bytes without blocking (POSIX PIPE_BUF on Linux).
    constexpr std::size_t atomicPipeWrite = 4'096;

    std::int64_t wallMilliseconds()
    {
        return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    bool needsQuotes(std::string_view value)
    {
        return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
    }

    void appendQuoted(std::string& text, std::string_view value)
    {
        text += '"';
        for (const char c : value) {
            if (c == '"' || c == '\\')
                text += '\\';
            text += (c == '\n' || c == '\r') ? ' ' : c;
        }
        text += '"';
    }

} // namespace

log_line::log_line(decision_log& log, std::string_view event, bool admitted)
    : m_log(log)
    , m_admitted(admitted)
{
    if (m_admitted) {
        m_text = "event=";
        m_text += event;
    }
}

log_line::~log_line()
{
    if (m_admitted)
        m_log.append(std::move(m_text));
}

log_line& log_line::add(std::string_view key, std::string_view value)
{
    if (!m_admitted)
        return *this;
    m_text += ' ';
    m_text += key;
    m_text += '=';
    if (needsQuotes(value))
        appendQuoted(m_text, value);
    else
        m_text += value;
    return *this;
}

log_line& log_line::add(std::string_view key, duration value)
{
    return add(key, std::chrono::duration_cast<milliseconds>(value).count());
}

decision_log::decision_log(std::string process, int descriptor)
    : m_process(std::move(process))
    , m_descriptor(descriptor)
{
}

log_line decision_log::line(std::string_view event)
{
    return log_line(*this, event, true);
}

log_line decision_log::requestLine(std::string_view event)
{
    return log_line(*this, event, admitRequestLine());
}

bool decision_log::admitRequestLine()
{
    const auto now = boot_clock::now();
    if (now - m_secondBegan >= std::chrono::seconds(1)) {
        m_secondBegan = now;
        m_linesInSecond = 0;
    }
    if (m_linesInSecond++ < requestLinesPerSecond)
        return true;
    ++m_dropped;
    ++m_droppedTotal;
    return false;
}

void decision_log::append(std::string text)
{
    if (m_buffer.size() + text.size() > maxBufferBytes) {
        ++m_dropped;
        ++m_droppedTotal;
        return;
    }
    m_buffer += "time_ms=" + std::to_string(wallMilliseconds()) + " process=" + m_process + " n=" + std::to_string(++m_sequence) + ' ';
    m_buffer += text;
    m_buffer += '\n';
}

void decision_log::flush()
{
    if (m_dropped > 0 && m_buffer.size() < maxBufferBytes)
        line("log_lines_dropped").add("count", std::exchange(m_dropped, 0));
    std::size_t written = 0;
    while (written < m_buffer.size()) {
        pollfd ready { m_descriptor, POLLOUT, 0 };
        if (::poll(&ready, 1, 0) != 1 || !(ready.revents & POLLOUT))
            break;
        const auto count = ::write(m_descriptor, m_buffer.data() + written, std::min(atomicPipeWrite, m_buffer.size() - written));
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    m_buffer.erase(0, written);
}

} // namespace rampgap
