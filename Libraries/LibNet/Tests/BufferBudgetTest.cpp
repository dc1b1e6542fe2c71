#include <LibNet/BufferBudget.h>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <rapidcheck.h>
#include <vector>

using Net::BufferBudget;
using Net::BufferEnd;

namespace {

// A buffer that releases its bytes when they are reclaimed.
struct Buffer {
    BufferBudget::Reservation bytes;
    bool isReclaimed = false;

    Buffer(BufferBudget &budget, BufferEnd end)
    {
        bytes.attach(&budget, [this] {
            isReclaimed = true;
            bytes.release();
        });
        bytes.setEnd(end);
    }
};

}

class BufferBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BufferBudgetTest);
    CPPUNIT_TEST(largestBufferWithoutKnownEndIsReclaimed);
    CPPUNIT_TEST(bufferThatIsTheWorstChoiceIsRefused);
    CPPUNIT_TEST(workUsesHalfAndMakesRoomForItself);
    CPPUNIT_TEST(limitHoldsWhateverHappens);
    CPPUNIT_TEST_SUITE_END();

    // Guards against sound responses being given up for one that has no end.
    void largestBufferWithoutKnownEndIsReclaimed()
    {
        BufferBudget budget(100);
        Buffer sound(budget, BufferEnd::Known);
        Buffer small(budget, BufferEnd::Unknown);
        Buffer large(budget, BufferEnd::Unknown);
        CPPUNIT_ASSERT(sound.bytes.resize(60) && small.bytes.resize(10) && large.bytes.resize(20));
        Buffer next(budget, BufferEnd::Known);
        CPPUNIT_ASSERT(next.bytes.resize(25));
        CPPUNIT_ASSERT(large.isReclaimed && !small.isReclaimed && !sound.isReclaimed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(95), budget.used());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), budget.reclaimed());
    }

    void bufferThatIsTheWorstChoiceIsRefused()
    {
        BufferBudget budget(100);
        Buffer sound(budget, BufferEnd::Known);
        Buffer endless(budget, BufferEnd::Unknown);
        CPPUNIT_ASSERT(sound.bytes.resize(60) && endless.bytes.resize(40));
        CPPUNIT_ASSERT(!endless.bytes.resize(41));
        CPPUNIT_ASSERT_EQUAL(std::size_t(40), endless.bytes.size());
        CPPUNIT_ASSERT(!sound.isReclaimed);
    }

    // Guards against requests being refused because responses of a replica in trouble fill the memory.
    void workUsesHalfAndMakesRoomForItself()
    {
        BufferBudget budget(100);
        Buffer endless(budget, BufferEnd::Unknown);
        CPPUNIT_ASSERT(endless.bytes.resize(100));
        BufferBudget::Reservation work;
        work.attach(&budget);
        CPPUNIT_ASSERT(budget.hasRoomForWork(50) && !budget.hasRoomForWork(51));
        CPPUNIT_ASSERT(work.resize(50));
        CPPUNIT_ASSERT(endless.isReclaimed);
        CPPUNIT_ASSERT(!work.resize(51) && !budget.hasRoomForWork(1));
        work.release();
        CPPUNIT_ASSERT(budget.hasRoomForWork(50));
    }

    // Compares with the plain sum of the sizes, over any order of changes.
    void limitHoldsWhateverHappens()
    {
        const bool hasPassed = rc::check("the sum of all buffers stays within the limit", [] {
            constexpr std::size_t Limit = 1000;
            BufferBudget budget(Limit);
            std::vector<std::unique_ptr<Buffer>> buffers;
            for (int step = 0; step < 200; ++step) {
                const auto index = *rc::gen::inRange<std::size_t>(0, 20);
                const auto size = *rc::gen::inRange<std::size_t>(0, 400);
                const auto end = *rc::gen::element(BufferEnd::Known, BufferEnd::Unknown);
                if (index >= buffers.size()) {
                    buffers.push_back(std::make_unique<Buffer>(budget, end));
                } else if (size == 0) {
                    buffers.erase(buffers.begin() + static_cast<std::ptrdiff_t>(index));
                } else {
                    const auto before = buffers[index]->bytes.size();
                    const bool isResized = buffers[index]->bytes.resize(size);
                    RC_ASSERT(buffers[index]->bytes.size() == (isResized ? size : before));
                }
                std::size_t sum = 0;
                for (const auto &buffer : buffers) {
                    sum += buffer->bytes.size();
                }
                RC_ASSERT(sum == budget.used() && sum <= Limit);
            }
        });
        CPPUNIT_ASSERT(hasPassed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BufferBudgetTest);
