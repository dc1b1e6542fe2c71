#include <measure/path/ProcessUsage.h>

#include <LibCore/StepError.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace Measure {

namespace {

constexpr int FieldsBeforeUserTime = 11; // After the command's name in parentheses.

}

ProcessUsage readProcessUsage(int pid)
{
    const auto folder = "/proc/" + std::to_string(pid);
    std::ifstream statFile(folder + "/stat");
    std::string stat;
    if (!std::getline(statFile, stat)) {
        throw Core::StepError("read processor time", "process " + std::to_string(pid), "no such process");
    }
    std::istringstream fields(stat.substr(stat.rfind(')') + 1));
    std::string skipped;
    for (int i = 0; i < FieldsBeforeUserTime; ++i) {
        fields >> skipped;
    }
    long userTicks = 0;
    long systemTicks = 0;
    fields >> userTicks >> systemTicks;
    ProcessUsage usage;
    usage.processorTime = std::chrono::duration<double>(static_cast<double>(userTicks + systemTicks)
                                                        / static_cast<double>(sysconf(_SC_CLK_TCK)));
    std::ifstream status(folder + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            usage.peakKibibytes = std::stol(line.substr(sizeof "VmHWM:" - 1));
        } else if (line.starts_with("Threads:")) {
            usage.threads = std::stol(line.substr(sizeof "Threads:" - 1));
        }
    }
    return usage;
}

}
