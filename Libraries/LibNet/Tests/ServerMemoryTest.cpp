#include <LibNet/BufferBudget.h>
#include <LibNet/HttpServer.h>
#include <LibNet/Tests/ServedConnection.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::string_literals;

namespace {

constexpr std::size_t Megabyte = 1U << 20U;

std::string post(std::size_t bodyBytes)
{
    return "POST /work HTTP/1.1\r\nHost: test.example\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
        + std::string(bodyBytes, 'x');
}

}

// What a server holds of bodies that callers send.
class ServerMemoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerMemoryTest);
    CPPUNIT_TEST(bodyBeyondTheBudgetIsRefusedAsNotRun);
    CPPUNIT_TEST(manyBodiesAtOnceStayWithinTheBudget);
    CPPUNIT_TEST(bodyWithoutEndEndsItsConnection);
    CPPUNIT_TEST(largeResponseIsReservedUntilItIsSent);
    CPPUNIT_TEST_SUITE_END();

    void bodyBeyondTheBudgetIsRefusedAsNotRun()
    {
        Net::BufferBudget budget(2 * Megabyte);
        RecordingServer server({.maxBodyBytes = 8 * Megabyte, .budget = &budget});
        const auto seen = server.serve(post(Megabyte + 1) + post(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), seen.targets.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1000), seen.bodies.at(0).size());
        CPPUNIT_ASSERT_MESSAGE(seen.received, seen.received.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(seen.received.find("Currantbay-Outcome: not-run") != std::string::npos);
        CPPUNIT_ASSERT(seen.received.find("Retry-After") != std::string::npos);
        const auto tooLarge = server.serve(post(8 * Megabyte + 1) + post(1000));
        CPPUNIT_ASSERT(tooLarge.received.starts_with("HTTP/1.1 413"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), tooLarge.targets.size());
    }

    // Guards against callers that each stay within the limit of a body filling the memory together.
    void manyBodiesAtOnceStayWithinTheBudget()
    {
        Net::BufferBudget budget(8 * Megabyte);
        RecordingServer server({.maxBodyBytes = 2 * Megabyte, .budget = &budget});
        const auto request = post(2 * Megabyte);
        const auto half = request.size() / 2;
        std::vector<int> connections;
        for (int i = 0; i < 20; ++i) {
            connections.push_back(Net::connectTo(server.port()));
            CPPUNIT_ASSERT(send(connections.back(), request.data(), half, MSG_NOSIGNAL) > 0);
        }
        // A request without a body, and a small one, run beside them.
        const auto beside = server.serve("GET /small HTTP/1.1\r\nHost: test.example\r\n\r\n" + post(10));
        CPPUNIT_ASSERT_MESSAGE(beside.received, !beside.targets.empty());
        CPPUNIT_ASSERT_EQUAL("/small"s, beside.targets.at(0));
        int refused = 0;
        int served = 0;
        for (const int connection : connections) {
            for (auto rest = std::string_view(request).substr(half); !rest.empty();) {
                const auto count = send(connection, rest.data(), rest.size(), MSG_NOSIGNAL);
                CPPUNIT_ASSERT(count > 0);
                rest.remove_prefix(static_cast<std::size_t>(count));
            }
            char status[12] {};
            CPPUNIT_ASSERT(recv(connection, status, sizeof status, MSG_WAITALL) == sizeof status);
            const std::string_view text(status, sizeof status);
            served += text == "HTTP/1.1 200" ? 1 : 0;
            refused += text == "HTTP/1.1 503" ? 1 : 0;
            close(connection);
        }
        CPPUNIT_ASSERT_EQUAL(20, served + refused);
        CPPUNIT_ASSERT(refused >= 16);
        CPPUNIT_ASSERT(server.largestUsed() <= 4 * Megabyte);
    }

    // Guards against a caller whose chunks have no end being read for ever.
    void bodyWithoutEndEndsItsConnection()
    {
        RecordingServer server({.maxBodyBytes = Megabyte});
        const int connection = Net::connectTo(server.port());
        std::string bytes = "POST /work HTTP/1.1\r\nHost: test.example\r\nTransfer-Encoding: chunked\r\n\r\n";
        const auto chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
        std::size_t sent = 0;
        constexpr std::size_t MostSent = 200 * Megabyte;
        while (sent < MostSent && send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0) {
            sent += bytes.size();
            bytes = chunk;
        }
        close(connection);
        CPPUNIT_ASSERT(sent < MostSent);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.serve(post(10)).targets.size());
    }

    void largeResponseIsReservedUntilItIsSent()
    {
        Net::BufferBudget budget(8 * Megabyte);
        RecordingServer server({.budget = &budget}, std::string(4 * Megabyte, 'r'));
        const auto seen = server.serve(post(10));
        CPPUNIT_ASSERT(seen.received.find("Content-Length: " + std::to_string(4 * Megabyte)) != std::string::npos);
        CPPUNIT_ASSERT(seen.received.size() > 8 * Megabyte); // With the response to the last request.
        CPPUNIT_ASSERT(server.largestUsed() >= 4 * Megabyte);
        // A caller that doesn't read holds its response only until others need the memory.
        std::vector<int> silent;
        for (int i = 0; i < 5; ++i) {
            silent.push_back(Net::connectTo(server.port()));
            const auto request = post(10);
            CPPUNIT_ASSERT(send(silent.back(), request.data(), request.size(), MSG_NOSIGNAL) > 0);
        }
        CPPUNIT_ASSERT(server.serve(post(10)).received.size() > 4 * Megabyte);
        for (const int connection : silent) {
            close(connection);
        }
        CPPUNIT_ASSERT(server.largestUsed() <= 8 * Megabyte);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerMemoryTest);
