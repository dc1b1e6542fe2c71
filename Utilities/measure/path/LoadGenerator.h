#pragma once

#include <LibNet/HttpClient.h>
#include <functional>
#include <string>
#include <vector>

namespace Measure {

// Latencies of one kind of call, from sending to the end of the answer.
struct Latencies {
    std::vector<Core::Duration> values;
    std::size_t failures = 0;

    // The value below which the given share lies. Zero without values.
    [[nodiscard]] std::chrono::microseconds quantile(double share) const;
};

// Sends bounded numbers of HTTP requests from one event loop.
class LoadGenerator
{
public:
    using RequestFunction = std::function<Net::HttpRequest()>;

    LoadGenerator();

    // Keeps so many requests under way until the count has ended; returns what each took and how long all took.
    [[nodiscard]] std::pair<Latencies, Core::Duration> runClosedLoop(const RequestFunction &make,
                                                                     std::size_t concurrency, std::size_t count);
    // Sends the two kinds in turn at even intervals, whether or not earlier ones have ended.
    [[nodiscard]] std::pair<Latencies, Latencies> runSideBySide(const RequestFunction &first,
                                                                const RequestFunction &second, double perSecond,
                                                                std::size_t countOfEach);

private:
    void send(const RequestFunction &make, Latencies &latencies, const std::function<void()> &ended);

    Net::EventLoop m_loop;
    Net::HttpClient m_client;
};

}
