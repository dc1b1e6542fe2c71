#include <LibRoutes/RouteTable.h>
#include <cppunit/extensions/HelperMacros.h>
#include <map>

class RouteTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouteTableTest);
    CPPUNIT_TEST(longestMatchingPrefixIsSelected);
    CPPUNIT_TEST(olderConfigurationIsRejected);
    CPPUNIT_TEST(matchKeepsItsConfigurationAfterReplacement);
    CPPUNIT_TEST(attemptsAreDividedByServiceWeight);
    CPPUNIT_TEST(accountIsFoundByItsKeysOnly);
    CPPUNIT_TEST_SUITE_END();

    static Routes::RouteConfiguration configuration(std::uint64_t version, const std::vector<std::string> &prefixes)
    {
        Routes::RouteConfiguration result {.version = version};
        for (const auto &prefix : prefixes) {
            result.routes.push_back({.name = prefix, .host = "a.example", .prefix = prefix, .services = {{"s"}}});
        }
        return result;
    }

    void longestMatchingPrefixIsSelected()
    {
        Routes::RouteTable table;
        CPPUNIT_ASSERT(table.replace(configuration(1, {"/x/", "/x/y/", "/"})));
        CPPUNIT_ASSERT_EQUAL(std::string("/x/y/"), table.find("a.example", "/x/y/z?q=/").route->name);
        CPPUNIT_ASSERT_EQUAL(std::string("/x/"), table.find("A.example:8080", "/x/yy").route->name);
        CPPUNIT_ASSERT_EQUAL(std::string("/"), table.find("a.example", "/x?/x/y/").route->name);
        CPPUNIT_ASSERT(table.find("b.example", "/x/").route == nullptr);
    }

    // Guards against keys of a former configuration, and against an empty key that finds an account.
    void accountIsFoundByItsKeysOnly()
    {
        Routes::RouteTable table;
        auto first = configuration(1, {"/"});
        first.accounts = std::vector<Routes::ClientAccount> {{.name = "a", .keys = {"k1", "k2", ""}},
                                                             {.name = "b", .keys = {"k3"}}};
        CPPUNIT_ASSERT(table.replace(std::move(first)));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), table.findAccount("k2")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), table.findAccount("k3")->name);
        for (const auto *key : {"", "k", "k11", "K1"}) {
            CPPUNIT_ASSERT(table.findAccount(key) == nullptr);
        }
        auto second = configuration(2, {"/"});
        second.accounts = std::vector<Routes::ClientAccount> {{.name = "a", .keys = {"k2"}}};
        CPPUNIT_ASSERT(table.replace(std::move(second)));
        CPPUNIT_ASSERT(table.findAccount("k1") == nullptr);
        CPPUNIT_ASSERT(table.replace(configuration(3, {"/"})));
        CPPUNIT_ASSERT(table.findAccount("k2") == nullptr);
    }

    void olderConfigurationIsRejected()
    {
        Routes::RouteTable table;
        CPPUNIT_ASSERT(table.replace(configuration(5, {"/new/"})));
        CPPUNIT_ASSERT(!table.replace(configuration(4, {"/old/"})));
        CPPUNIT_ASSERT(table.find("a.example", "/old/").route == nullptr);
    }

    void matchKeepsItsConfigurationAfterReplacement()
    {
        Routes::RouteTable table;
        (void)table.replace(configuration(1, {"/x/"}));
        const auto match = table.find("a.example", "/x/");
        (void)table.replace(configuration(2, {"/y/"}));
        CPPUNIT_ASSERT_EQUAL(std::string("/x/"), match.route->prefix);
    }

    void attemptsAreDividedByServiceWeight()
    {
        Routes::Route route;
        route.services = {{.service = "s1", .weight = 90}, {.service = "s2", .weight = 10}};
        std::map<std::string, int> countsByService;
        for (int i = 0; i < 2000; ++i) {
            ++countsByService[Routes::chooseService(route, "attempt" + std::to_string(i))];
        }
        CPPUNIT_ASSERT(countsByService["s2"] > 130 && countsByService["s2"] < 270);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);
