#include <LibOwner/SlotTable.h>
#include <cppunit/extensions/HelperMacros.h>

class SlotTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlotTableTest);
    CPPUNIT_TEST(adapterWithGrantIsNotEvictable);
    CPPUNIT_TEST(newIncarnationHasEmptySlots);
    CPPUNIT_TEST_SUITE_END();

    void adapterWithGrantIsNotEvictable()
    {
        Owner::SlotTable table;
        table.reset("first", 2);
        const Core::AdapterVersion adapter {"outline", "1"};
        table.beginLoad(adapter, {});
        CPPUNIT_ASSERT(table.evictable().empty());
        table.finishLoad(adapter);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.evictable().size());
        table.grant(adapter, {"grant-1"}, {});
        table.grant(adapter, {"grant-1"}, {});
        CPPUNIT_ASSERT(table.evictable().empty());
        CPPUNIT_ASSERT(table.release({"grant-1"}, {}));
        CPPUNIT_ASSERT(!table.release({"grant-1"}, {}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.evictable().size());
    }

    void newIncarnationHasEmptySlots()
    {
        Owner::SlotTable table;
        table.reset("first", 1);
        table.beginLoad({"outline", "1"}, {});
        CPPUNIT_ASSERT(!table.hasFreeSlot());
        table.reset("second", 1);
        CPPUNIT_ASSERT(table.hasFreeSlot());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotTableTest);
