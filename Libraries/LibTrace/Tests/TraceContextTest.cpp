#include <LibTrace/TraceContext.h>
#include <cppunit/extensions/HelperMacros.h>

class TraceContextTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TraceContextTest);
    CPPUNIT_TEST(validHeaderSurvivesRoundTrip);
    CPPUNIT_TEST(malformedHeaderYieldsNoContext);
    CPPUNIT_TEST_SUITE_END();

    void validHeaderSurvivesRoundTrip()
    {
        const std::string header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
        const auto context = Trace::TraceContext::fromHeader(header);
        CPPUNIT_ASSERT(context.has_value());
        CPPUNIT_ASSERT_EQUAL(header, context->toHeader());
    }

    void malformedHeaderYieldsNoContext()
    {
        for (const auto *header : {"", "00", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-0",
                                   "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
                                   "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
                                   "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
                                   "00-4bf92f3577b34da6a3ce929d0e0e4736_00f067aa0ba902b7-01"}) {
            CPPUNIT_ASSERT_MESSAGE(header, !Trace::TraceContext::fromHeader(header).has_value());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TraceContextTest);
