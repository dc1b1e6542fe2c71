#include <LibCore/VirtualScheduler.h>
#include <LibMembership/HostLeases.h>
#include <StandIns/MemoryTable.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

namespace {

// When the table does a removal late.
constexpr auto RemovalDelay = 5200ms;

// A table whose responses to transactions are delayed or lost. Every transaction takes effect at once.
class SlowTable final : public Platform::TableService
{
public:
    explicit SlowTable(Core::Scheduler &scheduler)
        : m_scheduler(scheduler)
    {
    }
    void transact(Platform::Transaction transaction, TransactionFunction done) override
    {
        if (!isDown && isRemovalLate && !transaction.deletions.empty()) {
            m_scheduler.runAfter(RemovalDelay, [this, transaction] {
                rows.transact(transaction);
            });
        } else if (!isDown) {
            rows.transact(transaction);
        }
        const auto outcome = isLosingResponses || isDown ? Platform::TransactionOutcome::Unknown
                                                         : Platform::TransactionOutcome::Committed;
        m_scheduler.runAfter(responseDelay, [done = std::move(done), outcome] {
            done({.outcome = outcome});
        });
    }
    void read(std::string_view table, std::string_view key, ReadFunction done) override
    {
        m_scheduler.runAfter(1ms, [this, table = std::string(table), key = std::string(key), done = std::move(done)] {
            done({.isAvailable = !isDown, .row = isDown ? std::nullopt : rows.read(table, key)});
        });
    }
    void scan(std::string_view table, std::string_view afterKey, std::size_t limit, ScanFunction done) override
    {
        m_scheduler.runAfter(
            1ms, [this, table = std::string(table), key = std::string(afterKey), limit, done = std::move(done)] {
                done({.isAvailable = !isScanDown && !isDown,
                      .rows = isScanDown || isDown ? std::vector<Platform::Row> {} : rows.scan(table, key, limit)});
            });
    }

    StandIns::MemoryTable rows;
    Core::Duration responseDelay = 1ms;
    bool isLosingResponses = false;
    bool isDown = false;
    bool isScanDown = false;
    bool isRemovalLate = false;

private:
    Core::Scheduler &m_scheduler;
};

}

class HostLeasesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HostLeasesTest);
    CPPUNIT_TEST(leaseTermStartsWhenRenewalIsSent);
    CPPUNIT_TEST(renewalWithLostResponseCountsOnceReadBack);
    CPPUNIT_TEST(leaseExpiresForHolderBeforeOtherHosts);
    CPPUNIT_TEST(lateRemovalLeavesRowOfNextProcess);
    CPPUNIT_TEST_SUITE_END();

    Core::VirtualScheduler m_clock;
    SlowTable m_table {m_clock};
    Membership::HostLeases m_holder {m_clock, m_table, {.id = {"h"}, .zone = {"a"}, .incarnation = 1}, {}};
    Membership::HostLeases m_observer {m_clock, m_table, {.id = {"t"}, .zone = {"a"}, .incarnation = 2}, {}};

    void leaseTermStartsWhenRenewalIsSent()
    {
        m_table.isScanDown = true;
        m_table.responseDelay = 4s;
        m_holder.start();
        m_clock.advance(4500ms);
        CPPUNIT_ASSERT(m_holder.isLeaseHeld());
        m_table.isDown = true;
        m_clock.advance(6s);
        CPPUNIT_ASSERT(!m_holder.isLeaseHeld());
    }

    void renewalWithLostResponseCountsOnceReadBack()
    {
        m_table.isLosingResponses = true;
        m_table.isScanDown = true;
        m_holder.start();
        m_clock.advance(3s);
        CPPUNIT_ASSERT(!m_holder.isLeaseHeld());
        m_table.isScanDown = false;
        m_clock.advance(20s);
        CPPUNIT_ASSERT(m_holder.isLeaseHeld());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_holder.session());
    }

    void leaseExpiresForHolderBeforeOtherHosts()
    {
        m_observer.start();
        m_holder.start();
        m_clock.advance(10s);
        CPPUNIT_ASSERT(m_holder.isLeaseHeld() && !m_observer.isExpired(Core::HostId {"h"}));
        m_holder.release([] {});
        m_clock.advance(2s);
        CPPUNIT_ASSERT(!m_holder.isLeaseHeld() && m_observer.isReleased({"h"}));
        Membership::HostLeases restarted(m_clock, m_table, {.id = {"h"}, .zone = {"a"}, .incarnation = 3}, {});
        restarted.start();
        m_clock.advance(3s);
        CPPUNIT_ASSERT(!m_observer.isReleased({"h"}));
        m_table.isDown = true;
        for (int i = 0; i < 100; ++i) {
            m_clock.advance(100ms);
            // A renewal that the observer hasn't read makes its transaction fail.
            const bool canTakeOver = m_observer.isExpired(Core::HostId {"h"})
                && m_table.rows.transact({.conditions = {m_observer.unchangedCondition(Core::HostId {"h"})}});
            CPPUNIT_ASSERT(!restarted.isLeaseHeld() || !canTakeOver);
        }
        CPPUNIT_ASSERT(!restarted.isLeaseHeld() && m_observer.isExpired(Core::HostId {"h"}));
    }

    // Other hosts took the missing row for the end of the lease that the next process held.
    void lateRemovalLeavesRowOfNextProcess()
    {
        m_observer.start();
        m_holder.start();
        m_clock.advance(10s);
        m_table.isRemovalLate = true;
        m_holder.release([] {});
        m_clock.advance(1s);
        Membership::HostLeases restarted(m_clock, m_table, {.id = {"h"}, .zone = {"a"}, .incarnation = 3}, {});
        restarted.start();
        for (int i = 0; i < 100; ++i) {
            m_clock.advance(100ms);
            CPPUNIT_ASSERT(!m_observer.isReleased({"h"}));
            CPPUNIT_ASSERT(m_table.rows.read("hosts", "a/h").has_value());
        }
        CPPUNIT_ASSERT(restarted.isLeaseHeld());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostLeasesTest);
