#include <Tests/Scenario/Script.h>

#include <sstream>

namespace Scenario {

Script::Script(std::uint64_t seed)
    : m_world(seed)
{
    addWorldCommands(*this);
    addFaultCommands(*this);
    addRequestCommands(*this);
    addTicketCommands(*this);
    addOwnershipCommands(*this);
    addStreamCommands(*this);
    addLeavingCommands(*this);
    addServiceCommands(*this);
}

void Script::add(const std::string &name, Command command)
{
    m_commands[name] = std::move(command);
}

void Script::run(std::istream &lines)
{
    std::string line;
    for (int number = 1; std::getline(lines, line); ++number) {
        std::istringstream stream(line.substr(0, line.find('#')));
        std::vector<std::string> words;
        for (std::string word; stream >> word;) {
            words.push_back(word);
        }
        if (words.empty()) {
            continue;
        }
        try {
            runLine(words);
        } catch (const std::exception &error) {
            throw ScriptFailure("line " + std::to_string(number) + ": " + line + ": " + error.what());
        }
    }
}

void Script::runLine(const std::vector<std::string> &words)
{
    const Words all(words);
    if (words.size() > 1) {
        if (const auto found = m_commands.find(words[0] + " " + words[1]); found != m_commands.end()) {
            found->second(*this, all.subspan(2));
            return;
        }
    }
    const auto found = m_commands.find(words[0]);
    if (found == m_commands.end()) {
        throw ScriptFailure("unknown command");
    }
    found->second(*this, all.subspan(1));
}

World &Script::world()
{
    return m_world;
}

std::map<std::string, std::string> &Script::ticketOutcomes()
{
    return m_ticketOutcomes;
}

std::string option(Words words, std::string_view name, const std::string &fallback)
{
    for (std::size_t i = 0; i + 1 < words.size(); ++i) {
        if (words[i] == name) {
            return words[i + 1];
        }
    }
    return fallback;
}

Core::Duration parseDuration(const std::string &text)
{
    std::size_t digits = 0;
    const auto count = std::stoll(text, &digits);
    const auto unit = text.substr(digits);
    if (unit == "ms") {
        return std::chrono::milliseconds(count);
    }
    if (unit == "s") {
        return std::chrono::seconds(count);
    }
    throw ScriptFailure("\"" + text + "\" is no duration; write 250ms or 6s");
}

void expect(bool condition, const std::string &otherwise)
{
    if (!condition) {
        throw ScriptFailure(otherwise);
    }
}

}
