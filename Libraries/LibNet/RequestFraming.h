#pragma once

#include <LibNet/HttpFields.h>
#include <optional>
#include <string_view>

namespace Net {

// The head of a request as it was received.
struct RequestHead {
    std::string_view method;
    std::string_view target;
    std::string_view version; // For example "HTTP/1.1".
    const HttpFields &fields;
    // Every line ended with CR LF, was read as one field, and had no bytes beside the field's name and value.
    bool hasPlainLines = true;
};

// Describes why another reader of the same bytes could see the request end elsewhere, or see another request (request
// smuggling). The server refuses such a request and closes its connection. Empty if the request is unambiguous.
[[nodiscard]] std::optional<std::string_view> framingError(const RequestHead &head);

// Whether the body comes in chunks.
[[nodiscard]] bool isChunked(const HttpFields &fields);

}
