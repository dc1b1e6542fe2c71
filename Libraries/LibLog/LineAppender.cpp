#include <LibLog/LineAppender.h>

#include <climits>
#include <ctime>
#include <poll.h>
#include <sstream>
#include <unistd.h>

namespace Log {

LineAppender::LineAppender(LineAppenderOptions options)
    : m_options(options)
{
}

LineAppender::~LineAppender()
{
    destructorImpl();
}

void LineAppender::close()
{
    closed = true;
}

bool LineAppender::isWritable() const
{
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking. Lines are truncated to this length.
    pollfd pollEntry {.fd = m_options.descriptor, .events = POLLOUT, .revents = 0};
    return poll(&pollEntry, 1, 0) == 1 && (pollEntry.revents & POLLOUT) != 0;
}

void LineAppender::append(const log4cplus::spi::InternalLoggingEvent &event)
{
    const auto second = static_cast<long long>(std::time(nullptr));
    if (second != m_second) {
        m_second = second;
        m_linesInSecond = 0;
    }
    if (++m_linesInSecond > m_options.maxLinesPerSecond || !isWritable()) {
        ++m_droppedLines;
        return;
    }
    std::ostringstream text;
    layout->formatAndAppend(text, event);
    auto line = text.str();
    if (m_droppedLines > 0 && line.size() > 2) {
        line.insert(line.size() - 2, ",\"leftOut\":\"" + std::to_string(m_droppedLines) + '"');
    }
    if (line.size() > PIPE_BUF) {
        line.resize(PIPE_BUF - 1);
        line += '\n';
    }
    if (write(m_options.descriptor, line.data(), line.size()) < 0) {
        ++m_droppedLines;
        return;
    }
    m_droppedLines = 0;
}

}
