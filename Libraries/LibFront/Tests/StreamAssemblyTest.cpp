#include <LibFront/StreamAssembly.h>
#include <cppunit/extensions/HelperMacros.h>

class StreamAssemblyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamAssemblyTest);
    CPPUNIT_TEST(tokensAfterGapAreDelayedAndDuplicatesDropped);
    CPPUNIT_TEST(tokensOfSupersededAttemptAreDropped);
    CPPUNIT_TEST_SUITE_END();

    void tokensAfterGapAreDelayedAndDuplicatesDropped()
    {
        Front::StreamAssembly assembly;
        assembly.beginAttempt({"a"});
        CPPUNIT_ASSERT_EQUAL(std::string(), assembly.accept({{"a"}, 1, "y"}));
        assembly.acceptEnd({{"a"}, 2});
        CPPUNIT_ASSERT(!assembly.isComplete());
        CPPUNIT_ASSERT_EQUAL(std::string("xy"), assembly.accept({{"a"}, 0, "x"}));
        CPPUNIT_ASSERT_EQUAL(std::string(), assembly.accept({{"a"}, 0, "x"}));
        CPPUNIT_ASSERT(assembly.isComplete());
    }

    void tokensOfSupersededAttemptAreDropped()
    {
        Front::StreamAssembly assembly;
        assembly.beginAttempt({"a"});
        CPPUNIT_ASSERT_EQUAL(std::string("x"), assembly.accept({{"a"}, 0, "x"}));
        assembly.beginAttempt({"b"});
        CPPUNIT_ASSERT_EQUAL(std::string(), assembly.accept({{"a"}, 1, "wrong"}));
        CPPUNIT_ASSERT_EQUAL(std::string("y"), assembly.accept({{"b"}, 1, "y"}));
        CPPUNIT_ASSERT_EQUAL(2U, assembly.deliveredCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamAssemblyTest);
