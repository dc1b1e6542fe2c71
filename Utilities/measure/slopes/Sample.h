#pragma once

#include <cstddef>
#include <cstdint>

namespace Measure {

// What one idle host costs in a zone of a given size, per second of virtual time.
struct IdleSample {
    double tableReads = 0;
    double tableWrites = 0;
    double tableBytes = 0;
    double peerMessages = 0;
    double peerBytes = 0;
    double processorMicroseconds = 0; // Of this machine, the fakes' own work included.
};

// What one request for a resident adapter costs, over all hosts.
struct RequestSample {
    double peerMessages = 0;
    double peerBytes = 0;
    double processorMicroseconds = 0; // The fakes' own work included.
};

// Runs a zone of hosts and engines without requests.
[[nodiscard]] IdleSample sampleIdle(std::size_t hosts, std::size_t engines, std::size_t otherZoneHosts);
// Runs requests of so many tokens through a zone of two hosts.
[[nodiscard]] RequestSample sampleRequests(std::size_t count, std::uint32_t tokens);
// Heap bytes of the tickets' state with so many adapters.
[[nodiscard]] std::size_t sampleTicketStateBytes(std::size_t adapters);
// Microseconds to apply one ticket to a state of so many adapters, as the feed does it.
[[nodiscard]] double sampleTicketApply(std::size_t adapters);
// Heap bytes of the slots of so many targets, four ready adapters and eight grants each.
[[nodiscard]] std::size_t sampleSlotBytes(std::size_t targets);
// Bytes of one span as it is written, and microseconds to write it.
[[nodiscard]] std::size_t sampleSpanBytes();
[[nodiscard]] double sampleSpanTime();

}
