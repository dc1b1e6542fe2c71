#include <LibCore/VirtualScheduler.h>
#include <LibMembership/TargetOwnership.h>
#include <StandIns/EngineModel.h>
#include <StandIns/MemoryTable.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <rapidcheck.h>

using namespace std::chrono_literals;

namespace {

constexpr int HostCount = 3;
constexpr auto LinkDelay = 2ms;
constexpr auto AnswerTimeout = 800ms;
const Core::TargetId Target {"e1"};

// What connects the hosts of a history: which of them are reachable, and by what.
struct Faults {
    bool isPlatformDown = false;
    bool isAnswerLost = false;
    std::array<bool, HostCount> isPaused {}; // Nothing of the host's moves; its timers run when it wakes.
    std::array<bool, HostCount> isCutFromPlatform {};
    std::array<bool, HostCount> isCutFromPeers {};
    std::array<Core::Duration, HostCount> orderDelay {};
};

// Timers of one host; those that fall due during a pause run at its end.
class PausableScheduler final : public Core::Scheduler
{
public:
    PausableScheduler(Core::VirtualScheduler &world, const bool &isPaused)
        : m_world(world)
        , m_isPaused(isPaused)
    {
    }
    [[nodiscard]] Core::TimePoint now() const override
    {
        return m_world.now();
    }
    Core::TimerId runAfter(Core::Duration delay, Task task) override
    {
        return m_world.runAfter(delay, [this, task = std::move(task)] {
            if (m_isPaused) {
                m_due.push_back(task);
            } else {
                task();
            }
        });
    }
    void cancel(Core::TimerId timer) override
    {
        m_world.cancel(timer);
    }
    void wake()
    {
        for (const auto &task : std::exchange(m_due, {})) {
            task();
        }
    }

private:
    Core::VirtualScheduler &m_world;
    const bool &m_isPaused;
    std::vector<Task> m_due;
};

// The naive version: the target alone keeps the history of ownership, as the fences that it has accepted in order.
class NaiveHistory
{
public:
    void accept(int host, std::uint64_t fence)
    {
        RC_ASSERT(fence >= m_fence);
        if (fence == m_fence) {
            RC_ASSERT(host == m_holder);
        }
        m_fence = fence;
        m_holder = host;
    }
    [[nodiscard]] std::uint64_t fence() const
    {
        return m_fence;
    }
    [[nodiscard]] int holder() const
    {
        return m_holder;
    }

private:
    std::uint64_t m_fence = 0;
    int m_holder = -1;
};

struct History;

struct Member final : public Platform::TableService,
                      public Engine::EngineLink,
                      public Peer::PeerTransport,
                      public Platform::HostList {
    Member(History &history, int index);

    void transact(Platform::Transaction transaction, TransactionFunction done) override;
    void read(std::string_view table, std::string_view key, ReadFunction done) override;
    void scan(std::string_view table, std::string_view afterKey, std::size_t most, ScanFunction done) override;
    void load(const Engine::EngineAddress & /*engine*/, const Engine::AdapterOrder & /*order*/,
              OrderFunction /*done*/) override
    {
    }
    void unload(const Engine::EngineAddress &engine, const Engine::AdapterOrder &order, OrderFunction done) override;
    void status(const Engine::EngineAddress & /*engine*/, StatusFunction /*done*/) override
    {
    }
    Engine::StreamId generate(const Engine::EngineAddress & /*engine*/, const Engine::GenerateRequest & /*request*/,
                              StreamFunction /*events*/) override
    {
        return Engine::StreamId::None;
    }
    void cancel(Engine::StreamId /*stream*/) override
    {
    }
    void send(const Core::HostId &to, std::string bytes) override;
    void reconnect(const Core::HostId & /*to*/) override
    {
    }
    void list(ListFunction /*done*/) override
    {
    }
    // Asks the platform; the answer, or the lack of one, comes once.
    template<typename Answer> void ask(std::function<Answer()> serve, std::function<void(Answer)> done, Answer without);

    History &history;
    int index;
    PausableScheduler scheduler;
    Platform::TargetDirectory directory;
    Peer::PeerRouter router;
    Membership::HostLeases leases;
    Membership::TargetOwnership ownership;
};

struct History {
    explicit History(Platform::FenceChecking checking)
        : engine({.incarnation = "1", .fenceChecking = checking})
    {
        for (int i = 0; i < HostCount; ++i) {
            members.push_back(std::make_unique<Member>(*this, i));
            members.back()->directory.apply({{.kind = Platform::MachineKind::Engine,
                                              .name = Target.value,
                                              .zone = {"a"},
                                              .fenceChecking = checking}});
        }
        for (const auto &member : members) {
            member->leases.start();
            member->ownership.start();
        }
    }

