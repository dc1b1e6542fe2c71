#pragma once

#include <cstdint>
#include <log4cplus/appender.h>

namespace Log {

struct LineAppenderOptions {
    int descriptor = 1;
    // Lines of one second beyond which further ones are left out. A host that serves 60 requests a second writes some
    // 150.
    std::uint64_t linesPerSecond = 600;
};

// Writes lines to a descriptor and never waits: a line that the reader has no room for, or that is beyond the second's
// share, is left out and counted, and the next line that is written says how many were.
class LineAppender final : public log4cplus::Appender
{
public:
    explicit LineAppender(LineAppenderOptions options);
    ~LineAppender() override;

    void close() override;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    [[nodiscard]] bool hasRoom() const;

    LineAppenderOptions m_options;
    long long m_second = 0;
    std::uint64_t m_linesInSecond = 0;
    std::uint64_t m_leftOut = 0; // Since the last line that was written.
};

}
