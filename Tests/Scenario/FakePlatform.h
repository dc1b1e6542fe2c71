#pragma once

#include <LibPlatform/HostList.h>
#include <LibPlatform/TableService.h>
#include <StandIns/MemoryTable.h>
#include <Tests/Scenario/Network.h>
#include <deque>

namespace Scenario {

// What one host has asked of the platform. Bytes are those of keys and values, without HTTP headers.
struct PlatformTraffic {
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
    std::uint64_t bytes = 0;
};

// The platform of a scenario: rows, host list, and what can go wrong with them.
class FakePlatform
{
public:
    FakePlatform(Core::VirtualScheduler &world, Network &network);

    // While down, nothing that is sent to it arrives.
    void setDown(bool isDown);
    // So many of the next transactions take effect, but their answers are lost.
    void loseAnswers(int count);
    // So many of the next transactions take effect so much later, and their answers are lost.
    void delayWrites(int count, Core::Duration delay);
    // Reads and scans show the rows as they were this long ago.
    void setReadLag(Core::Duration lag);
    // Changes to the host list are seen this much later.
    void setListLag(Core::Duration lag);
    void putMachine(const Platform::ListedMachine &machine);
    void removeMachine(const std::string &name);
    // Changes a row without any host.
    void putRow(const std::string &table, const std::string &key, const std::string &value);
    [[nodiscard]] const StandIns::MemoryTable &rows() const;
    [[nodiscard]] std::uint64_t writeCount() const;
    [[nodiscard]] const PlatformTraffic &trafficOf(const std::string &host);

private:
    friend class HostPlatform;
    [[nodiscard]] const StandIns::MemoryTable &laggingRows();
    // Decides a transaction on the current rows.
    bool transact(const Platform::Transaction &transaction);
    void changeList(std::function<void(std::map<std::string, Platform::ListedMachine> &)> change);

    Core::VirtualScheduler &m_world;
    Network &m_network;
    ProcessScheduler m_process;
    StandIns::MemoryTable m_rows;
    std::deque<std::pair<Core::TimePoint, StandIns::MemoryTable>> m_history;
    std::map<std::string, Platform::ListedMachine> m_machines;
    bool m_isDown = false;
    int m_lostAnswers = 0;
    int m_delayedWrites = 0;
    Core::Duration m_writeDelay {};
    std::uint64_t m_writeCount = 0;
    std::map<std::string, PlatformTraffic> m_traffic;
    Core::Duration m_readLag {};
    Core::Duration m_listLag {};
};

// The platform as one host reaches it.
class HostPlatform final : public Platform::TableService, public Platform::HostList
{
public:
    HostPlatform(FakePlatform &platform, std::string host, ProcessScheduler &process);

    void transact(Platform::Transaction transaction, TransactionFunction done) override;
    void read(std::string_view table, std::string_view key, ReadFunction done) override;
    void scan(std::string_view table, std::string_view afterKey, std::size_t most, ScanFunction done) override;
    void list(ListFunction done) override;

private:
    // Sends a question whose answer is made by the first function and taken by the second; should none arrive in
    // time, the third runs.
    template<typename Answer>
    void ask(std::function<std::optional<Answer>()> serve, std::function<void(Answer)> take,
             std::function<void()> expire);

    FakePlatform &m_platform;
    std::string m_host;
    ProcessScheduler &m_process;
};

}