    Core::VirtualScheduler clock;
    Faults faults;
    StandIns::MemoryTable table;
    StandIns::EngineModel engine;
    NaiveHistory naive;
    std::vector<std::unique_ptr<Member>> members;
};

Member::Member(History &history, int index)
    : history(history)
    , index(index)
    , scheduler(history.clock, history.faults.isPaused[index])
    , directory(scheduler, *this, 1s)
    , router(scheduler, *this, {.self = {"h" + std::to_string(index)}, .incarnation = 1, .key = "key"})
    , leases(scheduler, *this,
             {.id = {"h" + std::to_string(index)}, .zone = {"a"}, .incarnation = static_cast<std::uint64_t>(index) + 1},
             {})
    , ownership(scheduler, *this, router, *this, leases, directory, {})
{
}

template<typename Answer>
void Member::ask(std::function<Answer()> serve, std::function<void(Answer)> done, Answer without)
{
    auto isDone = std::make_shared<bool>(false);
    const auto finish = [isDone, done](const Answer &answer) {
        if (!std::exchange(*isDone, true)) {
            done(answer);
        }
    };
    scheduler.runAfter(AnswerTimeout, [finish, without] {
        finish(without);
    });
    history.clock.runAfter(LinkDelay, [this, serve, finish] {
        const auto &faults = history.faults;
        if (faults.isPlatformDown || faults.isCutFromPlatform[index]) {
            return;
        }
        const auto answer = serve();
        if (!faults.isAnswerLost) {
            scheduler.runAfter(LinkDelay, [finish, answer] {
                finish(answer);
            });
        }
    });
}

void Member::transact(Platform::Transaction transaction, TransactionFunction done)
{
    ask<Platform::TransactionResult>(
        [this, transaction = std::move(transaction)] {
            const bool isCommitted = history.table.transact(transaction);
            return Platform::TransactionResult {.outcome = isCommitted ? Platform::TransactionOutcome::Committed
                                                                       : Platform::TransactionOutcome::Conflicted};
        },
        std::move(done), {});
}

void Member::read(std::string_view table, std::string_view key, ReadFunction done)
{
    ask<Platform::ReadResult>(
        [this, table = std::string(table), key = std::string(key)] {
            return Platform::ReadResult {.isAvailable = true, .row = history.table.read(table, key)};
        },
        std::move(done), {});
}

void Member::scan(std::string_view table, std::string_view afterKey, std::size_t most, ScanFunction done)
{
    ask<Platform::ScanResult>(
        [this, table = std::string(table), afterKey = std::string(afterKey), most] {
            return Platform::ScanResult {.isAvailable = true, .rows = history.table.scan(table, afterKey, most)};
        },
        std::move(done), {});
}

void Member::unload(const Engine::EngineAddress & /*engine*/, const Engine::AdapterOrder &order, OrderFunction done)
{
    const auto delay = LinkDelay + history.faults.orderDelay[index];
    history.clock.runAfter(delay, [this, order, done = std::move(done)] {
        const auto outcome = history.engine.unload(order);
        if (outcome == Engine::OrderOutcome::Done) {
            history.naive.accept(index, order.fence);
        }
        scheduler.runAfter(LinkDelay, [done, outcome] {
            done(outcome);
        });
    });
}

void Member::send(const Core::HostId &to, std::string bytes)
{
    auto &receiver = *history.members.at(static_cast<std::size_t>(to.value.back() - '0'));
    const auto &cut = history.faults.isCutFromPeers;
    if (!cut[index] && !cut[receiver.index]) {
        receiver.scheduler.runAfter(LinkDelay, [&receiver, bytes = std::move(bytes)] {
            receiver.router.receive(bytes);
        });
    }
}

void disturb(History &history)
{
    auto &faults = history.faults;
    const auto host = static_cast<std::size_t>(*rc::gen::inRange(0, HostCount));
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        faults.isPlatformDown = !faults.isPlatformDown;
        break;
    case 1:
        faults.isAnswerLost = !faults.isAnswerLost;
        break;
    case 2:
        faults.isPaused[host] = !faults.isPaused[host];
        if (!faults.isPaused[host]) {
            history.members[host]->scheduler.wake();
        }
        break;
    case 3:
        faults.isCutFromPlatform[host] = !faults.isCutFromPlatform[host];
        break;
    case 4:
        faults.isCutFromPeers[host] = !faults.isCutFromPeers[host];
        break;
    default:
        faults.orderDelay[host] = faults.orderDelay[host] > 0s ? 0s : 3s;
        break;
    }
}

