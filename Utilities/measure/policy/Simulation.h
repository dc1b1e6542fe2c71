#pragma once

#include <measure/policy/Trace.h>

namespace Measure {

// What came of one trace under one policy version. docs/MEASURES.md defines the terms.
struct Figures {
    std::string policy;
    double stallP50 = 0; // Milliseconds.
    double stallP99 = 0;
    double stallP99Rare = 0;
    std::uint64_t loads = 0;
    double batchEfficiency = 0;
    std::uint64_t finished = 0;
    std::uint64_t shed = 0;
    std::uint64_t loadFailures = 0; // Requests refused since their adapter couldn't be loaded.
    std::uint64_t unfinished = 0; // Admitted, and neither finished nor refused by the end.
};

// Runs the owners' real decision objects against a small model of the engines and the weight store, on a virtual clock.
[[nodiscard]] Figures simulate(const Deployment &deployment, const Trace &trace, const std::string &policy);

}
