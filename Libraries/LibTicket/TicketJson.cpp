#include <LibTicket/TicketJson.h>

#include <algorithm>
#include <set>

namespace Ticket {

namespace {

constexpr std::size_t MaxStringBytes = 200;
constexpr std::size_t MaxObjects = 500;

struct ObjectWriter {
    nlohmann::json operator()(const AdapterState &adapter) const
    {
        return {{"kind", "adapter"},
                {"name", adapter.name},
                {"baseModel", adapter.baseModel},
                {"versions", adapter.versions},
                {"currentVersion", adapter.currentVersion},
                {"retired", adapter.isRetired}};
    }
    nlohmann::json operator()(const RuleState &rule) const
    {
        return {{"kind", "rule"}, {"name", rule.name}, {"customers", rule.customers}, {"adapters", rule.adapters}};
    }
    nlohmann::json operator()(const ServiceRouteState &route) const
    {
        nlohmann::json json {{"kind", "route"},
                             {"name", route.name},
                             {"service", route.service},
                             {"idempotentMethods", route.idempotentMethods}};
        if (!route.fencePath.empty()) {
            json["fencePath"] = route.fencePath;
        }
        return json;
    }
};

// Parses a ticket and collects all errors, so that they are reported together.
class TicketReader
{
public:
    Ticket read(const nlohmann::json &json)
    {
        if (!json.is_object()) {
            throw InvalidTicket("a ticket is a JSON object with \"number\" and \"objects\"");
        }
        reportUnknownMembers(json, "ticket", {"number", "submittedBy", "objects"});
        Ticket ticket;
        ticket.submittedBy = json.contains("submittedBy") ? readString(json, "ticket", "submittedBy") : "";
        if (json.contains("number") && json["number"].is_number_unsigned() && json["number"] > 0) {
            ticket.number = json["number"].get<std::uint64_t>();
        } else {
            report("ticket.number", "expected a positive integer");
        }
        readObjects(json, ticket);
        if (!m_errors.empty()) {
            throw InvalidTicket(m_errors);
        }
        return ticket;
    }

private:
    void readObjects(const nlohmann::json &json, Ticket &ticket)
    {
        if (!json.contains("objects") || !json["objects"].is_array() || json["objects"].empty()
            || json["objects"].size() > MaxObjects) {
            report("ticket.objects", "expected a list of 1 to " + std::to_string(MaxObjects) + " objects");
            return;
        }
        std::set<std::string> keys;
        for (std::size_t i = 0; i < json["objects"].size(); ++i) {
            const auto path = "ticket.objects[" + std::to_string(i) + "]";
            const auto &object = json["objects"][i];
            const auto kind = object.is_object() ? object.value("kind", nlohmann::json()) : nlohmann::json();
            if (kind == "adapter") {
                ticket.objects.emplace_back(readAdapter(object, path));
            } else if (kind == "rule") {
                ticket.objects.emplace_back(readRule(object, path));
            } else if (kind == "route") {
                ticket.objects.emplace_back(readRoute(object, path));
            } else {
                report(path + ".kind", "expected \"adapter\", \"rule\" or \"route\"");
                continue;
            }
            if (!keys.insert(objectKey(ticket.objects.back())).second) {
                report(path, "the ticket contains " + objectKey(ticket.objects.back()) + " twice");
            }
        }
    }

    AdapterState readAdapter(const nlohmann::json &json, const std::string &path)
    {
        reportUnknownMembers(json, path, {"kind", "name", "baseModel", "versions", "currentVersion", "retired"});
        AdapterState adapter {.name = readString(json, path, "name"),
                              .baseModel = readString(json, path, "baseModel"),
                              .versions = readStrings(json, path, "versions"),
                              .currentVersion = readString(json, path, "currentVersion")};
        if (json.contains("retired")) {
            if (json["retired"].is_boolean()) {
                adapter.isRetired = json["retired"].get<bool>();
            } else {
                report(path + ".retired", "expected true or false");
            }
        }
        if (std::find(adapter.versions.begin(), adapter.versions.end(), adapter.currentVersion)
            == adapter.versions.end()) {
            report(path + ".currentVersion", "expected one of \"versions\"");
        }
        if (adapter.name.find('@') != std::string::npos) {
            report(path + ".name", "an adapter name can't contain \"@\", which separates the version");
        }
        return adapter;
    }

