#pragma once

#include <cstdint>
#include <log4cplus/appender.h>

namespace Log {

struct LineAppenderOptions {
    int descriptor = 1;
    // Further lines in the same second are dropped. A host that serves 60 requests per second writes about 150 lines
    // per second.
    std::uint64_t maxLinesPerSecond = 600;
};

// Writes lines to a file descriptor without blocking. A line is dropped and counted when the descriptor isn't writable
// or the limit per second is reached. The next line that is written gives the number of dropped lines.
class LineAppender final : public log4cplus::Appender
{
public:
    explicit LineAppender(LineAppenderOptions options);
    ~LineAppender() override;

    void close() override;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    [[nodiscard]] bool isWritable() const;

    LineAppenderOptions m_options;
    long long m_second = 0;
    std::uint64_t m_linesInSecond = 0;
    std::uint64_t m_droppedLines = 0; // Since the last line that was written.
};

}
