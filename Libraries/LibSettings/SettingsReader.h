#pragma once

#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace Settings {

// Settings that can't be used. Each mistake is one line: the setting's path, what was found, what is allowed.
class InvalidSettings : public std::runtime_error
{
public:
    explicit InvalidSettings(std::vector<std::string> mistakes);
    [[nodiscard]] const std::vector<std::string> &mistakes() const;

private:
    std::vector<std::string> m_mistakes;
};

// Reads one JSON object of the settings and gathers its mistakes, so that all are reported at once.
// Each member that is read counts as known; finish() reports the others.
class SettingsReader
{
public:
    SettingsReader(const nlohmann::json &json, std::string path, std::vector<std::string> &mistakes);

    [[nodiscard]] std::string text(const char *name);
    [[nodiscard]] std::string text(const char *name, std::string fallback);
    // "host:port" with an IPv4 address and a port from 1 to 65535.
    [[nodiscard]] std::string address(const char *name);
    // A list of such addresses, which may be missing.
    [[nodiscard]] std::vector<std::string> addresses(const char *name);
    [[nodiscard]] long long number(const char *name, long long fallback, long long least, long long most);
    // A number that needn't be whole.
    [[nodiscard]] double fraction(const char *name, double fallback, double least, double most);
    [[nodiscard]] std::string choice(const char *name, std::string fallback, const std::vector<std::string> &allowed);
    // Members of an object, which may be missing when it isn't required.
    [[nodiscard]] SettingsReader object(const char *name);
    // The objects of a list, which may be missing.
    [[nodiscard]] std::vector<SettingsReader> objects(const char *name);
    // Reports members that nothing has read.
    void finish();

private:
    [[nodiscard]] const nlohmann::json *find(const char *name);
    void report(const std::string &name, const std::string &found, const std::string &allowed);

    const nlohmann::json &m_json;
    std::string m_path;
    std::vector<std::string> &m_mistakes;
    std::set<std::string> m_known;
};

}
