#include <measure/path/LoadGenerator.h>

#include <LibCore/HttpStatus.h>
#include <algorithm>

namespace Measure {

std::chrono::microseconds Latencies::quantile(double share) const
{
    if (values.empty()) {
        return {};
    }
    auto sorted = values;
    std::sort(sorted.begin(), sorted.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return std::chrono::duration_cast<std::chrono::microseconds>(sorted[index]);
}

LoadGenerator::LoadGenerator()
    : m_client(m_loop)
{
}

std::pair<Latencies, Core::Duration> LoadGenerator::runClosedLoop(const RequestFunction &make, std::size_t concurrency,
                                                                  std::size_t count)
{
    Latencies latencies;
    std::size_t started = 0;
    std::size_t ended = 0;
    std::function<void()> sendNext = [&] {
        if (started < count) {
            ++started;
            send(make, latencies, [&] {
                if (++ended == count) {
                    m_loop.stop();
                }
                sendNext();
            });
        }
    };
    const auto begin = m_loop.now();
    for (std::size_t i = 0; i < concurrency; ++i) {
        sendNext();
    }
    m_loop.run();
    return {std::move(latencies), m_loop.now() - begin};
}

std::pair<Latencies, Latencies> LoadGenerator::runSideBySide(const RequestFunction &first,
                                                             const RequestFunction &second, double perSecond,
                                                             std::size_t countOfEach)
{
    Latencies firstLatencies;
    Latencies secondLatencies;
    std::size_t ended = 0;
    const auto whenEnded = [&] {
        if (++ended == 2 * countOfEach) {
            m_loop.stop();
        }
    };
    const auto interval = std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(1 / perSecond));
    for (std::size_t i = 0; i < countOfEach; ++i) {
        const auto due = interval * static_cast<long>(i);
        m_loop.runAfter(due, [&] {
            send(first, firstLatencies, whenEnded);
        });
        m_loop.runAfter(due + interval / 2, [&] {
            send(second, secondLatencies, whenEnded);
        });
    }
    m_loop.run();
    return {std::move(firstLatencies), std::move(secondLatencies)};
}

void LoadGenerator::send(const RequestFunction &make, Latencies &latencies, const std::function<void()> &ended)
{
    m_client.start(make(), [this, &latencies, ended, begin = m_loop.now()](const Net::HttpResult &result) {
        if (result.isComplete() && result.status == Core::HttpStatus::Ok) {
            latencies.values.push_back(m_loop.now() - begin);
        } else {
            ++latencies.failures;
        }
        ended();
    });
}

}
