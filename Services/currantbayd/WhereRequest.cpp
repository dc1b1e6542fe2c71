#include <currantbayd/WhereRequest.h>

#include <LibCore/LowerCase.h>
#include <LibNet/RequestFraming.h>
#include <nlohmann/json.hpp>

namespace Daemon {

namespace {

using Json = nlohmann::json;

constexpr unsigned ContentTooLarge = 413;

std::string requiredText(const Json &json, const std::string &member)
{
    const auto found = json.find(member);
    if (found == json.end() || !found->is_string()) {
        throw UnreadableWhereRequest("the member " + member + " is missing or isn't a text");
    }
    return found->get<std::string>();
}

void addField(Net::ServerRequest &head, const std::string &name, const Json &value)
{
    if (!value.is_string()) {
        throw UnreadableWhereRequest("the value of a header is neither a text nor a list of texts");
    }
    head.fields.emplace_back(name, value.get<std::string>());
    head.headers[Core::toLower(name)] = value.get<std::string>();
}

void readHeaders(const Json &headers, Net::ServerRequest &head)
{
    if (!headers.is_object()) {
        throw UnreadableWhereRequest("the member headers isn't an object");
    }
    for (const auto &[name, value] : headers.items()) {
        if (!value.is_array()) {
            addField(head, name, value);
            continue;
        }
        for (const auto &element : value) {
            addField(head, name, element);
        }
    }
}

}

WhereRequest WhereRequest::fromJson(std::string_view text)
{
    const auto json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        throw UnreadableWhereRequest("the body isn't a JSON object");
    }
    WhereRequest request;
    request.head.method = requiredText(json, "method");
    request.head.target = requiredText(json, "path");
    request.head.path = request.head.target.substr(0, request.head.target.find('?'));
    if (const auto headers = json.find("headers"); headers != json.end()) {
        readHeaders(*headers, request.head);
    }
    if (json.contains("account")) {
        request.account = requiredText(json, "account");
    }
    if (const auto bytes = json.find("bodyBytes"); bytes != json.end()) {
        if (!bytes->is_number_unsigned()) {
            throw UnreadableWhereRequest("the member bodyBytes isn't a whole number from 0");
        }
        request.bodyBytes = bytes->get<std::size_t>();
    }
    return request;
}

std::optional<Gateway::Refusal> WhereRequest::refusalByServer(std::size_t maxBodyBytes) const
{
    const auto error = Net::framingError(
        {.method = head.method, .target = head.target, .version = "HTTP/1.1", .fields = head.fields});
    if (error.has_value()) {
        return Gateway::Refusal {.status = Core::HttpStatus::BadRequest, .reason = std::string(*error)};
    }
    if (bodyBytes > maxBodyBytes) {
        return Gateway::Refusal {.status = ContentTooLarge,
                                 .reason = "its body is larger than " + std::to_string(maxBodyBytes) + " bytes"};
    }
    return std::nullopt;
}

}
