#include <Tests/Scenario/FakePlatform.h>

namespace Scenario {

namespace {

constexpr auto PlatformTimeout = std::chrono::milliseconds(1000);
constexpr auto HistoryLength = std::chrono::seconds(60);
constexpr const char *PlatformName = "platform";

}

FakePlatform::FakePlatform(Core::VirtualScheduler &world, Network &network)
    : m_world(world)
    , m_network(network)
    , m_process(world)
{
}

void FakePlatform::setDown(bool isDown)
{
    m_isDown = isDown;
}

void FakePlatform::loseAnswers(int count)
{
    m_lostAnswers = count;
}

void FakePlatform::delayWrites(int count, Core::Duration delay)
{
    m_delayedWrites = count;
    m_writeDelay = delay;
}

bool FakePlatform::transact(const Platform::Transaction &transaction)
{
    if (m_readLag > Core::Duration::zero()) {
        m_history.emplace_back(m_world.now(), m_rows);
        while (m_history.front().first + HistoryLength < m_world.now()) {
            m_history.pop_front();
        }
    }
    ++m_writeCount;
    return m_rows.transact(transaction);
}

void FakePlatform::setReadLag(Core::Duration lag)
{
    m_readLag = lag;
}

void FakePlatform::setListLag(Core::Duration lag)
{
    m_listLag = lag;
}

void FakePlatform::putMachine(const Platform::ListedMachine &machine)
{
    changeList([machine](auto &machines) {
        machines[machine.name] = machine;
    });
}

void FakePlatform::removeMachine(const std::string &name)
{
    changeList([name](auto &machines) {
        machines.erase(name);
    });
}

void FakePlatform::changeList(std::function<void(std::map<std::string, Platform::ListedMachine> &)> change)
{
    if (m_listLag == Core::Duration::zero()) {
        change(m_machines);
        return;
    }
    m_world.runAfter(m_listLag, [this, change = std::move(change)] {
        change(m_machines);
    });
}

void FakePlatform::putRow(const std::string &table, const std::string &key, const std::string &value)
{
    (void)m_rows.transact({.puts = {{.table = table, .key = key, .value = value}}});
}

const StandIns::MemoryTable &FakePlatform::rows() const
{
    return m_rows;
}

std::uint64_t FakePlatform::writeCount() const
{
    return m_writeCount;
}

const PlatformTraffic &FakePlatform::trafficOf(const std::string &host)
{
    return m_traffic[host];
}

const StandIns::MemoryTable &FakePlatform::laggingRows()
{
    const auto seen = m_world.now() - m_readLag;
    const StandIns::MemoryTable *rows = &m_rows;
    // Each entry of the history holds the rows as they were until its time.
    for (auto entry = m_history.rbegin(); entry != m_history.rend() && entry->first > seen; ++entry) {
        rows = &entry->second;
    }
    return *rows;
}

HostPlatform::HostPlatform(FakePlatform &platform, std::string host, ProcessScheduler &process)
    : m_platform(platform)
    , m_host(std::move(host))
    , m_process(process)
{
}

template<typename Answer>
void HostPlatform::ask(std::function<std::optional<Answer>()> serve, std::function<void(Answer)> take,
                       std::function<void()> expire)
{
    auto isEnded = std::make_shared<bool>(false);
    m_process.runAfter(PlatformTimeout, [isEnded, expire = std::move(expire)] {
        if (!std::exchange(*isEnded, true)) {
            expire();
        }
    });
    m_platform.m_network.deliver(m_host, PlatformName, m_platform.m_process, [this, isEnded, serve, take] {
        if (m_platform.m_isDown) {
            return;
        }
        auto answer = serve();
        if (!answer.has_value()) {
            return;
        }
        m_platform.m_network.deliver(PlatformName, m_host, m_process, [isEnded, take, answer = std::move(*answer)] {
            if (!std::exchange(*isEnded, true)) {
                take(answer);
            }
        });
    });
}

void HostPlatform::transact(Platform::Transaction transaction, TransactionFunction done)
{
    auto &traffic = m_platform.m_traffic[m_host];
    ++traffic.writes;
    for (const auto &put : transaction.puts) {
        traffic.bytes += put.table.size() + put.key.size() + put.value.size();
    }
    for (const auto &condition : transaction.conditions) {
        traffic.bytes += condition.table.size() + condition.key.size() + sizeof condition.version;
    }
    // HTTP carries a request once, whatever the network beneath does.
    auto wasServed = std::make_shared<bool>(false);
    ask<Platform::TransactionResult>(
        [this, wasServed, transaction = std::move(transaction)]() -> std::optional<Platform::TransactionResult> {
            if (std::exchange(*wasServed, true)) {
                return std::nullopt;
            }
            auto &platform = m_platform;
            if (platform.m_delayedWrites > 0) {
                --platform.m_delayedWrites;
                platform.m_process.runAfter(platform.m_writeDelay, [&platform, transaction] {
                    platform.transact(transaction);
                });
                return std::nullopt;
            }
            const bool isCommitted = platform.transact(transaction);
            if (platform.m_lostAnswers > 0) {
                --platform.m_lostAnswers;
                return std::nullopt;
            }
            return Platform::TransactionResult {.outcome = isCommitted ? Platform::TransactionOutcome::Committed
                                                                       : Platform::TransactionOutcome::Conflicted};
        },
        done,
        [done] {
            done({.outcome = Platform::TransactionOutcome::Unknown, .error = "timed out"});
        });
}

void HostPlatform::read(std::string_view table, std::string_view key, ReadFunction done)
{
    ask<Platform::ReadResult>(
        [this, table = std::string(table), key = std::string(key)] {
            auto &traffic = m_platform.m_traffic[m_host];
            ++traffic.reads;
            traffic.bytes += table.size() + key.size();
            return Platform::ReadResult {.isAvailable = true, .row = m_platform.laggingRows().read(table, key)};
        },
        done,
        [done] {
            done({.error = "timed out"});
        });
}

void HostPlatform::scan(std::string_view table, std::string_view afterKey, std::size_t most, ScanFunction done)
{
    ask<Platform::ScanResult>(
        [this, table = std::string(table), afterKey = std::string(afterKey), most] {
            Platform::ScanResult result {.isAvailable = true,
                                         .rows = m_platform.laggingRows().scan(table, afterKey, most)};
            auto &traffic = m_platform.m_traffic[m_host];
            ++traffic.reads;
            for (const auto &row : result.rows) {
                traffic.bytes += row.key.size() + row.value.size() + sizeof row.version;
            }
            return result;
        },
        done,
        [done] {
            done({.error = "timed out"});
        });
}

void HostPlatform::list(ListFunction done)
{
    ask<std::vector<Platform::ListedMachine>>(
        [this] {
            std::vector<Platform::ListedMachine> machines;
            auto &traffic = m_platform.m_traffic[m_host];
            ++traffic.reads;
            for (const auto &[name, machine] : m_platform.m_machines) {
                traffic.bytes += name.size() + machine.zone.value.size() + machine.address.size() + machine.role.size();
                machines.push_back(machine);
            }
            return std::optional(std::move(machines));
        },
        [done](std::vector<Platform::ListedMachine> machines) {
            done(std::move(machines));
        },
        [done] {
            done(std::nullopt);
        });
}

}
