#include <LibCore/VirtualScheduler.h>
#include <LibMembership/HostLeases.h>
#include <StandIns/MemoryTable.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

namespace {

// A table whose answers to transactions come late or never; every transaction takes effect at once.
class SlowTable final : public Platform::TableService
{
public:
    explicit SlowTable(Core::Scheduler &scheduler)
        : m_scheduler(scheduler)
    {
    }
    void transact(Platform::Transaction transaction, TransactionFunction done) override
    {
        if (!isDown) {
            rows.transact(transaction);
        }
        const auto outcome
            = isLosing || isDown ? Platform::TransactionOutcome::Unknown : Platform::TransactionOutcome::Committed;
        m_scheduler.runAfter(answerDelay, [done = std::move(done), outcome] {
            done({.outcome = outcome});
        });
    }
    void read(std::string_view /*table*/, std::string_view /*key*/, ReadFunction /*done*/) override
    {
    }
    void scan(std::string_view table, std::string_view afterKey, std::size_t most, ScanFunction done) override
    {
        m_scheduler.runAfter(
            1ms, [this, table = std::string(table), key = std::string(afterKey), most, done = std::move(done)] {
                done({.isAvailable = !isScanDown && !isDown,
                      .rows = isScanDown || isDown ? std::vector<Platform::Row> {} : rows.scan(table, key, most)});
            });
    }

    StandIns::MemoryTable rows;
    Core::Duration answerDelay = 1ms;
    bool isLosing = false;
    bool isDown = false;
    bool isScanDown = false;

private:
    Core::Scheduler &m_scheduler;
};

}

class HostLeasesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HostLeasesTest);
    CPPUNIT_TEST(theTermCountsFromBeforeTheRequest);
    CPPUNIT_TEST(aLostAnswerCountsOnceItIsReadBack);
    CPPUNIT_TEST(aTakerWaitsLongerThanTheHolderHolds);
    CPPUNIT_TEST_SUITE_END();

    Core::VirtualScheduler m_clock;
    SlowTable m_table {m_clock};
    Membership::HostLeases m_holder {m_clock, m_table, {.id = {"h"}, .zone = {"a"}, .incarnation = 1}, {}};
    Membership::HostLeases m_taker {m_clock, m_table, {.id = {"t"}, .zone = {"a"}, .incarnation = 2}, {}};

    void theTermCountsFromBeforeTheRequest()
    {
        m_table.isScanDown = true;
        m_table.answerDelay = 4s;
        m_holder.start();
        m_clock.advance(4500ms);
        CPPUNIT_ASSERT(m_holder.isLeaseHeld());
        m_table.isDown = true;
        m_clock.advance(6s);
        CPPUNIT_ASSERT(!m_holder.isLeaseHeld());
    }

    void aLostAnswerCountsOnceItIsReadBack()
    {
        m_table.isLosing = true;
        m_table.isScanDown = true;
        m_holder.start();
        m_clock.advance(3s);
        CPPUNIT_ASSERT(!m_holder.isLeaseHeld());
        m_table.isScanDown = false;
        m_clock.advance(20s);
        CPPUNIT_ASSERT(m_holder.isLeaseHeld());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_holder.session());
    }

    void aTakerWaitsLongerThanTheHolderHolds()
    {
        m_taker.start();
        m_holder.start();
        m_clock.advance(10s);
        CPPUNIT_ASSERT(m_holder.isLeaseHeld() && !m_taker.isExpired(Core::HostId {"h"}));
        m_holder.release([] {});
        m_clock.advance(2s);
        CPPUNIT_ASSERT(!m_holder.isLeaseHeld() && m_taker.isReleased({"h"}));
        Membership::HostLeases second(m_clock, m_table, {.id = {"h"}, .zone = {"a"}, .incarnation = 3}, {});
        second.start();
        m_clock.advance(3s);
        CPPUNIT_ASSERT(!m_taker.isReleased({"h"}));
        m_table.isDown = true;
        for (int i = 0; i < 100; ++i) {
            m_clock.advance(100ms);
            // A renewal that the taker hasn't seen makes its transaction fail.
            const bool canTakeOver = m_taker.isExpired(Core::HostId {"h"})
                && m_table.rows.transact({.conditions = {m_taker.unchanged(Core::HostId {"h"})}});
            CPPUNIT_ASSERT(!second.isLeaseHeld() || !canTakeOver);
        }
        CPPUNIT_ASSERT(!second.isLeaseHeld() && m_taker.isExpired(Core::HostId {"h"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostLeasesTest);
