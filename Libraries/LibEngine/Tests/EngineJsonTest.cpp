#include <LibEngine/EngineJson.h>
#include <LibEngine/LineBuffer.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

class EngineJsonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineJsonTest);
    CPPUNIT_TEST(eventIsUnchangedByFormattingAndParsing);
    CPPUNIT_TEST(malformedLineThrowsJsonException);
    CPPUNIT_TEST(bytesSplitIntoSameLinesForAnyPieces);
    CPPUNIT_TEST_SUITE_END();

    void eventIsUnchangedByFormattingAndParsing()
    {
        const Engine::StreamEvent token = Engine::StreamToken {{"a"}, 3, "line\nfeed \"and\" quotes"};
        const auto read = Engine::eventFromLine(Engine::toLine(token));
        CPPUNIT_ASSERT_EQUAL(std::string("line\nfeed \"and\" quotes"), std::get<Engine::StreamToken>(read).text);
    }

    void malformedLineThrowsJsonException()
    {
        const auto valid = Engine::toLine(Engine::StreamHead {{"a"}, {"outline", "1"}, "e1#1"});
        const bool hasPassed = rc::check([&] {
            auto line = valid;
            const auto position = *rc::gen::inRange<std::size_t>(0, line.size());
            if (*rc::gen::arbitrary<bool>()) {
                line.resize(position);
            } else {
                line[position] = *rc::gen::arbitrary<char>();
            }
            try {
                (void)Engine::eventFromLine(line);
            } catch (const nlohmann::json::exception &) {
                return;
            }
        });
        CPPUNIT_ASSERT(hasPassed);
    }

    void bytesSplitIntoSameLinesForAnyPieces()
    {
        const bool hasPassed = rc::check([](const std::vector<std::string> &pieces) {
            std::string all;
            std::string joined;
            Engine::LineBuffer buffer;
            for (const auto &piece : pieces) {
                all += piece;
                RC_ASSERT(buffer.append(piece, [&](std::string_view line) {
                    joined += std::string(line) + '\n';
                }));
            }
            RC_ASSERT(joined + buffer.rest() == all);
        });
        CPPUNIT_ASSERT(hasPassed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineJsonTest);
