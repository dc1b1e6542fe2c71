#include <LibNet/BufferBudget.h>
#include <LibNet/HttpServer.h>
#include <LibNet/Tests/ServedConnection.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

namespace {

constexpr std::size_t Megabyte = 1U << 20U;

std::string head(std::size_t bodyBytes)
{
    return "POST /work HTTP/1.1\r\nHost: test.example\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

std::string post(std::size_t bodyBytes)
{
    return head(bodyBytes) + std::string(bodyBytes, 'x');
}

}

// The limit on bodies that operators set while the server runs. The server's own limit is 2 MB.
class OperatorBodyLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OperatorBodyLimitTest);
    CPPUNIT_TEST(largerBodyIsRefusedAtItsHead);
    CPPUNIT_TEST(callerThatSendsTheWholeBodyReceivesTheRefusal);
    CPPUNIT_TEST(bodyInChunksIsLimitedToo);
    CPPUNIT_TEST(higherLimitIsRaisedToWhatTheBudgetAllows);
    CPPUNIT_TEST(withoutTheLimitTheConnectionStaysOpen);
    CPPUNIT_TEST(changeAppliesToRequestsThatArriveAfterIt);
    CPPUNIT_TEST_SUITE_END();

    std::atomic<std::size_t> m_limit = Megabyte;
    Net::BufferBudget m_budget {8 * Megabyte};
    std::unique_ptr<RecordingServer> m_server; // Its thread runs only during a test.

public:
    void setUp() override
    {
        m_server = std::make_unique<RecordingServer>(Net::HttpServerOptions {.maxBodyBytes = 2 * Megabyte,
                                                                             .operatorMaxBodyBytes =
                                                                                 [this] {
                                                                                     return m_limit.load();
                                                                                 },
                                                                             .budget = &m_budget});
    }

    void tearDown() override
    {
        m_server.reset();
    }

private:
    [[nodiscard]] unsigned statusOf(const std::string &bytes)
    {
        const auto seen = m_server->serve(bytes);
        return seen.received.size() < 12 ? 0 : static_cast<unsigned>(std::stoul(seen.received.substr(9, 3)));
    }

    static void sendAll(int connection, std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto count = send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            CPPUNIT_ASSERT(count > 0);
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
    }

    // Guards against a caller having to send a body that nobody will read.
    void largerBodyIsRefusedAtItsHead()
    {
        const int connection = Net::connectTo(m_server->port());
        const auto bytes = head(Megabyte + 1);
        CPPUNIT_ASSERT(send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
        std::string received;
        char buffer[1024];
        pollfd entry {.fd = connection, .events = POLLIN, .revents = 0};
        bool isClosed = false;
        while (!isClosed && poll(&entry, 1, 2000) > 0) {
            const auto count = recv(connection, buffer, sizeof buffer, 0);
            isClosed = count <= 0;
            received.append(buffer, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        }
        close(connection);
        CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 413"));
        CPPUNIT_ASSERT(received.find("Currantbay-Outcome: not-run") != std::string::npos);
        CPPUNIT_ASSERT(received.find("1048576 bytes") != std::string::npos);
        CPPUNIT_ASSERT(isClosed);
    }

    // Guards against the connection being reset under the body: many callers don't read the response then.
    void callerThatSendsTheWholeBodyReceivesTheRefusal()
    {
        const auto bytes = post(30 * Megabyte);
        for (int i = 0; i < 5; ++i) {
            const int connection = Net::connectTo(m_server->port());
            sendAll(connection, bytes);
            char status[12] {};
            CPPUNIT_ASSERT(recv(connection, status, sizeof status, MSG_WAITALL) == sizeof status);
            close(connection);
            CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 413"), std::string(status, sizeof status));
        }
        CPPUNIT_ASSERT_EQUAL(200U, statusOf(post(Megabyte)));
    }

    void bodyInChunksIsLimitedToo()
    {
        const std::string start = "POST /work HTTP/1.1\r\nHost: test.example\r\nTransfer-Encoding: chunked\r\n\r\n";
        const auto chunk = "80000\r\n" + std::string(Megabyte / 2, 'x') + "\r\n";
        CPPUNIT_ASSERT_EQUAL(200U, statusOf(start + chunk + chunk + "0\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(413U, statusOf(start + chunk + chunk + "1\r\nx\r\n0\r\n\r\n"));
    }

    // Guards against a limit that exceeds the memory: requests may use half of the budget.
    void higherLimitIsRaisedToWhatTheBudgetAllows()
    {
        m_limit = 3 * Megabyte;
        CPPUNIT_ASSERT_EQUAL(200U, statusOf(post(3 * Megabyte)));
        CPPUNIT_ASSERT_EQUAL(413U, statusOf(post(3 * Megabyte + 1)));
        m_limit = 100 * Megabyte;
        CPPUNIT_ASSERT_EQUAL(200U, statusOf(post(4 * Megabyte)));
        CPPUNIT_ASSERT_EQUAL(413U, statusOf(post(4 * Megabyte + 1)));
    }

    void withoutTheLimitTheConnectionStaysOpen()
    {
        m_limit = 0;
        const auto seen = m_server->serve(post(2 * Megabyte + 1) + post(10));
        CPPUNIT_ASSERT_MESSAGE(seen.received, seen.received.starts_with("HTTP/1.1 413"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), seen.targets.size());
    }

    // Guards against a request that was begun under a higher limit being refused in the middle of its body.
    void changeAppliesToRequestsThatArriveAfterIt()
    {
        const int connection = Net::connectTo(m_server->port());
        const auto bytes = post(Megabyte);
        const auto half = bytes.size() / 2;
        CPPUNIT_ASSERT(send(connection, bytes.data(), half, MSG_NOSIGNAL) > 0);
        CPPUNIT_ASSERT_EQUAL(200U, statusOf(post(10))); // The head of the first request has been read by then.
        m_limit = 1000;
        CPPUNIT_ASSERT_EQUAL(413U, statusOf(post(1001)));
        sendAll(connection, std::string_view(bytes).substr(half));
        char status[12] {};
        CPPUNIT_ASSERT(recv(connection, status, sizeof status, MSG_WAITALL) == sizeof status);
        close(connection);
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), std::string(status, sizeof status));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorBodyLimitTest);
