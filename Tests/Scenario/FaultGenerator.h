#pragma once

#include <random>
#include <string>
#include <vector>

namespace Scenario {

// Writes random scenarios: requests among kills, freezes, cuts, outages and lost answers, often two at once, then
// a time without faults in which everything must recover. The text is an ordinary scenario.
class FaultGenerator
{
public:
    explicit FaultGenerator(std::uint64_t seed);

    [[nodiscard]] std::string generate();
    // Faults written by the last call.
    [[nodiscard]] int faultCount() const;

private:
    void writeDeployment();
    void writeRequest();
    void writeFault();
    void writeProcessFault();
    void writeNetworkFault();
    void writePlatformFault();
    void writeEngineFault();
    void writeTicket();
    void writeRecovery();
    void add(const std::string &line);
    [[nodiscard]] int pick(int below);
    [[nodiscard]] std::string pickFrom(const std::vector<std::string> &names);
    [[nodiscard]] std::string pickPair();

    std::mt19937_64 m_random;
    std::string m_script;
    int m_faultCount = 0;
    int m_requestCount = 0;
    int m_ticketNumber = 0;
    std::vector<std::string> m_hosts;
    std::vector<std::string> m_engines;
};

}
