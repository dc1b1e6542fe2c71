#include <cppunit/extensions/HelperMacros.h>
#include <currantbayd/AccountsAnswer.h>

using namespace std::chrono_literals;

class AccountsAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AccountsAnswerTest);
    CPPUNIT_TEST(lenderTellsWhatItHasLent);
    CPPUNIT_TEST(borrowerHasNoMembersOfALender);
    CPPUNIT_TEST(accountWithoutLimitHasNoRate);
    CPPUNIT_TEST(hostWithoutConfigurationHasNoAccounts);
    CPPUNIT_TEST_SUITE_END();

    Gateway::AccountOverview::Account m_account {
        .name = "acme",
        .priority = 2,
        .unit = Routes::AllowanceUnit::Tokens,
        .ratePerSecond = 60000,
        .burst = 90000,
        .keyCount = 2,
        .allowance = Accounts::AllowanceOverview {.lenders = {{"h1"}, {"h2"}},
                                                  .lent = Accounts::LentOverview {.level = -1.23456, .perSecond = 40},
                                                  .borrowed = {.unused = 120,
                                                               .usedPerSecond = 7.5,
                                                               .refusedFor = 340ms,
                                                               .isWithoutLender = true}},
        .counts = {.served = 4, .refused429 = 5, .refused503 = 6}};

    [[nodiscard]] nlohmann::json describe() const
    {
        return Daemon::accountsAnswer({.host = {"h1"}, .configuration = 3, .accounts = {m_account}});
    }

    void lenderTellsWhatItHasLent()
    {
        const auto expected = nlohmann::json::parse(R"({"host":"h1","configuration":3,"accounts":[{"name":"acme",
            "priority":2,"ratePerSecond":60000.0,"burst":90000.0,"unit":"tokens","keys":2,"lenders":["h1","h2"],
            "isLender":true,"lentLevel":-1.235,"lentPerSecond":40.0,"borrowed":120.0,"usedPerSecond":7.5,
            "refusedUntilMs":340,"withoutLender":true,"served":4,"refused429":5,"refused503":6}]})");
        CPPUNIT_ASSERT_EQUAL(expected, describe());
    }

    void borrowerHasNoMembersOfALender()
    {
        m_account.allowance->lent.reset();
        const auto account = describe()["accounts"][0];
        CPPUNIT_ASSERT_EQUAL(nlohmann::json(false), account["isLender"]);
        CPPUNIT_ASSERT(!account.contains("lentLevel") && !account.contains("lentPerSecond"));
    }

    // Guards against a limit of zero, which would mean that the account may send nothing.
    void accountWithoutLimitHasNoRate()
    {
        m_account.allowance.reset();
        const auto account = describe()["accounts"][0];
        CPPUNIT_ASSERT(account["ratePerSecond"].is_null() && account["usedPerSecond"].is_null());
        CPPUNIT_ASSERT(account["lenders"].empty());
        CPPUNIT_ASSERT_EQUAL(nlohmann::json(4), account["served"]);
    }

    void hostWithoutConfigurationHasNoAccounts()
    {
        const auto expected = nlohmann::json::parse(R"({"host":"h1","configuration":null,"accounts":[]})");
        CPPUNIT_ASSERT_EQUAL(expected, Daemon::accountsAnswer({.host = {"h1"}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountsAnswerTest);
