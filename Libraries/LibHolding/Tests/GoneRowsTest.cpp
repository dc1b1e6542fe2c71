#include <LibHolding/GoneRows.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

class GoneRowsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GoneRowsTest);
    CPPUNIT_TEST(changedRowWaitsAgain);
    CPPUNIT_TEST(rowThatStaysDoesNotHoldUpTheOthers);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Core::TimePoint Start {};
    const Core::TargetId m_first {"r1"};
    const Core::TargetId m_second {"r2"};
    Holding::GoneRows m_rows {{.removalDelay = 60s, .turn = 10s, .retryDelay = 10min}};

    // Guards against the removal of a row that a holder of the next incarnation has just written.
    void changedRowWaitsAgain()
    {
        CPPUNIT_ASSERT(!m_rows.next({{m_first, 1}}, Start).has_value());
        CPPUNIT_ASSERT(!m_rows.next({{m_first, 2}}, Start + 59s).has_value());
        CPPUNIT_ASSERT(!m_rows.next({{m_first, 2}}, Start + 118s).has_value());
        CPPUNIT_ASSERT(m_rows.next({{m_first, 2}}, Start + 119s) == m_first);
        CPPUNIT_ASSERT(!m_rows.next({}, Start + 120s).has_value());
        CPPUNIT_ASSERT(!m_rows.next({{m_first, 2}}, Start + 121s).has_value());
    }

    // Guards against one row that its holder doesn't remove keeping all others.
    void rowThatStaysDoesNotHoldUpTheOthers()
    {
        const std::vector<Holding::GoneRow> gone {{m_first, 1}, {m_second, 2}};
        CPPUNIT_ASSERT(!m_rows.next(gone, Start).has_value());
        CPPUNIT_ASSERT(m_rows.next(gone, Start + 60s) == m_first);
        CPPUNIT_ASSERT(m_rows.next(gone, Start + 69s) == m_first);
        CPPUNIT_ASSERT(m_rows.next(gone, Start + 70s) == m_second);
        CPPUNIT_ASSERT(m_rows.next(gone, Start + 659s) != m_first);
        CPPUNIT_ASSERT(m_rows.next(gone, Start + 660s) == m_first);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GoneRowsTest);