// A holder that knows less than the target may go on for the term of its last confirmation, and no longer.
void checkHolders(const History &history, std::map<std::uint64_t, Core::TimePoint> &acceptedAt)
{
    acceptedAt.try_emplace(history.naive.fence(), history.clock.now());
    for (const auto &member : history.members) {
        for (const auto &owned : member->ownership.owned()) {
            const auto newer = acceptedAt.upper_bound(owned.fence);
            const bool isStale = newer != acceptedAt.end();
            RC_ASSERT(!isStale
                      || history.clock.now() - newer->second <= Membership::TargetOwnershipOptions {}.confirmTerm);
            RC_ASSERT(isStale || member->index == history.naive.holder());
        }
    }
}

void mend(History &history)
{
    history.faults = {};
    for (const auto &member : history.members) {
        member->scheduler.wake();
    }
}

}

class TargetOwnershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetOwnershipTest);
    CPPUNIT_TEST(oneHolderIsEffectiveAndFencesRise);
    CPPUNIT_TEST_SUITE_END();

    // Compares every history with the naive version: the target's own, and in the end one holder for the target, the
    // table and every host.
    void oneHolderIsEffectiveAndFencesRise()
    {
        setenv("RC_PARAMS", "seed=1 max_success=200", 0);
        CPPUNIT_ASSERT(rc::check("ownership has one history", [] {
            History history(Platform::FenceChecking::Checks);
            std::map<std::uint64_t, Core::TimePoint> acceptedAt;
            for (int step = *rc::gen::inRange(1, 25); step > 0; --step) {
                const int slices = *rc::gen::inRange(1, 120);
                for (int slice = 0; slice < slices; ++slice) {
                    history.clock.advance(100ms);
                    checkHolders(history, acceptedAt);
                }
                disturb(history);
            }
            mend(history);
            history.clock.advance(60s);
            std::uint64_t holders = 0;
            for (const auto &member : history.members) {
                holders += member->ownership.owned().size();
                RC_ASSERT(member->ownership.ownerOf(Target).has_value());
                RC_ASSERT(member->ownership.ownerOf(Target)->fence == history.naive.fence());
            }
            RC_ASSERT(holders == 1U);
            const auto row
                = Membership::ownershipRowFromText(history.table.read("ownership", "a/" + Target.value)->value);
            RC_ASSERT(row.fence == history.naive.fence());
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetOwnershipTest);
