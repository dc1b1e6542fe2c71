#include <LibLog/Log.h>

#include <LibLog/LineAppender.h>
#include <algorithm>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace Log {

namespace {

struct Writer {
    log4cplus::Initializer initializer;
    log4cplus::Logger logger = log4cplus::Logger::getInstance("currantbay");
    std::string host;
};

std::unique_ptr<Writer> &writer()
{
    static std::unique_ptr<Writer> instance;
    return instance;
}

log4cplus::LogLevel levelOf(Severity severity)
{
    switch (severity) {
    case Severity::Information:
        return log4cplus::INFO_LOG_LEVEL;
    case Severity::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case Severity::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

}

void start(const LogOptions &options)
{
    auto newWriter = std::make_unique<Writer>();
    newWriter->host = options.host;
    const bool isStandardOutput = options.destination == Destination::StandardOutput;
    log4cplus::SharedAppenderPtr appender(
        isStandardOutput ? static_cast<log4cplus::Appender *>(new LineAppender({.descriptor = STDOUT_FILENO}))
                         : new log4cplus::ConsoleAppender(true, true));
    // log4cplus supplies the time and the level; the message consists of the other JSON members.
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>("{\"time\":\"%D{%Y-%m-%dT%H:%M:%S.%q}Z\",\"level\":\"%p\",%m}%n"));
    newWriter->logger.removeAllAppenders();
    newWriter->logger.addAppender(appender);
    newWriter->logger.setLogLevel(levelOf(options.minSeverity));
    writer() = std::move(newWriter);
}

void write(Event event, std::initializer_list<Field> fields)
{
    if (writer() == nullptr) {
        return;
    }
    const auto *description
        = std::find_if(EventCatalogue.begin(), EventCatalogue.end(), [event](const auto &candidate) {
              return candidate.event == event;
          });
    auto json = nlohmann::ordered_json {
        {"event", static_cast<int>(event)}, {"name", std::string(description->name)}, {"host", writer()->host}};
    for (const auto &[name, value] : fields) {
        json[std::string(name)] = value;
    }
    auto text = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    text = text.substr(1, text.size() - 2);
    writer()->logger.log(levelOf(description->severity), text);
}

}
