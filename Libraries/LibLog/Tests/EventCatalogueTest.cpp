#include <LibLog/EventCatalogue.h>
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <map>
#include <sstream>
#include <string>

class EventCatalogueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventCatalogueTest);
    CPPUNIT_TEST(documentationAndCatalogueListSameEvents);
    CPPUNIT_TEST_SUITE_END();

    // Returns the names of the events in the table of docs/EVENTS.md, by number.
    static std::map<int, std::string> readDocumentedEvents()
    {
        std::ifstream page(CURRANTBAY_SOURCE_ROOT "/docs/EVENTS.md");
        CPPUNIT_ASSERT(page.is_open());
        std::map<int, std::string> events;
        for (std::string line; std::getline(page, line);) {
            int number = 0;
            std::string bar;
            std::string name;
            std::istringstream row(line);
            if (row >> bar >> number >> bar >> name && line.starts_with("| ")) {
                CPPUNIT_ASSERT_MESSAGE("listed twice: " + line, events.emplace(number, name).second);
                CPPUNIT_ASSERT_MESSAGE("not four columns: " + line, std::count(line.begin(), line.end(), '|') == 5);
            }
        }
        return events;
    }

    void documentationAndCatalogueListSameEvents()
    {
        std::map<int, std::string> code;
        for (const auto &[event, severity, name] : Log::EventCatalogue) {
            CPPUNIT_ASSERT(code.emplace(static_cast<int>(event), name).second);
        }
        const auto page = readDocumentedEvents();
        for (const auto &[number, name] : code) {
            const auto found = page.find(number);
            CPPUNIT_ASSERT_MESSAGE(name + " isn't in docs/EVENTS.md", found != page.end());
            CPPUNIT_ASSERT_EQUAL(name, found->second);
        }
        for (const auto &[number, name] : page) {
            CPPUNIT_ASSERT_MESSAGE(name + " isn't in the code", code.contains(number));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventCatalogueTest);
