#include <LibCore/JsonText.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

class JsonTextTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JsonTextTest);
    CPPUNIT_TEST(onlyUtf8IsRecognised);
    CPPUNIT_TEST(anyBytesGiveTextOrNoText);
    CPPUNIT_TEST_SUITE_END();

    void onlyUtf8IsRecognised()
    {
        for (const auto *text : {"", "m/a1", "r\xc3\xa9sum\xc3\xa9", "\xf0\x9f\x8c\x8a", "\x01\x7f"}) {
            CPPUNIT_ASSERT_MESSAGE(text, Core::isUtf8(text));
        }
        // A byte of Latin-1, a lone continuation, overlong forms, a surrogate, a number above U+10FFFF, a cut sequence.
        for (const auto *text :
             {"resum\xe9", "\x80", "\xc0\xaf", "\xe0\x80\xaf", "\xed\xa0\x80", "\xf4\x90\x80\x80", "a\xe2\x82"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !Core::isUtf8(text));
        }
    }

    // Text of another program ended a process, since dumping it threw an exception that nothing expected.
    void anyBytesGiveTextOrNoText()
    {
        const bool hasPassed = rc::check([] {
            const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
            const nlohmann::json json {{"name", bytes}};
            const auto exact = Core::toExactText(json);
            RC_ASSERT(exact.has_value() == Core::isUtf8(bytes));
            if (exact.has_value()) {
                RC_ASSERT(nlohmann::json::parse(*exact) == json);
            }
            RC_ASSERT(nlohmann::json::accept(Core::toDisplayText(json)));
        });
        CPPUNIT_ASSERT(hasPassed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTextTest);
