#pragma once

#include <Tests/Scenario/World.h>
#include <functional>
#include <istream>
#include <map>
#include <memory>
#include <span>
#include <stdexcept>
#include <string>
#include <vector>

namespace Scenario {

// A scenario that failed; the text names its line and what was expected.
class ScriptFailure : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

using Words = std::span<const std::string>;

// The scenario language: one command a line, words separated by spaces, "#" begins a comment. docs/SCENARIOS.md
// lists the commands. Each command is a function of the world and the words after its name.
class Script
{
public:
    using Command = std::function<void(Script &, Words)>;

    explicit Script(std::uint64_t seed);

    // Adds a command; its name may be two words, for example "expect request".
    void add(const std::string &name, Command command);
    // Runs every line. Throws ScriptFailure at the first that fails.
    void run(std::istream &lines);

    [[nodiscard]] World &world();
    // Outcomes of the tickets submitted so far, by number.
    [[nodiscard]] std::map<std::string, std::string> &ticketOutcomes();

private:
    void runLine(const std::vector<std::string> &words);

    World m_world;
    std::map<std::string, Command> m_commands;
    std::map<std::string, std::string> m_ticketOutcomes;
};

// The value after a word, for example 2 in "engine e1 slots 2", or the fallback when the word is missing.
[[nodiscard]] std::string option(Words words, std::string_view name, const std::string &fallback);
// A duration such as "250ms" or "6s".
[[nodiscard]] Core::Duration parseDuration(const std::string &text);
// Throws ScriptFailure with the text unless the condition holds.
void expect(bool condition, const std::string &otherwise);

// Each slice's commands stand in a file of their own.
void addWorldCommands(Script &script);
void addFaultCommands(Script &script);
void addRequestCommands(Script &script);
void addTicketCommands(Script &script);
void addOwnershipCommands(Script &script);
void addStreamCommands(Script &script);
void addLeavingCommands(Script &script);
void addServiceCommands(Script &script);

}
