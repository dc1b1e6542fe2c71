#include <LibNet/RequestFraming.h>
#include <cppunit/extensions/HelperMacros.h>
#include <vector>

using Net::HttpFields;

class RequestFramingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestFramingTest);
    CPPUNIT_TEST(ambiguousFramingIsReported);
    CPPUNIT_TEST(unambiguousFramingIsAccepted);
    CPPUNIT_TEST_SUITE_END();

    static bool isReported(const HttpFields &fields, Net::RequestHead head = {.fields = {}})
    {
        return Net::framingError({.method = head.method.empty() ? "POST" : head.method,
                                  .target = head.target.empty() ? "/" : head.target,
                                  .version = head.version.empty() ? "HTTP/1.1" : head.version,
                                  .fields = fields,
                                  .hasPlainLines = head.hasPlainLines})
            .has_value();
    }

    void ambiguousFramingIsReported()
    {
        const HttpFields host {{"Host", "a"}};
        for (const auto &extraFields :
             std::vector<HttpFields> {{{"Content-Length", "5"}, {"content-length", "6"}},
                                      {{"Content-Length", "5"}, {"Transfer-Encoding", "chunked"}},
                                      {{"Transfer-Encoding", "xchunked"}},
                                      {{"Transfer-Encoding", ""}},
                                      {{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "chunked"}},
                                      {{"Content-Length", "+5"}},
                                      {{"Content-Length", ""}},
                                      {{"Content-Length ", "5"}},
                                      {{"", "5"}},
                                      {{"X-Any", "a\rb"}},
                                      {{"Host", "b"}}}) {
            auto fields = host;
            fields.insert(fields.end(), extraFields.begin(), extraFields.end());
            CPPUNIT_ASSERT(isReported(fields));
        }
        CPPUNIT_ASSERT(isReported(host, {.method = "P T", .fields = host}));
        CPPUNIT_ASSERT(isReported(host, {.target = "/a b", .fields = host}));
        CPPUNIT_ASSERT(isReported(host, {.version = "HTTP/1.2", .fields = host}));
        CPPUNIT_ASSERT(isReported(host, {.fields = host, .hasPlainLines = false}));
        const HttpFields chunks {{"Host", "a"}, {"Transfer-Encoding", "chunked"}};
        CPPUNIT_ASSERT(isReported(chunks, {.version = "HTTP/1.0", .fields = chunks}));
    }

    void unambiguousFramingIsAccepted()
    {
        CPPUNIT_ASSERT(!isReported({{"Host", "a"}, {"Content-Length", "5"}, {"X-Any", ""}}));
        CPPUNIT_ASSERT(!isReported({{"host", "a"}, {"transfer-encoding", "Chunked"}}));
        CPPUNIT_ASSERT(!isReported({{"X-Any", "tab\tand \xe9"}}, {.target = "/\xe9?a=%00", .fields = {}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestFramingTest);
