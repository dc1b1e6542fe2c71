#include <measure/slopes/Sample.h>

#include <cstdint>
#include <cstdio>
#include <initializer_list>

namespace {

struct ZoneSize {
    std::size_t hosts = 0;
    std::size_t engines = 0;
    std::size_t otherZoneHosts = 0;
};

constexpr ZoneSize Sizes[] {{2, 6, 4},  {4, 6, 4},  {8, 6, 4},  {16, 6, 4},
                            {4, 24, 4}, {4, 96, 4}, {4, 6, 16}, {4, 6, 64}};

void printIdle()
{
    std::printf("An idle host, per second (table bytes: keys and values; processor: this machine, fakes included)\n");
    std::printf("%6s %8s %12s %8s %8s %10s %8s %10s %10s\n", "hosts", "engines", "other hosts", "reads", "writes",
                "table B", "msgs", "peer B", "cpu us");
    for (const auto &[hosts, engines, others] : Sizes) {
        const auto sample = Measure::sampleIdle(hosts, engines, others);
        std::printf("%6zu %8zu %12zu %8.2f %8.2f %10.0f %8.2f %10.0f %10.0f\n", hosts, engines, others,
                    sample.tableReads, sample.tableWrites, sample.tableBytes, sample.peerMessages, sample.peerBytes,
                    sample.processorMicroseconds);
    }
}

void printRequests()
{
    constexpr std::size_t Count = 2000;
    std::printf("\nA request for a resident adapter, over all hosts (processor with the fakes' own work)\n");
    std::printf("%8s %8s %10s %10s\n", "tokens", "msgs", "peer B", "cpu us");
    for (const std::uint32_t tokens : {1U, 10U, 100U}) {
        const auto sample = Measure::sampleRequests(Count, tokens);
        std::printf("%8u %8.2f %10.0f %10.1f\n", tokens, sample.peerMessages, sample.peerBytes,
                    sample.processorMicroseconds);
    }
}

void printState()
{
    std::printf("\nState\n%10s %16s %14s %16s\n", "count", "adapters B", "apply us", "target slots B");
    for (const std::size_t count : {100U, 1000U, 11000U}) {
        std::printf("%10zu %16zu %14.1f %16zu\n", count, Measure::sampleTicketStateBytes(count),
                    Measure::sampleTicketApply(count), Measure::sampleSlotBytes(count));
    }
    std::printf("\nOne span: %zu B, %.1f us\n", Measure::sampleSpanBytes(), Measure::sampleSpanTime());
}

}

// Prints how state, messages and processor time of a host grow with hosts, engines, adapters and requests.
int main()
{
    printIdle();
    printRequests();
    printState();
    return 0;
}
