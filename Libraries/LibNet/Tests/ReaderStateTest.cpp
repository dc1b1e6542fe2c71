#include <LibNet/HttpServer.h>
#include <LibNet/Tests/Loopback.h>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>

using namespace std::chrono_literals;

namespace {

constexpr std::size_t PieceBytes = 1000;
// More than the kernel buffers of a connection on loopback.
constexpr std::size_t Pieces = 16000;

std::string pieceOf(std::size_t number)
{
    return std::string(PieceBytes, static_cast<char>('a' + number % 23));
}

// Sends a streamed body whenever its caller isn't behind.
class PacedBody : public std::enable_shared_from_this<PacedBody>
{
public:
    explicit PacedBody(std::shared_ptr<Net::Exchange> exchange)
        : m_exchange(std::move(exchange))
    {
    }

    void start()
    {
        m_exchange->onReaderState([self = shared_from_this()](Net::ReaderState state) {
            CPPUNIT_ASSERT(self->m_isBehind == (state == Net::ReaderState::CaughtUp));
            self->m_isBehind = state == Net::ReaderState::Behind;
            ++self->changes;
            if (!self->m_isBehind) {
                self->sendOn();
            }
        });
        m_exchange->beginStream({});
        sendOn();
    }

    std::size_t changes = 0;

private:
    void sendOn()
    {
        while (!m_isBehind && m_sent < Pieces) {
            m_exchange->send(pieceOf(m_sent++));
        }
        if (m_sent == Pieces) {
            m_exchange->endStream();
        }
    }

    std::shared_ptr<Net::Exchange> m_exchange;
    std::size_t m_sent = 0;
    bool m_isBehind = false;
};

}

// What an exchange says of a caller that reads slowly.
class ReaderStateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReaderStateTest);
    CPPUNIT_TEST(callerThatPausesGetsTheWholeBodyWithinBoundedMemory);
    CPPUNIT_TEST(callerThatReadsNothingIsDisconnected);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a caller that is never reported to have caught up, whose response would stop, and against unsent
    // bytes beyond the high water mark though no more is sent to a caller that is behind.
    void callerThatPausesGetsTheWholeBodyWithinBoundedMemory()
    {
        Net::EventLoop loop;
        Net::BufferBudget budget(4U << 20U);
        std::size_t largest = 0;
        std::shared_ptr<PacedBody> body;
        Net::HttpServer server(loop, {.budget = &budget}, [&](const auto &exchange) {
            body = std::make_shared<PacedBody>(exchange);
            body->start();
            largest = std::max(largest, budget.used());
        });
        std::atomic<bool> isDone = false;
        std::string received;
        std::thread caller([&, port = server.port()] {
            const int connection = Net::connectTo(port);
            const std::string_view request = "GET / HTTP/1.0\r\n\r\n";
            send(connection, request.data(), request.size(), MSG_NOSIGNAL);
            std::this_thread::sleep_for(300ms);
            std::string buffer(65536, ' ');
            for (ssize_t count = 1; count > 0;) {
                count = recv(connection, buffer.data(), buffer.size(), 0);
                received.append(buffer, 0, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
            }
            close(connection);
            isDone = true;
        });
        std::function<void()> watch = [&] {
            largest = std::max(largest, budget.used());
            if (isDone) {
                loop.stop();
            }
            loop.runAfter(1ms, watch);
        };
        watch();
        loop.run();
        caller.join();
        std::string expected;
        for (std::size_t i = 0; i < Pieces; ++i) {
            expected += pieceOf(i);
        }
        CPPUNIT_ASSERT(received.ends_with(expected));
        CPPUNIT_ASSERT(body->changes >= 2 && body->changes % 2 == 0);
        // The high water mark, and as much that has been sent and isn't freed yet.
        CPPUNIT_ASSERT(largest <= 2 * 64 * 1024 + 2 * PieceBytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), budget.used());
    }

    // Guards against a response that is held for ever because nothing is sent to a caller that is behind, so that the
    // limit on its unsent bytes is never reached.
    void callerThatReadsNothingIsDisconnected()
    {
        Net::EventLoop loop;
        Net::BufferBudget budget(4U << 20U);
        std::shared_ptr<PacedBody> body;
        bool isClosed = false;
        Net::HttpServer server(loop, {.idleTimeoutSeconds = 1, .budget = &budget}, [&](const auto &exchange) {
            exchange->onClosed([&] {
                isClosed = true;
                loop.stop();
            });
            body = std::make_shared<PacedBody>(exchange);
            body->start();
        });
        const int connection = Net::connectTo(server.port());
        const std::string_view request = "GET / HTTP/1.0\r\n\r\n";
        send(connection, request.data(), request.size(), MSG_NOSIGNAL);
        loop.runAfter(6s, [&loop] {
            loop.stop();
        });
        loop.run();
        close(connection);
        CPPUNIT_ASSERT(isClosed);
        CPPUNIT_ASSERT(body->changes % 2 == 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), budget.used());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReaderStateTest);
