#include <currantbay/Commands.h>

#include <LibCore/HttpStatus.h>
#include <LibCore/JsonText.h>
#include <LibNet/HttpFields.h>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <platform/AccountKeyHeader.h>
#include <sstream>
#include <stdexcept>

namespace Client {

namespace {

using Json = nlohmann::json;

struct WhereOptions {
    std::string path;
    std::string method = "GET";
    std::vector<std::string> headers;
    std::string account;
    std::string keyFile;
    std::uint64_t bodyBytes = 0;
};

std::string trimmed(const std::string &text)
{
    constexpr auto Blanks = " \t\r\n";
    const auto begin = text.find_first_not_of(Blanks);
    return begin == std::string::npos ? "" : text.substr(begin, text.find_last_not_of(Blanks) - begin + 1);
}

// Throws std::invalid_argument, whose text doesn't show the key.
std::string readKey(const std::string &path)
{
    std::ifstream file(path);
    std::string line;
    if (!file || !std::getline(file, line) || trimmed(line).empty()) {
        throw std::invalid_argument(path + ": can't be read, or has no key in its first line");
    }
    return trimmed(line);
}

void addHeader(Json &headers, const std::string &text)
{
    const auto colon = text.find(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("a header isn't of the form \"NAME: VALUE\"");
    }
    const auto name = trimmed(text.substr(0, colon));
    if (Net::isSameName(name, PlatformAdapter::AccountKeyHeader)) {
        throw std::invalid_argument("give the key by --key-file: other users can see command lines");
    }
    if (!headers.contains(name)) {
        headers[name] = Json::array();
    }
    headers[name].push_back(trimmed(text.substr(colon + 1)));
}

// The head of the request as JSON text. Throws std::invalid_argument if an option can't be used.
std::string questionFrom(const WhereOptions &options)
{
    Json question {{"method", options.method}, {"path", options.path}, {"bodyBytes", options.bodyBytes}};
    auto &headers = question["headers"] = Json::object();
    for (const auto &header : options.headers) {
        addHeader(headers, header);
    }
    if (!options.keyFile.empty()) {
        headers[std::string(PlatformAdapter::AccountKeyHeader)] = readKey(options.keyFile);
    }
    if (!options.account.empty()) {
        question["account"] = options.account;
    }
    const auto text = Core::toExactText(question);
    if (!text.has_value()) {
        throw std::invalid_argument("an option or the key isn't UTF-8");
    }
    return *text;
}

std::string number(double value)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << value;
    return text.str();
}

std::string share(double value)
{
    constexpr double Percent = 100;
    std::ostringstream text;
    text << std::fixed << std::setprecision(0) << value * Percent << '%';
    return text.str();
}

bool isTrue(const Json &json, const char *member)
{
    return json.value(member, false);
}

// What distinguishes a replica from one that is simply compared.
std::string notesOn(const Json &replica, const Json &answer)
{
    std::vector<std::string> notes;
    const auto name = replica.value("replica", "");
    if (answer.value("choice", "") == name) {
        notes.emplace_back("chosen");
    }
    if (answer.value("passedOver", "") == name) {
        notes.emplace_back("passed over");
    }
    if (const auto exclusion = replica.value("exclusion", "none"); exclusion != "none") {
        notes.push_back("excluded: " + exclusion);
    } else if (!isTrue(replica, "isCompared")) {
        notes.emplace_back("not compared");
    }
    if (replica.contains("pauseLeftMs")) {
        notes.push_back("paused for " + number(replica.value("pauseLeftMs", 0.0)) + " ms");
    }
    if (isTrue(replica, "isBlocked")) {
        notes.emplace_back("unreachable lately");
    }
    for (const auto &[member, text] : {std::pair("usedRequestLimit", "of its request limit used"),
                                       std::pair("usedReturnLimit", "of its limit after the return used")}) {
        if (const auto used = replica.value(member, 0.0); used > 0) {
            notes.push_back(share(used) + ' ' + text);
        }
    }
    if (const auto admitted = replica.value("admissionShare", 1.0); admitted < 1) {
        notes.push_back("gets " + share(admitted) + " of the requests");
    }
    std::string joined;
    for (const auto &note : notes) {
        joined += (joined.empty() ? "" : "; ") + note;
    }
    return joined;
}

// The parts of the expected delay that aren't zero.
std::string partsOf(const Json &replica)
{
    const auto parts = replica.value("delayPartsMs", Json::object());
    std::string text;
    for (const auto &[name, part] : parts.items()) {
        if (part.is_number() && part != 0) {
            text += (text.empty() ? "" : " ") + name + '=' + number(part.get<double>());
        }
    }
    return text;
}

std::string usedOf(const Json &replica, const char *used, const char *total)
{
    return replica.value(used, Json()).dump() + '/' + replica.value(total, Json()).dump();
}

void printCandidates(const Json &answer)
{
    auto rows = Json::array();
    for (const auto &replica : answer["candidates"]) {
        const bool isPriced = replica.contains("expectedDelayMs");
        rows.push_back({{"replica", replica.value("replica", "")},
                        {"zone", replica.value("zone", "")},
                        {"adapter", replica.value("adapterState", "-")},
                        {"active", usedOf(replica, "active", "slots")},
                        {"waiting", replica.value("waitingPromptTokens", 0)},
                        {"memory", usedOf(replica, "usedMemoryTokens", "memoryTokens")},
                        {"speed", number(replica.value("speed", 1.0))},
                        {"delay", isPriced ? number(replica.value("expectedDelayMs", 0.0)) : "-"},
                        {"parts", partsOf(replica)},
                        {"notes", notesOn(replica, answer)}});
    }
    printTable(rows,
               std::vector<Column> {{"REPLICA", "replica"},
                                    {"ZONE", "zone"},
                                    {"ADAPTER", "adapter"},
                                    {"ACTIVE", "active"},
                                    {"WAITING", "waiting"},
                                    {"MEMORY", "memory"},
                                    {"SPEED", "speed"},
                                    {"DELAY MS", "delay"},
                                    {"NOTES", "notes"},
                                    {"PARTS OF THE DELAY", "parts"}});
}

void printAccount(const Json &account)
{
    std::cout << "account: " << (account.value("name", "").empty() ? "none needed" : account.value("name", ""));
    if (const auto allowance = account.find("allowance"); allowance != account.end()) {
        std::cout << ", costs " << account.value("cost", Json()) << " of "
                  << (*allowance).value("ratePerSecond", Json()) << ' ' << (*allowance).value("unit", "")
                  << " per second, burst " << (*allowance).value("burst", Json())
                  << " (whether they are left isn't checked)";
    }
    std::cout << '\n';
}

void printAnswer(const Json &answer)
{
    std::cout << "host: " << answer.value("host", "") << ", zone " << answer.value("zone", "") << ", configuration "
              << answer.value("configuration", Json("none")) << '\n';
    if (answer.contains("route")) {
        std::cout << "route: " << answer.value("route", "") << ", service " << answer.value("service", "") << '\n';
    }
    if (const auto request = answer.find("request"); request != answer.end() && isTrue(*request, "isIdMadeUp")) {
        std::cout << "request: it has no identifier; another one may go elsewhere\n";
    }
    if (const auto account = answer.find("account"); account != answer.end()) {
        printAccount(*account);
    }
    if (answer.contains("priority")) {
        std::cout << "priority: " << answer["priority"] << '\n';
    }
    if (const auto adapter = answer.find("adapter"); adapter != answer.end()) {
        std::cout << "adapter: " << adapter->value("name", "") << ", newest version "
                  << adapter->value("newestVersion", Json()) << '\n';
    }
    if (const auto candidates = answer.find("candidates"); candidates != answer.end() && !candidates->empty()) {
        printCandidates(answer);
    }
    if (const auto refusal = answer.find("refusal"); refusal != answer.end()) {
        std::cout << "would be refused: " << refusal->value("status", Json()) << ", " << refusal->value("reason", "");
        if (refusal->contains("retryAfterMs")) {
            std::cout << ", retry after " << (*refusal)["retryAfterMs"] << " ms";
        }
        std::cout << '\n';
    } else {
        std::cout << "would be sent to: " << answer.value("choice", "") << '\n';
    }
}

// A host that answers without an explanation, such as one without this interface.
ExitCode reportNoExplanation(const ApiAnswer &answer)
{
    const auto json = answer.json();
    const bool hasReason = json.is_object() && json.contains("error") && json["error"].is_string();
    std::cerr << "answered with status " << answer.status
              << (hasReason ? ": " + json["error"].get<std::string>() : std::string()) << '\n';
    return answer.status == Core::HttpStatus::BadRequest ? ExitCode::BadInput : ExitCode::Unknown;
}

ExitCode where(const CommonOptions &common, const WhereOptions &options)
{
    std::string question;
    try {
        question = questionFrom(options);
    } catch (const std::invalid_argument &error) {
        std::cerr << error.what() << '\n';
        return ExitCode::BadInput;
    }
    const auto answer = ApiClient(common.connection).call("POST", "/operator/where", question);
    if (!answer.error.empty()) {
        return reportFailure(answer);
    }
    if (!answer.isSuccess()) {
        return reportNoExplanation(answer);
    }
    const auto json = answer.json();
    if (!json.is_object() || json.contains("choice") == json.contains("refusal")) {
        return reportMalformed(answer);
    }
    try {
        const auto shown = show(common, answer, {"host", "zone"}, printAnswer);
        return shown == ExitCode::Done && json.contains("refusal") ? ExitCode::Refused : shown;
    } catch (const Json::exception &) {
        return reportMalformed(answer);
    }
}

}

