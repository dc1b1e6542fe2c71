#include <currantbay/Commands.h>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace Client {

namespace {

constexpr auto AccountsPath = "/operator/accounts";

const std::vector<Column> &columns()
{
    static const std::vector<Column> all {{"NAME", "name"},
                                          {"SERVED", "served"},
                                          {"429", "refused429"},
                                          {"503", "refused503"},
                                          {"USED/S", "usedPerSecond"},
                                          {"RATE/S", "ratePerSecond"},
                                          {"BURST", "burst"},
                                          {"UNIT", "unit"},
                                          {"BORROWED", "borrowed"},
                                          {"REFUSED MS", "refusedUntilMs"},
                                          {"NO LENDER", "withoutLender"},
                                          {"LENDERS", "lenders"},
                                          {"LEVEL", "lentLevel"},
                                          {"LENT/S", "lentPerSecond"}};
    return all;
}

// The account with values as people read them: amounts with one decimal place, and null as nothing.
nlohmann::json readable(nlohmann::json account)
{
    for (auto &value : account) {
        if (value.is_number_float()) {
            std::ostringstream text;
            text << std::fixed << std::setprecision(1) << value.get<double>();
            value = text.str();
        } else if (value.is_null()) {
            value = "";
        }
    }
    return account;
}

// Whether the answer has a list of accounts, each with a name.
bool isWhole(const nlohmann::json &answer)
{
    if (!answer.is_object() || !answer.contains("accounts") || !answer["accounts"].is_array()) {
        return false;
    }
    return std::ranges::all_of(answer["accounts"], [](const auto &account) {
        return account.is_object() && account.contains("name") && account["name"].is_string();
    });
}

void printAccounts(const nlohmann::json &accounts)
{
    auto rows = nlohmann::json::array();
    for (const auto &account : accounts) {
        rows.push_back(readable(account));
    }
    printTable(rows, columns());
}

void printAccount(const nlohmann::json &account)
{
    const auto lines = readable(account);
    for (const auto &[member, value] : lines.items()) {
        std::cout << member << ": " << (value.is_string() ? value.get<std::string>() : value.dump()) << '\n';
    }
}

ExitCode list(const CommonOptions &common)
{
    const auto answer = ApiClient(common.connection).call("GET", AccountsPath);
    if (answer.isSuccess() && !isWhole(answer.json())) {
        return reportMalformed(answer);
    }
    return show(common, answer, {"host", "configuration", "accounts"}, [](const nlohmann::json &json) {
        printAccounts(json["accounts"]);
    });
}

ExitCode showOne(const CommonOptions &common, const std::string &name)
{
    const auto answer = ApiClient(common.connection).call("GET", AccountsPath);
    if (!answer.isSuccess()) {
        return reportFailure(answer);
    }
    const auto json = answer.json();
    if (!isWhole(json)) {
        return reportMalformed(answer);
    }
    const auto &accounts = json["accounts"];
    const auto found = std::ranges::find_if(accounts, [&name](const auto &account) {
        return account["name"] == name;
    });
    if (found == accounts.end()) {
        std::cerr << "not-found: the configuration of this host has no account \"" << name << "\"\n"
                  << "what to do: see currantbay allowance list\n";
        return ExitCode::Refused;
    }
    if (common.form == OutputForm::Json) {
        std::cout << found->dump() << '\n';
    } else {
        printAccount(*found);
    }
    return ExitCode::Done;
}

}

void addAllowanceCommands(CLI::App &app, const CommonOptions &common, ExitCode &exitCode)
{
    auto *allowance = app.add_subcommand("allowance", "Accounts, their allowances and what they have used at one host");
    allowance->require_subcommand(1);
    auto *listCommand = allowance->add_subcommand("list", "Print them all");
    listCommand->footer("The address is the host's listen.metrics. Amounts are in the unit of the account.\n"
                        "Example: currantbay allowance list --address 10.0.0.5:9464");
    listCommand->callback([&common, &exitCode] {
        exitCode = list(common);
    });
    auto name = std::make_shared<std::string>();
    auto *showCommand = allowance->add_subcommand("show", "Print one");
    showCommand->add_option("name", *name, "The name of the account")->required();
    showCommand->footer("Example: currantbay allowance show acme --address 10.0.0.5:9464");
    showCommand->callback([&common, &exitCode, name] {
        exitCode = showOne(common, *name);
    });
}

}
