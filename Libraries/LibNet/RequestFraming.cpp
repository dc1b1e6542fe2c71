#include <LibNet/RequestFraming.h>

#include <algorithm>
#include <array>

namespace Net {

namespace {

using namespace std::string_view_literals;

constexpr std::string_view TokenCharacters
    = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
constexpr std::string_view TransferEncoding = "Transfer-Encoding";
constexpr std::string_view ContentLength = "Content-Length";
constexpr unsigned char Delete = 0x7f;

bool isToken(std::string_view text)
{
    return !text.empty() && text.find_first_not_of(TokenCharacters) == std::string_view::npos;
}

bool isControl(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return byte < ' ' || byte == Delete;
}

bool isTarget(std::string_view text)
{
    return !text.empty() && std::none_of(text.begin(), text.end(), [](char character) {
        return character == ' ' || isControl(character);
    });
}

bool isFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char character) {
        return character != '\t' && isControl(character);
    });
}

bool isNumber(std::string_view text)
{
    return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

std::ptrdiff_t countOf(const HttpFields &fields, std::string_view name)
{
    return std::count_if(fields.begin(), fields.end(), [name](const auto &field) {
        return isSameName(field.first, name);
    });
}

std::optional<std::string_view> requestLineError(const RequestHead &head)
{
    if (!isToken(head.method)) {
        return "the method contains an invalid character";
    }
    if (!isTarget(head.target)) {
        return "the request target contains a space or a control character";
    }
    if (head.version != "HTTP/1.1" && head.version != "HTTP/1.0") {
        return "the HTTP version is not supported";
    }
    return std::nullopt;
}

std::optional<std::string_view> bodyLengthError(const RequestHead &head)
{
    const auto lengths = countOf(head.fields, ContentLength);
    const auto encodings = countOf(head.fields, TransferEncoding);
    if (lengths > 1) {
        return "the request has more than one Content-Length header";
    }
    if (encodings > 1 || (encodings == 1 && lengths == 1)) {
        return "the request has more than one Transfer-Encoding header, or both Transfer-Encoding and Content-Length";
    }
    if (encodings == 1 && (!isChunked(head.fields) || head.version == "HTTP/1.0")) {
        return "the Transfer-Encoding is not supported";
    }
    if (lengths == 1 && !isNumber(valueOf(head.fields, ContentLength))) {
        return "the Content-Length is not a decimal number";
    }
    return std::nullopt;
}

}

bool isChunked(const HttpFields &fields)
{
    return isSameName(valueOf(fields, TransferEncoding), "chunked");
}

std::optional<std::string_view> framingError(const RequestHead &head)
{
    if (const auto error = requestLineError(head); error.has_value()) {
        return error;
    }
    if (!head.hasPlainLines) {
        return "a line of the head is folded, contains NUL, or doesn't end with CR LF";
    }
    for (const auto &[name, value] : head.fields) {
        if (!isToken(name)) {
            return "a header name is empty or contains an invalid character";
        }
        if (!isFieldValue(value)) {
            return "a header value contains a control character";
        }
    }
    if (countOf(head.fields, "Host") > 1) {
        return "the request has more than one Host header";
    }
    return bodyLengthError(head);
}

}
