#include <LibCore/VirtualScheduler.h>
#include <LibHolding/HolderTable.h>
#include <StandIns/MemoryRows.h>
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>

using namespace std::chrono_literals;

namespace {

constexpr auto HandoverGap = 3500ms;
// Upper bound for detecting a released replica, claiming it and reading the claim back.
constexpr auto TakeoverTime = 4000ms;
// When the store does a removal late.
constexpr auto RemovalDelay = 5200ms;

// The connection of one process to the store; drops transactions after the process has ended or while it is cut off.
class ProcessRows final : public Platform::TableService
{
public:
    ProcessRows(Core::VirtualScheduler &scheduler, StandIns::MemoryRows &rows)
        : m_scheduler(scheduler)
        , m_rows(rows)
    {
    }
    void transact(Platform::Transaction transaction, TransactionFunction done) override
    {
        removals += static_cast<int>(transaction.deletions.size());
        if (isRemovalLate && !transaction.deletions.empty()) {
            m_scheduler.runAfter(RemovalDelay, [this, transaction = std::move(transaction)]() mutable {
                m_rows.transact(std::move(transaction), [](const auto &) {});
            });
        } else if (isCutOff) {
            m_scheduler.runAfter(300ms, [done = std::move(done)] {
                done({.outcome = Platform::TransactionOutcome::NotSent});
            });
        } else if (!isEnded) {
            m_rows.transact(std::move(transaction), std::move(done));
        }
    }
    void read(std::string_view table, std::string_view key, ReadFunction done) override
    {
        m_rows.read(table, key, std::move(done));
    }
    void scan(std::string_view table, std::string_view afterKey, std::size_t limit, ScanFunction done) override
    {
        m_rows.scan(table, afterKey, limit, std::move(done));
    }

    int removals = 0; // Rows that transactions of the process were to remove.
    bool isEnded = false;
    bool isCutOff = false;
    bool isRemovalLate = false; // Transactions that remove rows get no answer and are done late.

private:
    Core::VirtualScheduler &m_scheduler;
    StandIns::MemoryRows &m_rows;
};

// A host that follows the rows as the daemon does.
struct TestHost {
    TestHost(Core::VirtualScheduler &scheduler, StandIns::MemoryRows &rows, const std::string &name,
             std::uint64_t incarnation, const std::vector<Holding::ClaimableReplica> &replicas)
        : rows(rows)
        , process(scheduler, rows)
        , scheduler(scheduler)
        , table(
              scheduler, process,
              {.self = {.host = {name}, .zone = {"a"}, .peerAddress = name, .incarnation = incarnation}},
              [&replicas] {
                  return replicas;
              },
              [this](Platform::RowPut row, std::function<void(bool)> done) {
                  Platform::Transaction transaction;
                  transaction.puts.push_back(std::move(row));
                  process.transact(std::move(transaction), [done](const Platform::TransactionResult &result) {
                      done(result.outcome == Platform::TransactionOutcome::Committed);
                  });
              })
    {
        table.removeRowsOfGone([this, &replicas](const Core::TargetId &replica) {
            return isListRead && std::ranges::none_of(replicas, [&replica](const auto &listed) {
                       return listed.replica == replica;
                   });
        });
        table.start();
        follow();
    }

    void follow()
    {
        if (process.isEnded) {
            return;
        }
        rows.readTable(Holding::HolderTable::Table, [this](const Platform::FeedResult &result) {
            if (result.outcome == Platform::FeedOutcome::Read && !isFeedCutOff) {
                table.apply(result, true);
            }
        });
        scheduler.runAfter(500ms, [this] {
            follow();
        });
    }

    StandIns::MemoryRows &rows;
    ProcessRows process;
    Core::VirtualScheduler &scheduler;
    Holding::HolderTable table;
    bool isFeedCutOff = false;
    bool isListRead = true;
};

}

class HolderTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HolderTableTest);
    CPPUNIT_TEST(replicaHasAtMostOneHolder);
    CPPUNIT_TEST(restartedHostReclaimsItsReplicas);
    CPPUNIT_TEST(noOrdersAfterLeaseExpiresInStoreOutage);
    CPPUNIT_TEST(renewalAfterExpiryRestoresNoHold);
    CPPUNIT_TEST(holdIsConfirmedAfterExpiry);
    CPPUNIT_TEST(successorWaitsForHandoverGap);
    CPPUNIT_TEST(returningHolderNeedsNoHandoverGap);
    CPPUNIT_TEST(replicasAreDistributedEvenly);
    CPPUNIT_TEST(claimWithLostResponseIsReadBack);
    CPPUNIT_TEST(lateRemovalLeavesRowOfNextProcess);
    CPPUNIT_TEST(missingRowDoesNotEndLease);
    CPPUNIT_TEST(stoppedHostLeavesNoRow);
    CPPUNIT_TEST(rowOfGoneReplicaIsRemovedAfterTheDelay);
    CPPUNIT_TEST(rowOfGoneReplicaStaysWhileTheListIsUnread);
    CPPUNIT_TEST(rowWithoutLiveHolderIsRemovedByOneHost);
    CPPUNIT_TEST(rowsAreRemovedOneAfterTheOther);
    CPPUNIT_TEST(rowOfHolderThatListsTheReplicaStays);
    CPPUNIT_TEST(lateRemovalLeavesRowOfReturnedReplica);
    CPPUNIT_TEST_SUITE_END();

    Core::VirtualScheduler m_scheduler;
    StandIns::MemoryRows m_rows {m_scheduler};
    std::vector<Holding::ClaimableReplica> m_replicas {{.replica = {"r1"}, .zone = {"a"}}};

    std::unique_ptr<TestHost> host(const std::string &name, std::uint64_t incarnation = 1)
    {
        return std::make_unique<TestHost>(m_scheduler, m_rows, name, incarnation, m_replicas);
    }

    static std::size_t holders(const std::vector<TestHost *> &hosts, const Core::TargetId &replica)
    {
        return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), [&replica](const auto *host) {
            return host->table.orderFence(replica).has_value();
        }));
    }

    void replicaHasAtMostOneHolder()
    {
        const auto first = host("h1");
        const auto second = host("h2");
        const auto third = host("h3");
        for (int i = 0; i < 300; ++i) {
            m_scheduler.advance(100ms);
            CPPUNIT_ASSERT(holders({first.get(), second.get(), third.get()}, {"r1"}) <= 1);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), holders({first.get(), second.get(), third.get()}, {"r1"}));
    }

    void restartedHostReclaimsItsReplicas()
    {
        const auto before = host("h1", 1);
        m_scheduler.advance(3s);
        const auto fence = before->table.orderFence({"r1"});
        CPPUNIT_ASSERT(fence.has_value());
        before->process.isEnded = true;
        const auto after = host("h1", 2);
        m_scheduler.advance(1s);
        CPPUNIT_ASSERT(after->table.orderFence({"r1"}).has_value());
        CPPUNIT_ASSERT(*after->table.orderFence({"r1"}) > *fence);
    }

    void noOrdersAfterLeaseExpiresInStoreOutage()
    {
        const auto only = host("h1");
        m_scheduler.advance(3s);
        m_rows.isDown = true;
        m_scheduler.advance(8s);
        CPPUNIT_ASSERT(only->table.orderFence({"r1"}).has_value());
        m_scheduler.advance(5s);
        CPPUNIT_ASSERT(!only->table.orderFence({"r1"}).has_value());
        m_rows.isDown = false;
        m_scheduler.advance(1s);
        CPPUNIT_ASSERT(only->table.orderFence({"r1"}).has_value());
    }

    // A host is cut off for longer than its lease and another host takes its replica over. The first host renews its
    // lease before it reads the successor's row.
    void renewalAfterExpiryRestoresNoHold()
    {
        const auto first = host("h1");
        m_scheduler.advance(3s);
        CPPUNIT_ASSERT(first->table.orderFence({"r1"}).has_value());
        const auto second = host("h2");
        first->process.isCutOff = true;
        first->isFeedCutOff = true;
        m_scheduler.advance(20s);
        CPPUNIT_ASSERT(second->table.orderFence({"r1"}).has_value());
        first->process.isCutOff = false;
        for (int i = 0; i < 40; ++i) {
            m_scheduler.advance(100ms);
            CPPUNIT_ASSERT(!first->table.orderFence({"r1"}).has_value());
        }
        first->isFeedCutOff = false;
        for (int i = 0; i < 40; ++i) {
            m_scheduler.advance(100ms);
            CPPUNIT_ASSERT(!first->table.orderFence({"r1"}).has_value());
        }
        CPPUNIT_ASSERT(second->table.orderFence({"r1"}).has_value());
    }

    // Nobody has taken the replica over meanwhile, so that its holder goes on at once, with a higher fence.
    void holdIsConfirmedAfterExpiry()
    {
        const auto only = host("h1");
        m_scheduler.advance(3s);
        const auto fence = only->table.orderFence({"r1"});
        only->process.isCutOff = true;
        m_scheduler.advance(20s);
        CPPUNIT_ASSERT(!only->table.orderFence({"r1"}).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), only->table.held().size());
        only->process.isCutOff = false;
        m_scheduler.advance(2500ms);
        CPPUNIT_ASSERT(only->table.orderFence({"r1"}).has_value());
        CPPUNIT_ASSERT(*only->table.orderFence({"r1"}) > *fence);
    }

    void successorWaitsForHandoverGap()
    {
        const auto first = host("h1");
        m_scheduler.advance(3s);
        const auto second = host("h2");
        m_scheduler.advance(2s);
        CPPUNIT_ASSERT(!second->table.orderFence({"r1"}).has_value());
        first->table.leave([] {});
        first->process.isEnded = true;
        for (auto waited = 0ms; waited < HandoverGap; waited += 100ms) {
            CPPUNIT_ASSERT(!second->table.orderFence({"r1"}).has_value());
            m_scheduler.advance(100ms);
        }
        m_scheduler.advance(TakeoverTime);
        CPPUNIT_ASSERT(second->table.orderFence({"r1"}).has_value());
    }

    void returningHolderNeedsNoHandoverGap()
    {
        const auto other = host("h2");
        m_scheduler.advance(3s);
        CPPUNIT_ASSERT(other->table.orderFence({"r1"}).has_value());
        other->table.leave([] {});
        other->process.isEnded = true;
        m_scheduler.advance(500ms);
        const auto returned = host("h2", 2);
        m_scheduler.advance(1500ms);
        CPPUNIT_ASSERT(returned->table.orderFence({"r1"}).has_value());
    }

    void replicasAreDistributedEvenly()
    {
        m_replicas.clear();
        for (int i = 0; i < 6; ++i) {
            m_replicas.push_back({.replica = {"r" + std::to_string(i)}, .zone = {"a"}});
        }
        const auto first = host("h1");
        const auto second = host("h2");
        const auto third = host("h3");
        m_scheduler.advance(10s);
        for (const auto *each : {first.get(), second.get(), third.get()}) {
            CPPUNIT_ASSERT(each->table.held().size() <= 3);
            CPPUNIT_ASSERT(!each->table.held().empty());
        }
    }

    void claimWithLostResponseIsReadBack()
    {
        m_replicas.clear();
        const auto only = host("h1");
        m_scheduler.advance(3s);
        m_rows.isLosing = true;
        m_replicas.push_back({.replica = {"r9"}, .zone = {"a"}});
        m_scheduler.advance(2s);
        CPPUNIT_ASSERT(only->table.orderFence({"r9"}).has_value());
    }

    [[nodiscard]] bool hasRow(const std::string &key)
    {
        bool isPresent = false;
        m_rows.readTable(Holding::HolderTable::Table, [&isPresent, &key](const auto &feed) {
            isPresent = std::ranges::any_of(feed.rows, [&key](const auto &row) {
                return row.key == key;
            });
        });
        m_scheduler.advance(10ms);
        return isPresent;
    }

    // Such a removal took away the row of the host's next process, so that another host claimed what that one holds.
    // The first process holds no replica, so that no condition on a replica's row keeps the removal.
    void lateRemovalLeavesRowOfNextProcess()
    {
        m_replicas.clear();
        const auto first = host("h1", 1);
        const auto other = host("h2");
        m_scheduler.advance(4500ms);
        first->process.isRemovalLate = true;
        first->table.leave([] {});
        first->process.isEnded = true;
        const auto next = host("h1", 2);
        m_scheduler.advance(1s);
        for (int i = 0; i < 6; ++i) {
            m_replicas.push_back({.replica = {"r" + std::to_string(i)}, .zone = {"a"}});
        }
        m_scheduler.advance(3s);
        const auto held = next->table.held();
        CPPUNIT_ASSERT(!held.empty() && held.size() < m_replicas.size());
        for (int i = 0; i < 100; ++i) {
            m_scheduler.advance(100ms);
            CPPUNIT_ASSERT(hasRow("host/h1"));
            CPPUNIT_ASSERT(next->table.held() == held);
            CPPUNIT_ASSERT_EQUAL(m_replicas.size() - held.size(), other->table.held().size());
        }
    }

    // A process of an earlier release may still remove the row without a condition. Hosts that saw the row and a host
    // that starts while it is missing have to wait for the lease to end.
    void missingRowDoesNotEndLease()
    {
        const auto holder = host("h1");
        m_scheduler.advance(3s);
        CPPUNIT_ASSERT(holder->table.orderFence({"r1"}).has_value());
        const auto other = host("h2");
        m_scheduler.advance(1s);
        holder->process.isCutOff = true;
        holder->isFeedCutOff = true;
        m_rows.remove(std::string(Holding::HolderTable::Table), "host/h1");
        const auto started = host("h3");
        for (int i = 0; i < 300; ++i) {
            m_scheduler.advance(100ms);
            CPPUNIT_ASSERT(holders({holder.get(), other.get(), started.get()}, {"r1"}) <= 1);
            const auto isHeld = !other->table.held().empty() || !started->table.held().empty();
            CPPUNIT_ASSERT(!isHeld || !holder->table.orderFence({"r1"}).has_value());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), holders({other.get(), started.get()}, {"r1"}));
    }

    void stoppedHostLeavesNoRow()
    {
        const auto only = host("h1");
        m_scheduler.advance(3500ms);
        int ends = 0;
        only->table.leave([&ends] {
            ++ends;
        });
        m_scheduler.advance(100ms);
        CPPUNIT_ASSERT_EQUAL(1, ends);
        CPPUNIT_ASSERT(!hasRow("host/h1"));
        CPPUNIT_ASSERT(hasRow("holder/r1"));
    }

    // Guards against rows that stay for ever, and against a fence number that starts again when the replica returns.
    void rowOfGoneReplicaIsRemovedAfterTheDelay()
    {
        const auto first = host("h1");
        m_scheduler.advance(3s);
        const auto fence = first->table.orderFence({"r1"});
        CPPUNIT_ASSERT(fence.has_value());
        const auto listed = std::exchange(m_replicas, {});
        m_scheduler.advance(59s);
        CPPUNIT_ASSERT(hasRow("holder/r1"));
        m_scheduler.advance(3s);
        CPPUNIT_ASSERT(!hasRow("holder/r1"));
        m_replicas = listed;
        m_scheduler.advance(3s);
        CPPUNIT_ASSERT(first->table.orderFence({"r1"}).has_value());
        CPPUNIT_ASSERT(*first->table.orderFence({"r1"}) > *fence);
    }

    // Guards against an outage of the list counting as time for which the replica was gone.
    void rowOfGoneReplicaStaysWhileTheListIsUnread()
    {
        const auto only = host("h1");
        m_scheduler.advance(3s);
        m_replicas.clear();
        for (int i = 0; i < 4; ++i) {
            m_scheduler.advance(50s);
            only->isListRead = false;
            m_scheduler.advance(1s);
            only->isListRead = true;
            CPPUNIT_ASSERT(hasRow("holder/r1"));
        }
    }

    void rowWithoutLiveHolderIsRemovedByOneHost()
    {
        const auto holder = host("h2");
        m_scheduler.advance(3s);
        CPPUNIT_ASSERT(holder->table.orderFence({"r1"}).has_value());
        const auto first = host("h1");
        const auto third = host("h3");
        m_scheduler.advance(1s);
        holder->process.isEnded = true;
        m_replicas.clear();
        m_scheduler.advance(65s);
        CPPUNIT_ASSERT(!hasRow("holder/r1"));
        CPPUNIT_ASSERT_EQUAL(1, first->process.removals);
        CPPUNIT_ASSERT_EQUAL(0, third->process.removals);
    }

    // Guards against hundreds of removals at once after a replacement of all replicas.
    void rowsAreRemovedOneAfterTheOther()
    {
        m_replicas.clear();
        for (int i = 0; i < 20; ++i) {
            m_replicas.push_back({.replica = {"r" + std::to_string(i)}, .zone = {"a"}});
        }
        const auto first = host("h1");
        const auto second = host("h2");
        m_scheduler.advance(10s);
        m_replicas.clear();
        const auto removals = [&] {
            return first->process.removals + second->process.removals;
        };
        for (int elapsed = 0; elapsed < 120; ++elapsed) {
            const auto before = removals();
            m_scheduler.advance(1s);
            CPPUNIT_ASSERT(removals() - before <= 4);
        }
        CPPUNIT_ASSERT_EQUAL(20, removals());
        CPPUNIT_ASSERT(first->process.removals > 0 && second->process.removals > 0);
    }

    // Guards against two hosts that order one replica: the holder's list is old, and it goes on ordering.
    void rowOfHolderThatListsTheReplicaStays()
    {
        const auto holder = host("h1");
        m_scheduler.advance(3s);
        std::vector<Holding::ClaimableReplica> newer;
        TestHost other(m_scheduler, m_rows, "h0", 1, newer);
        m_scheduler.advance(100s);
        CPPUNIT_ASSERT(hasRow("holder/r1"));
        CPPUNIT_ASSERT(holder->table.orderFence({"r1"}).has_value());
        CPPUNIT_ASSERT_EQUAL(0, other.process.removals);
    }

    // Guards against a removal that the store does after the replica has come back and was claimed again.
    void lateRemovalLeavesRowOfReturnedReplica()
    {
        const auto only = host("h1");
        m_scheduler.advance(3s);
        const auto listed = std::exchange(m_replicas, {});
        only->process.isRemovalLate = true;
        for (int i = 0; i < 700 && only->process.removals == 0; ++i) {
            m_scheduler.advance(100ms);
        }
        CPPUNIT_ASSERT_EQUAL(1, only->process.removals);
        m_replicas = listed;
        m_scheduler.advance(2s);
        const auto fence = only->table.orderFence({"r1"});
        CPPUNIT_ASSERT(fence.has_value());
        for (int i = 0; i < 100; ++i) {
            m_scheduler.advance(100ms);
            CPPUNIT_ASSERT(hasRow("holder/r1"));
            CPPUNIT_ASSERT(only->table.orderFence({"r1"}) == fence);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HolderTableTest);
