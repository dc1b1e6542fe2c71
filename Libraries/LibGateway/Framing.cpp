#include <LibGateway/Framing.h>

#include <algorithm>

namespace Gateway {

namespace {

constexpr std::string_view TokenCharacters
    = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

}

std::optional<std::string_view> framingError(const Net::HttpFields &fields)
{
    const auto count = [&fields](const char *name) {
        return std::count_if(fields.begin(), fields.end(), [name](const auto &field) {
            return Net::isSameName(field.first, name);
        });
    };
    if (count("Host") != 1) {
        return "the request must have exactly one Host header";
    }
    if (count("Content-Length") > 1) {
        return "the request has more than one Content-Length header";
    }
    if (count("Transfer-Encoding") > 1 || (count("Transfer-Encoding") == 1 && count("Content-Length") == 1)) {
        return "the request has more than one Transfer-Encoding header, or both Transfer-Encoding and Content-Length";
    }
    for (const auto &field : fields) {
        if (field.first.empty() || field.first.find_first_not_of(TokenCharacters) != std::string::npos) {
            return "a header name is empty or contains an invalid character";
        }
        if (Net::isSameName(field.first, "Transfer-Encoding") && !Net::isSameName(field.second, "chunked")) {
            return "the Transfer-Encoding is not supported";
        }
        const bool isNumber
            = !field.second.empty() && field.second.find_first_not_of("0123456789") == std::string::npos;
        if (Net::isSameName(field.first, "Content-Length") && !isNumber) {
            return "the Content-Length is not a decimal number";
        }
    }
    return std::nullopt;
}

}