    RuleState readRule(const nlohmann::json &json, const std::string &path)
    {
        reportUnknownMembers(json, path, {"kind", "name", "customers", "adapters"});
        return {.name = readString(json, path, "name"),
                .customers = readStrings(json, path, "customers"),
                .adapters = readStrings(json, path, "adapters")};
    }

    ServiceRouteState readRoute(const nlohmann::json &json, const std::string &path)
    {
        reportUnknownMembers(json, path, {"kind", "name", "service", "idempotentMethods", "fencePath"});
        return {.name = readString(json, path, "name"),
                .service = readString(json, path, "service"),
                .idempotentMethods = readStrings(json, path, "idempotentMethods"),
                .fencePath = json.contains("fencePath") ? readFencePath(json, path) : ""};
    }

    std::string readFencePath(const nlohmann::json &json, const std::string &path)
    {
        auto value = readString(json, path, "fencePath");
        if (!value.empty() && !value.starts_with('/')) {
            report(path + ".fencePath", "expected a path that starts with \"/\"");
        }
        return value;
    }

    std::string readString(const nlohmann::json &json, const std::string &path, const char *name)
    {
        if (json.contains(name) && json[name].is_string()) {
            auto value = json[name].get<std::string>();
            if (!value.empty() && value.size() <= MaxStringBytes) {
                return value;
            }
        }
        report(path + "." + name, "expected a string of 1 to " + std::to_string(MaxStringBytes) + " bytes");
        return {};
    }

    std::vector<std::string> readStrings(const nlohmann::json &json, const std::string &path, const char *name)
    {
        std::vector<std::string> values;
        if (json.contains(name) && json[name].is_array()) {
            for (const auto &value : json[name]) {
                if (value.is_string() && !value.get_ref<const std::string &>().empty()) {
                    values.push_back(value.get<std::string>());
                }
            }
            if (values.size() == json[name].size()) {
                return values;
            }
        }
        report(path + "." + name, "expected a list of non-empty strings");
        return values;
    }

    void reportUnknownMembers(const nlohmann::json &json, const std::string &path,
                              std::initializer_list<const char *> known)
    {
        for (const auto &member : json.items()) {
            const auto &name = member.key();
            if (std::none_of(known.begin(), known.end(), [&](const char *candidate) {
                    return name == candidate;
                })) {
                report(path + "." + name, "unknown member");
            }
        }
    }

    void report(const std::string &path, const std::string &error)
    {
        m_errors += (m_errors.empty() ? "" : "\n") + path + ": " + error;
    }

    std::string m_errors;
};

}

nlohmann::json toJson(const Ticket &ticket)
{
    auto objects = nlohmann::json::array();
    for (const auto &object : ticket.objects) {
        objects.push_back(std::visit(ObjectWriter {}, object));
    }
    auto json = nlohmann::json {{"number", ticket.number}, {"objects", std::move(objects)}};
    if (!ticket.submittedBy.empty()) {
        json["submittedBy"] = ticket.submittedBy;
    }
    return json;
}

Ticket ticketFromJson(const nlohmann::json &json)
{
    return TicketReader().read(json);
}

nlohmann::json toJson(const FeedEntry &entry)
{
    return {{"sequence", entry.sequence}, {"ticket", toJson(entry.ticket)}};
}

std::optional<FeedEntry> feedEntryFromText(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        return FeedEntry {.sequence = json.at("sequence").get<std::uint64_t>(),
                          .ticket = ticketFromJson(json.at("ticket"))};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    } catch (const InvalidTicket &) {
        return std::nullopt;
    }
}

}
