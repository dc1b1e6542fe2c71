#include <Tests/Scenario/FaultGenerator.h>

namespace Scenario {

namespace {

constexpr int AdapterCount = 6;
constexpr int Rounds = 25;
// Longer than a lease, its margin and the refreshes together.
constexpr const char *RecoveryTime = "run 60s";

std::string adapterName(int number)
{
    return "adapter-" + std::to_string(number);
}

}

FaultGenerator::FaultGenerator(std::uint64_t seed)
    : m_random(seed)
{
}

std::string FaultGenerator::generate()
{
    m_script.clear();
    m_faultCount = 0;
    m_requestCount = 0;
    m_ticketNumber = 0;
    writeDeployment();
    for (int round = 0; round < Rounds; ++round) {
        const int requests = pick(4);
        for (int i = 0; i < requests; ++i) {
            writeRequest();
        }
        const int faults = pick(3);
        for (int i = 0; i < faults; ++i) {
            writeFault();
        }
        add("run " + std::to_string(50 + pick(3000)) + "ms");
    }
    writeRecovery();
    return m_script;
}

int FaultGenerator::faultCount() const
{
    return m_faultCount;
}

void FaultGenerator::writeDeployment()
{
    m_hosts = {"a1", "a2", "b1"};
    m_engines = {"e1", "e2", "e3"};
    add("host a1 zone a");
    add("host a2 zone a");
    add("host b1 zone b");
    const std::string fence = pick(2) == 0 ? "checks" : "ignores";
    add("engine e1 zone a slots 2 fence " + fence);
    add("engine e2 zone a slots 2 token 50ms fence " + fence);
    add("engine e3 zone b slots 2 fence " + fence);
    add("run 5s");
    for (int i = 0; i < AdapterCount; ++i) {
        add("ticket " + std::to_string(++m_ticketNumber) + " at a1 adapter " + adapterName(i));
        add("run 200ms");
    }
    add("run 8s");
}

void FaultGenerator::writeRequest()
{
    add("request r" + std::to_string(++m_requestCount) + " at " + pickFrom(m_hosts) + " model "
        + adapterName(pick(AdapterCount)) + " tokens " + std::to_string(1 + pick(60)) + " timeout 30s");
}

void FaultGenerator::writeFault()
{
    static constexpr void (FaultGenerator::*Writers[])()
        = {&FaultGenerator::writeProcessFault, &FaultGenerator::writeNetworkFault, &FaultGenerator::writePlatformFault,
           &FaultGenerator::writeEngineFault, &FaultGenerator::writeTicket};
    ++m_faultCount;
    (this->*Writers[pick(static_cast<int>(std::size(Writers)))])();
}

void FaultGenerator::writeProcessFault()
{
    const auto name = pick(2) == 0 ? pickFrom(m_hosts) : pickFrom(m_engines);
    add(pickFrom({"kill ", "restart ", "restart ", "freeze ", "thaw "}) + name);
}

void FaultGenerator::writeNetworkFault()
{
    switch (pick(6)) {
    case 0:
        add("part a b");
        return;
    case 1:
        add("mend");
        return;
    case 2:
        add("delay " + pickPair() + " " + std::to_string(100 + pick(2000)) + "ms");
        return;
    case 3:
        add("duplicate " + std::to_string(pick(2) * 300) + "ms");
        return;
    default:
        add("cut " + pickPair());
    }
}

void FaultGenerator::writePlatformFault()
{
    switch (pick(4)) {
    case 0:
        add("platform down");
        return;
    case 1:
        add("lose-answers " + std::to_string(1 + pick(3)));
        return;
    case 2:
        add("read-lag " + std::to_string(pick(2) * 1500) + "ms");
        return;
    default:
        add("platform up");
    }
}

void FaultGenerator::writeEngineFault()
{
    add("fail-loads " + pickFrom(m_engines) + " " + std::to_string(1 + pick(2)));
}

void FaultGenerator::writeTicket()
{
    add("ticket " + std::to_string(++m_ticketNumber) + " at " + pickFrom(m_hosts) + " adapter "
        + adapterName(pick(AdapterCount)));
}

// Ends every fault and expects that each host serves again.
void FaultGenerator::writeRecovery()
{
    add("mend");
    add("duplicate 0ms");
    add("read-lag 0ms");
    add("lose-answers 0");
    add("platform up");
    for (const auto &from : {std::string("a"), std::string("b"), std::string("platform")}) {
        for (const auto &to : {std::string("a"), std::string("b"), std::string("platform")}) {
            add("delay " + from + " " + to + " 0ms");
        }
    }
    for (const auto &engine : m_engines) {
        add("fail-loads " + engine + " 0");
        add("revive " + engine);
    }
    for (const auto &host : m_hosts) {
        add("revive " + host);
    }
    add(RecoveryTime);
    add("expect all-ended");
    for (const auto &host : m_hosts) {
        add("request last-" + host + " at " + host + " model " + adapterName(pick(AdapterCount)) + " tokens 10");
    }
    add("run 30s");
    for (const auto &host : m_hosts) {
        add("expect request last-" + host + " completed");
    }
}

void FaultGenerator::add(const std::string &line)
{
    m_script += line + '\n';
}

int FaultGenerator::pick(int below)
{
    return static_cast<int>(m_random() % static_cast<std::uint64_t>(below));
}

std::string FaultGenerator::pickFrom(const std::vector<std::string> &names)
{
    return names[static_cast<std::size_t>(pick(static_cast<int>(names.size())))];
}

std::string FaultGenerator::pickPair()
{
    auto others = m_hosts;
    others.insert(others.end(), m_engines.begin(), m_engines.end());
    others.emplace_back("platform");
    const auto host = pickFrom(m_hosts);
    const auto other = pickFrom(others);
    return pick(2) == 0 ? host + " " + other : other + " " + host;
}

}
