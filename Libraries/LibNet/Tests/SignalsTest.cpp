#include <LibNet/EventLoop.h>
#include <LibNet/Signals.h>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <cstdlib>
#include <new>
#include <pthread.h>
#include <thread>
#include <unistd.h>

using namespace std::chrono_literals;

namespace {

// Counts the allocations of a thread while a signal is being handled there.
thread_local bool isCountingAllocations = false;
thread_local int countedAllocations = 0;

}

void *operator new(std::size_t size)
{
    countedAllocations += isCountingAllocations ? 1 : 0;
    if (void *memory = std::malloc(size == 0 ? 1 : size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

class SignalsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SignalsTest);
    CPPUNIT_TEST(nothingIsAllocatedInSignalContext);
    CPPUNIT_TEST(signalBeforeTheLoopRunsIsHandled);
    CPPUNIT_TEST(stormOfSignalsEndsWithTheNewestState);
    CPPUNIT_TEST(signalDuringItsHandlerIsHandledOnceMore);
    CPPUNIT_TEST(writeToClosedPipeIsAnError);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a process that hangs for good because a signal interrupts malloc and its handler calls malloc. The
    // signal is handled inside raise(), so no chance is involved.
    void nothingIsAllocatedInSignalContext()
    {
        Net::EventLoop loop;
        int handled = 0;
        for (const int number : {SIGHUP, SIGTERM, SIGINT}) {
            loop.watchSignal(number, [&handled] {
                ++handled;
            });
        }
        countedAllocations = 0;
        for (const int number : {SIGHUP, SIGTERM, SIGINT}) {
            isCountingAllocations = true;
            raise(number);
            isCountingAllocations = false;
        }
        CPPUNIT_ASSERT_EQUAL(0, countedAllocations);
        CPPUNIT_ASSERT_EQUAL(0, handled);
        loop.runAfter(50ms, [&loop] {
            loop.stop();
        });
        loop.run();
        CPPUNIT_ASSERT_EQUAL(3, handled);
    }

    // Guards against a signal that ends the process, or is lost, while a program starts.
    void signalBeforeTheLoopRunsIsHandled()
    {
        Net::recordSignals({SIGHUP, SIGTERM});
        raise(SIGHUP);
        Net::EventLoop loop;
        int reloads = 0;
        loop.watchSignal(SIGHUP, [&reloads] {
            ++reloads;
        });
        loop.watchSignal(SIGTERM, [&loop] {
            loop.stop();
        });
        raise(SIGTERM);
        loop.run();
        CPPUNIT_ASSERT_EQUAL(1, reloads);
    }

    // Guards against a loop that stops for good, or misses the last of many signals. The loop allocates all the time:
    // a handler that allocates was seen to hang with one signal in a hundred at a less busy host, so that 20,000
    // signals would miss it with a chance of 0.99^20000.
    void stormOfSignalsEndsWithTheNewestState()
    {
        constexpr int Signals = 20000;
        std::atomic<int> newest = 0;
        int applied = 0;
        int reloads = 0;
        Net::EventLoop loop;
        loop.watchSignal(SIGHUP, [&] {
            ++reloads;
            applied = newest;
        });
        std::function<void()> allocate = [&] {
            const std::vector<std::string> garbage(20, std::string(100, 'x'));
            if (applied == Signals) {
                loop.stop();
            } else {
                loop.post(allocate);
            }
        };
        loop.post(allocate);
        std::thread sender([&newest, receiver = pthread_self()] {
            for (int i = 0; i < Signals; ++i) {
                ++newest;
                pthread_kill(receiver, SIGHUP);
                if (i % 10 == 0) {
                    std::this_thread::sleep_for(10us);
                }
            }
        });
        loop.run();
        sender.join();
        CPPUNIT_ASSERT_EQUAL(Signals, applied);
        CPPUNIT_ASSERT(reloads >= 1 && reloads <= Signals);
    }

    // Guards against a change that arrives while an earlier one is being applied getting lost.
    void signalDuringItsHandlerIsHandledOnceMore()
    {
        Net::EventLoop loop;
        int reloads = 0;
        loop.watchSignal(SIGHUP, [&] {
            if (++reloads == 1) {
                raise(SIGHUP);
            } else {
                loop.stop();
            }
        });
        raise(SIGHUP);
        loop.run();
        CPPUNIT_ASSERT_EQUAL(2, reloads);
    }

    void writeToClosedPipeIsAnError()
    {
        Net::ignoreBrokenPipes();
        int fds[2] {};
        CPPUNIT_ASSERT_EQUAL(0, pipe(fds));
        close(fds[0]);
        CPPUNIT_ASSERT(write(fds[1], "x", 1) < 0);
        close(fds[1]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SignalsTest);
