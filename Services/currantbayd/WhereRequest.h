#pragma once

#include <LibGateway/Refusal.h>
#include <stdexcept>

namespace Daemon {

// The body of a question where a request would go can't be read. The text names the member, and never shows what was
// sent, which may contain a key.
class UnreadableWhereRequest : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// A question where a request would go: the head of the request, and how large its body would be.
struct WhereRequest {
    Net::ServerRequest head;
    std::optional<std::string> account; // Named in place of a key.
    std::size_t bodyBytes = 0;

    // Reads the JSON object. Throws UnreadableWhereRequest if it isn't one or a member has a wrong type.
    [[nodiscard]] static WhereRequest fromJson(std::string_view text);
    // Why the server would refuse the request before any interface sees it.
    [[nodiscard]] std::optional<Gateway::Refusal> refusalByServer(std::size_t maxBodyBytes) const;
};

}
