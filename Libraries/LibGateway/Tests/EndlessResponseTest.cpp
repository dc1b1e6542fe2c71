#include <LibGateway/Tests/ForwardingHarness.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

namespace {

constexpr std::size_t Megabyte = 1U << 20U;
// A host of 260 MB, one in four of which may be buffered.
constexpr std::size_t BudgetBytes = 65 * Megabyte;

Routes::Route streamRoute()
{
    return {
        .kind = Routes::RequestKind::Stream, .isResumable = true, .timeout = 15s, .objective = 800ms, .maxAttempts = 2};
}

Routes::Route safeRoute()
{
    return {.kind = Routes::RequestKind::Safe, .timeout = 15s, .objective = 15s, .maxAttempts = 2};
}

}

// What a host does with bytes that a replica sends without end. The pattern: one replica of three answers every request
// so, at a megabyte per second for each, while callers send 30 requests per second.
class EndlessResponseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndlessResponseTest);
    CPPUNIT_TEST(unusableHeadEndsTheAttempt);
    CPPUNIT_TEST(rejectionWithoutEndIsStillARejection);
    CPPUNIT_TEST(endlessBodiesStayWithinTheBudgetBesideSoundOnes);
    CPPUNIT_TEST(endlessEventsStayWithinTheBudget);
    CPPUNIT_TEST(replicaThatSendsWithoutEndIsAvoided);
    CPPUNIT_TEST_SUITE_END();

    Tests::ForwardingHarness m_host;
    Net::BufferBudget m_buffers {BudgetBytes};

    void list(std::size_t replicas)
    {
        std::vector<Fleet::Replica> listed;
        for (std::size_t i = 1; i <= replicas; ++i) {
            listed.push_back(Tests::ForwardingHarness::replica("r" + std::to_string(i), 1, 512));
        }
        m_host.list(listed);
        m_host.buffers = &m_buffers;
    }

    void sendBytes(std::size_t transfer, std::string_view bytes)
    {
        if (m_host.transport.transfers.at(transfer).isOpen) {
            const auto data = m_host.transport.transfers.at(transfer).data;
            data(200, bytes);
        }
    }

    // Guards against the body of a response being collected until the deadline though its head shows that it isn't the
    // response to the request.
    void unusableHeadEndsTheAttempt()
    {
        list(2);
        const auto caller = m_host.start(streamRoute(), {.attemptId = "a", .model = "m"});
        m_host.answerHead(0, 200, {{"Unstamped", "1"}});
        CPPUNIT_ASSERT(!m_host.transport.transfers.at(0).isOpen);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_host.transport.transfers.size());
        CPPUNIT_ASSERT(m_host.transport.transfers.at(0).replica != m_host.transport.transfers.at(1).replica);
        CPPUNIT_ASSERT(!caller->isEnded);
    }

    // Guards against a request that has not run being held until its deadline by the body of the rejection.
    void rejectionWithoutEndIsStillARejection()
    {
        list(2);
        const auto caller = m_host.start(safeRoute(), {.attemptId = "a"});
        m_host.answerHead(0, 503, {{"Not-Run", "1"}});
        for (int i = 0; i < 10; ++i) {
            sendBytes(0, std::string(10000, 'x'));
        }
        CPPUNIT_ASSERT(!m_host.transport.transfers.at(0).isOpen);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_host.transport.transfers.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_buffers.used());
    }

    // Guards against bodies that each stay within the limit of one response filling the memory of the host together,
    // and against sound large responses being given up for them.
    void endlessBodiesStayWithinTheBudgetBesideSoundOnes()
    {
        list(3);
        const std::string second(Megabyte / 10, 'x');
        std::vector<std::shared_ptr<Tests::CallerEnd>> sound;
        std::size_t number = 0;
        std::size_t largest = 0;
        // 15 s in steps of 100 ms. Endless responses have heads as sound ones do.
        for (int step = 0; step < 150; ++step) {
            for (int i = 0; i < 3; ++i) {
                const auto transfer = m_host.transport.transfers.size();
                const auto caller
                    = m_host.start({.kind = Routes::RequestKind::Unsafe, .timeout = 15s, .maxAttempts = 1},
                                   {.attemptId = "a" + std::to_string(++number)});
                if (m_host.transport.transfers.size() == transfer) {
                    continue; // No replica is left for it.
                }
                const bool isEndless = i == 0;
                m_host.answerHead(transfer, 200, isEndless ? Net::HttpFields {} : Net::HttpFields {{"Length", "yes"}});
                if (!isEndless) {
                    // Eight megabytes at once, or a small response.
                    const std::string body(step % 10 == 0 ? 8 * Megabyte : 800, 's');
                    sendBytes(transfer, body);
                    m_host.end(transfer, {.status = 200});
                    CPPUNIT_ASSERT_EQUAL(200U, caller->status);
                    CPPUNIT_ASSERT_EQUAL(body.size(), caller->body.size());
                    caller->body.clear();
                }
            }
            for (std::size_t i = 0; i < m_host.transport.transfers.size(); ++i) {
                sendBytes(i, second);
            }
            largest = std::max(largest, m_buffers.used());
            m_host.scheduler.advance(100ms);
        }
        CPPUNIT_ASSERT(number == 450);
        CPPUNIT_ASSERT(largest <= BudgetBytes);
        CPPUNIT_ASSERT(largest > BudgetBytes / 2);
        m_host.scheduler.advance(20s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_buffers.used());
    }

    // Guards against incomplete events of many streams, which have a limit each, filling the memory together.
    void endlessEventsStayWithinTheBudget()
    {
        list(1);
        std::vector<std::shared_ptr<Tests::CallerEnd>> callers;
        for (int i = 0; i < 200; ++i) {
            callers.push_back(m_host.start(streamRoute(), {.attemptId = "a" + std::to_string(i), .model = "m"}));
        }
        const auto streams = m_host.transport.transfers.size();
        for (std::size_t i = 0; i < streams; ++i) {
            m_host.answerHead(i, 200, {{"Stream", "yes"}});
        }
        std::size_t largest = 0;
        for (int piece = 0; piece < 9; ++piece) {
            for (std::size_t i = 0; i < streams; ++i) {
                sendBytes(i, std::string(Megabyte / 10, 'x'));
                largest = std::max(largest, m_buffers.used());
            }
        }
        CPPUNIT_ASSERT(streams > 100);
        CPPUNIT_ASSERT(largest > BudgetBytes / 2 && largest <= BudgetBytes);
    }

    // Guards against a replica in trouble looking busy and sound for as long as it sends.
    void replicaThatSendsWithoutEndIsAvoided()
    {
        list(3);
        int toFirst = 0;
        for (int i = 0; i < 300; ++i) {
            const auto transfer = m_host.transport.transfers.size();
            m_host.start(streamRoute(), {.attemptId = "a" + std::to_string(i), .model = "m"});
            for (auto next = transfer; next < m_host.transport.transfers.size(); ++next) {
                if (m_host.transport.transfers.at(next).replica == "r1") {
                    ++toFirst;
                    m_host.answerHead(next, 200, {{"Unstamped", "1"}});
                } else {
                    m_host.answerHead(next, 200, {{"Stream", "yes"}, {"Framed", "yes"}});
                    sendBytes(next, "id: 0\ndata: x\n\n");
                    m_host.end(next, {.status = 200});
                }
            }
            m_host.scheduler.advance(33ms);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(toFirst), toFirst < 30);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessResponseTest);
