#include <LibNet/Tests/LoopbackServer.h>
#include <cppunit/extensions/HelperMacros.h>
#include <currantbay/Commands.h>
#include <iostream>
#include <sstream>

// The commands against a host on loopback that gives one answer.
class AllowanceCommandsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AllowanceCommandsTest);
    CPPUNIT_TEST(listIsATableWithoutNulls);
    CPPUNIT_TEST(showPrintsOneAccount);
    CPPUNIT_TEST(unknownAccountIsRefused);
    CPPUNIT_TEST(reasonOfARefusalIsPrinted);
    CPPUNIT_TEST(answerOfAnotherKindIsNoAnswer);
    CPPUNIT_TEST(thousandsOfAccountsAreListed);
    CPPUNIT_TEST_SUITE_END();

    static constexpr auto Answer = R"({"host":"h1","configuration":3,"accounts":[)"
                                   R"({"name":"acme","usedPerSecond":7.55,"ratePerSecond":60.0,"served":4},)"
                                   R"({"name":"small","usedPerSecond":null,"ratePerSecond":null,"served":9}]})";

    struct Outcome {
        Client::ExitCode exitCode = Client::ExitCode::Done;
        std::string printed; // On both outputs.
    };

    static Outcome run(const std::string &arguments, const std::string &body, const std::string &status = "200 OK",
                       Client::OutputForm form = Client::OutputForm::People)
    {
        const Net::LoopbackServer server([&](int connection) {
            std::string received;
            char byte = 0;
            while (!received.ends_with("\r\n\r\n") && recv(connection, &byte, 1, 0) == 1) {
                received += byte;
            }
            const bool isExpected = received.starts_with("GET /operator/accounts HTTP/1.1\r\n");
            Net::writeText(connection,
                           "HTTP/1.1 " + (isExpected ? status : "404 Not Found") + "\r\nConnection: close\r\n\r\n"
                               + body);
        });
        const Client::CommonOptions common {
            .connection = {.address = "127.0.0.1:" + std::to_string(server.port), .token = {}}, .form = form};
        Outcome outcome;
        CLI::App app;
        Client::addAllowanceCommands(app, common, outcome.exitCode);
        std::ostringstream printed;
        auto *output = std::cout.rdbuf(printed.rdbuf());
        auto *errors = std::cerr.rdbuf(printed.rdbuf());
        app.parse("allowance " + arguments);
        std::cout.rdbuf(output);
        std::cerr.rdbuf(errors);
        outcome.printed = printed.str();
        return outcome;
    }

    void listIsATableWithoutNulls()
    {
        const auto [exitCode, printed] = run("list", Answer);
        CPPUNIT_ASSERT(exitCode == Client::ExitCode::Done);
        CPPUNIT_ASSERT_MESSAGE(printed, printed.starts_with("NAME   SERVED"));
        CPPUNIT_ASSERT_MESSAGE(printed, printed.find("60.0") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(printed, printed.find("null") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string(Answer) + '\n',
                             run("list", Answer, "200 OK", Client::OutputForm::Json).printed);
    }

    void showPrintsOneAccount()
    {
        const auto [exitCode, printed] = run("show small", Answer);
        CPPUNIT_ASSERT(exitCode == Client::ExitCode::Done);
        CPPUNIT_ASSERT_MESSAGE(printed, printed.find("served: 9\n") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(printed, printed.find("acme") == std::string::npos);
        const auto json = run("show acme", Answer, "200 OK", Client::OutputForm::Json).printed;
        CPPUNIT_ASSERT_EQUAL(nlohmann::json::parse(Answer)["accounts"][0], nlohmann::json::parse(json));
    }

    void unknownAccountIsRefused()
    {
        const auto [exitCode, printed] = run("show nobody", Answer);
        CPPUNIT_ASSERT(exitCode == Client::ExitCode::Refused);
        CPPUNIT_ASSERT_MESSAGE(printed, printed.starts_with("not-found: "));
    }

    void reasonOfARefusalIsPrinted()
    {
        const auto [exitCode, printed] = run("list", R"({"error":"no such path"})", "404 Not Found");
        CPPUNIT_ASSERT(exitCode == Client::ExitCode::Refused);
        CPPUNIT_ASSERT_EQUAL(std::string("refused with status 404: no such path\n"), printed);
    }

    // Guards against an address of another interface, such as the metrics of an older host.
    void answerOfAnotherKindIsNoAnswer()
    {
        for (const auto *body :
             {"currantbay_open_exchanges 1\n", R"({"host":"h1","configuration":3,"accounts":[1]})"}) {
            CPPUNIT_ASSERT(run("list", body).exitCode == Client::ExitCode::Unknown);
            CPPUNIT_ASSERT(run("show acme", body).exitCode == Client::ExitCode::Unknown);
        }
    }

    // Guards against a table whose time grows with the square of its rows: minutes for this many.
    void thousandsOfAccountsAreListed()
    {
        nlohmann::json answer {{"host", "h1"}, {"configuration", 3}, {"accounts", nlohmann::json::array()}};
        for (int number = 0; number < 5000; ++number) {
            answer["accounts"].push_back({{"name", "account-" + std::to_string(number)}, {"served", number}});
        }
        const auto printed = run("list", answer.dump()).printed;
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(5001), std::count(printed.begin(), printed.end(), '\n'));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AllowanceCommandsTest);
