#include <LibSettings/SettingsReader.h>

#include <LibCore/SocketAddress.h>
#include <algorithm>

namespace Settings {

namespace {

const nlohmann::json &emptyObject()
{
    static const auto empty = nlohmann::json::object();
    return empty;
}

std::string join(const std::vector<std::string> &parts, std::string_view separator)
{
    std::string joined;
    for (const auto &part : parts) {
        joined += (joined.empty() ? "" : std::string(separator)) + part;
    }
    return joined;
}

}

InvalidSettings::InvalidSettings(std::vector<std::string> mistakes)
    : std::runtime_error(join(mistakes, "\n"))
    , m_mistakes(std::move(mistakes))
{
}

const std::vector<std::string> &InvalidSettings::mistakes() const
{
    return m_mistakes;
}

SettingsReader::SettingsReader(const nlohmann::json &json, std::string path, std::vector<std::string> &mistakes)
    : m_json(json.is_object() ? json : emptyObject())
    , m_path(std::move(path))
    , m_mistakes(mistakes)
{
    if (!json.is_object()) {
        m_mistakes.push_back((m_path.empty() ? "settings" : m_path) + ": found " + json.type_name()
                             + "; expected an object");
    }
}

std::string SettingsReader::text(const char *name)
{
    if (const auto *value = find(name); value == nullptr) {
        report(name, "nothing", "a text");
    } else if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
        report(name, value->dump(), "a text that isn't empty");
    } else {
        return value->get<std::string>();
    }
    return {};
}

std::string SettingsReader::text(const char *name, std::string fallback)
{
    return find(name) == nullptr ? std::move(fallback) : text(name);
}

std::string SettingsReader::address(const char *name)
{
    auto value = text(name);
    if (!value.empty() && !Core::parseSocketAddress(value).has_value()) {
        report(name, '"' + value + '"', "\"IPv4 address:port\" with a port from 1 to 65535");
    }
    return value;
}

std::vector<std::string> SettingsReader::addresses(const char *name)
{
    std::vector<std::string> values;
    const auto *list = find(name);
    if (list == nullptr) {
        return values;
    }
    const bool isValid
        = list->is_array() && std::all_of(list->begin(), list->end(), [](const auto &value) {
              return value.is_string() && Core::parseSocketAddress(value.template get<std::string>()).has_value();
          });
    if (!isValid) {
        report(name, list->dump(), "a list of \"IPv4 address:port\"");
        return values;
    }
    return list->get<std::vector<std::string>>();
}

long long SettingsReader::number(const char *name, long long fallback, long long least, long long most)
{
    const auto *value = find(name);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_number_integer() || *value < least || *value > most) {
        report(name, value->dump(), "a whole number from " + std::to_string(least) + " to " + std::to_string(most));
        return fallback;
    }
    return value->get<long long>();
}

double SettingsReader::fraction(const char *name, double fallback, double least, double most)
{
    const auto *value = find(name);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_number() || value->get<double>() < least || value->get<double>() > most) {
        report(name, value->dump(), "a number from " + std::to_string(least) + " to " + std::to_string(most));
        return fallback;
    }
    return value->get<double>();
}

std::string SettingsReader::choice(const char *name, std::string fallback, const std::vector<std::string> &allowed)
{
    const auto *value = find(name);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_string() || std::find(allowed.begin(), allowed.end(), value->get<std::string>()) == allowed.end()) {
        report(name, value->dump(), "one of \"" + join(allowed, "\", \"") + '"');
        return fallback;
    }
    return value->get<std::string>();
}

SettingsReader SettingsReader::object(const char *name)
{
    const auto *value = find(name);
    return {value == nullptr ? emptyObject() : *value, m_path.empty() ? name : m_path + "." + name, m_mistakes};
}

std::vector<SettingsReader> SettingsReader::objects(const char *name)
{
    std::vector<SettingsReader> readers;
    const auto *value = find(name);
    if (value == nullptr) {
        return readers;
    }
    if (!value->is_array()) {
        report(name, value->dump(), "a list");
        return readers;
    }
    const auto path = m_path.empty() ? std::string(name) : m_path + "." + name;
    for (std::size_t i = 0; i < value->size(); ++i) {
        readers.emplace_back((*value)[i], path + "[" + std::to_string(i) + "]", m_mistakes);
    }
    return readers;
}

void SettingsReader::finish()
{
    for (const auto &[name, value] : m_json.items()) {
        if (!m_known.contains(name)) {
            report(name, "an unknown setting", join({m_known.begin(), m_known.end()}, ", "));
        }
    }
}

const nlohmann::json *SettingsReader::find(const char *name)
{
    m_known.insert(name);
    const auto found = m_json.find(name);
    return found == m_json.end() ? nullptr : &*found;
}

void SettingsReader::report(const std::string &name, const std::string &found, const std::string &allowed)
{
    m_mistakes.push_back((m_path.empty() ? "" : m_path + ".") + name + ": found " + found + "; expected " + allowed);
}

}
