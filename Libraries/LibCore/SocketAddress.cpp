#include <LibCore/SocketAddress.h>

#include <arpa/inet.h>
#include <charconv>

namespace Core {

std::optional<SocketAddress> parseSocketAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    SocketAddress address {.host = text.substr(0, colon)};
    in_addr parsed {};
    const auto *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data() + colon + 1, last, address.port);
    if (inet_pton(AF_INET, address.host.c_str(), &parsed) != 1 || error != std::errc() || end != last
        || address.port == 0) {
        return std::nullopt;
    }
    return address;
}

}
