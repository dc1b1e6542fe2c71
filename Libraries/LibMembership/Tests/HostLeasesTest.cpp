#include <LibCore/VirtualScheduler.h>
#include <LibMembership/HostLeases.h>
#include <StandIns/MemoryTable.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

namespace {

// When the table does a late write.
constexpr auto WriteDelay = 5200ms;

// A table whose responses to transactions are delayed or lost. Transactions take effect at once, unless they are late.
class SlowTable final : public Platform::TableService
{
public:
    explicit SlowTable(Core::Scheduler &scheduler)
        : m_scheduler(scheduler)
    {
    }
    void transact(Platform::Transaction transaction, TransactionFunction done) override
    {
        auto outcome = Platform::TransactionOutcome::Unknown;
        if (!isDown && (isWriteLate || (isRemovalLate && !transaction.deletions.empty()))) {
            m_scheduler.runAfter(WriteDelay, [this, transaction] {
                rows.transact(transaction);
            });
        } else if (!isDown) {
            const bool isCommitted = rows.transact(transaction);
            outcome = isLosingResponses ? Platform::TransactionOutcome::Unknown
                : isCommitted           ? Platform::TransactionOutcome::Committed
                                        : Platform::TransactionOutcome::Conflicted;
        }
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
    bool isWriteLate = false; // Writes get no response and are done late.

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
    CPPUNIT_TEST(lateRenewalLeavesRowOfNextProcess);
    CPPUNIT_TEST(lateRenewalDoesNotRestoreAReleasedRow);
    CPPUNIT_TEST(processIsRegisteredAgainIfItsRowIsLost);
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

    // Other hosts took the incarnation in such a row for the end of the process that had written the row before.
    void lateRenewalLeavesRowOfNextProcess()
    {
        m_holder.start();
        m_clock.advance(10s);
        m_table.isWriteLate = true;
        for (int i = 0; i < 20; ++i) {
            m_clock.advance(100ms);
            m_holder.update([](auto &record) {
                record.isLeaving = true;
            });
        }
        m_table.isWriteLate = false;
        m_holder.release([] {});
        Membership::HostLeases restarted(m_clock, m_table, {.id = {"h"}, .zone = {"a"}, .incarnation = 3}, {});
        restarted.start();
        m_clock.advance(1s);
        for (int i = 0; i < 100; ++i) {
            m_clock.advance(100ms);
            const auto row = m_table.rows.read("hosts", "a/h");
            CPPUNIT_ASSERT(row.has_value());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), Membership::hostRecordFromText(row->value).incarnation);
            CPPUNIT_ASSERT(restarted.isLeaseHeld());
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), restarted.session());
    }

    // Other hosts took such a row for that of a live host.
    void lateRenewalDoesNotRestoreAReleasedRow()
    {
        m_holder.start();
        m_clock.advance(10s);
        m_table.isWriteLate = true;
        m_clock.advance(1s);
        m_table.isWriteLate = false;
        m_holder.release([] {});
        for (int i = 0; i < 100; ++i) {
            m_clock.advance(100ms);
            CPPUNIT_ASSERT(!m_table.rows.read("hosts", "a/h").has_value());
        }
    }

    // Guards against a host that can't renew its lease any more until it is started again.
    void processIsRegisteredAgainIfItsRowIsLost()
    {
        m_holder.start();
        m_clock.advance(10s);
        m_table.rows.transact({.deletions = {{.table = "host-processes", .key = "a/h"}}});
        m_clock.advance(10s);
        CPPUNIT_ASSERT(m_holder.isLeaseHeld());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_holder.session());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostLeasesTest);
