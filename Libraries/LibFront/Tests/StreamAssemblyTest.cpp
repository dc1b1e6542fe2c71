#include <LibFront/StreamAssembly.h>
#include <cppunit/extensions/HelperMacros.h>

class StreamAssemblyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamAssemblyTest);
    CPPUNIT_TEST(delaysTokensBehindAGapAndDropsDoubles);
    CPPUNIT_TEST(dropsTokensOfASupersededAttempt);
    CPPUNIT_TEST_SUITE_END();

    void delaysTokensBehindAGapAndDropsDoubles()
    {
        Front::StreamAssembly assembly;
        assembly.beginAttempt({"a"});
        CPPUNIT_ASSERT_EQUAL(std::string(), assembly.accept({{"a"}, 1, "y"}));
        assembly.acceptEnd({{"a"}, 2});
        CPPUNIT_ASSERT(!assembly.isWhole());
        CPPUNIT_ASSERT_EQUAL(std::string("xy"), assembly.accept({{"a"}, 0, "x"}));
        CPPUNIT_ASSERT_EQUAL(std::string(), assembly.accept({{"a"}, 0, "x"}));
        CPPUNIT_ASSERT(assembly.isWhole());
    }

    void dropsTokensOfASupersededAttempt()
    {
        Front::StreamAssembly assembly;
        assembly.beginAttempt({"a"});
        CPPUNIT_ASSERT_EQUAL(std::string("x"), assembly.accept({{"a"}, 0, "x"}));
        assembly.beginAttempt({"b"});
        CPPUNIT_ASSERT_EQUAL(std::string(), assembly.accept({{"a"}, 1, "wrong"}));
        CPPUNIT_ASSERT_EQUAL(std::string("y"), assembly.accept({{"b"}, 1, "y"}));
        CPPUNIT_ASSERT_EQUAL(2U, assembly.delivered());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamAssemblyTest);
