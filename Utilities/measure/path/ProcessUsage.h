#pragma once

#include <chrono>
#include <string>

namespace Measure {

// What the kernel says of a process: processor time spent and the largest resident memory so far.
struct ProcessUsage {
    std::chrono::duration<double> processorTime {};
    long peakKibibytes = 0;
    long threads = 0;
};

// Reads /proc/PID. Throws StepError when there is no such process.
[[nodiscard]] ProcessUsage readProcessUsage(int pid);

}
