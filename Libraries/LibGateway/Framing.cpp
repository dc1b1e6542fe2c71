#include <LibGateway/Framing.h>

#include <algorithm>

namespace Gateway {

namespace {

constexpr std::string_view TokenCharacters
    = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

}

std::optional<std::string_view> framingFault(const Net::HttpFields &fields)
{
    const auto count = [&fields](const char *name) {
        return std::count_if(fields.begin(), fields.end(), [name](const auto &field) {
            return Net::isSameName(field.first, name);
        });
    };
    if (count("Host") != 1) {
        return "it must have one Host header";
    }
    if (count("Content-Length") > 1) {
        return "it has more than one Content-Length";
    }
    if (count("Transfer-Encoding") > 1 || (count("Transfer-Encoding") == 1 && count("Content-Length") == 1)) {
        return "its body is framed in two ways";
    }
    for (const auto &field : fields) {
        if (field.first.empty() || field.first.find_first_not_of(TokenCharacters) != std::string::npos) {
            return "a header's name isn't one";
        }
        if (Net::isSameName(field.first, "Transfer-Encoding") && !Net::isSameName(field.second, "chunked")) {
            return "its Transfer-Encoding isn't known";
        }
        const bool isNumber
            = !field.second.empty() && field.second.find_first_not_of("0123456789") == std::string::npos;
        if (Net::isSameName(field.first, "Content-Length") && !isNumber) {
            return "its Content-Length isn't a number";
        }
    }
    return std::nullopt;
}

}