void addWhereCommand(CLI::App &app, const CommonOptions &common, ExitCode &exitCode)
{
    auto *command = app.add_subcommand("where", "Ask a gateway where a request would go, without sending it");
    auto options = std::make_shared<WhereOptions>();
    command->add_option("path", options->path, "Path and query of the request")->required();
    command->add_option("--method", options->method, "Method of the request; GET if not given");
    command->add_option("--header", options->headers, "\"NAME: VALUE\", any number of times")->allow_extra_args(false);
    auto *account = command->add_option("--account", options->account, "Name of the account, in place of a key");
    command->add_option("--key-file", options->keyFile, "File with the account's key in its first line")
        ->excludes(account);
    command->add_option("--body-bytes", options->bodyBytes, "Size of the body; 0 if not given");
    command->footer(
        "The address is that of the host's metrics (listen.metrics). Nothing is sent to a replica, and nothing\n"
        "is counted or taken from an allowance. The key of an account is read only from a file, since\n"
        "other users can see command lines.\n"
        "Example: currantbay --address 10.3.64.11:9464 where --method POST --header 'Host: api.example' \\\n"
        "             --header 'X-Model: base/a1' --account acme /stream/x\n"
        "Exit codes: 0 it would be sent; 1 it would be refused; 2 bad command line or file; 3 no answer.");
    command->callback([&common, &exitCode, options] {
        exitCode = where(common, *options);
    });
}

}
