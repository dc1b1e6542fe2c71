#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Core {

// An IPv4 address and a port from 1 to 65535.
struct SocketAddress {
    std::string host;
    std::uint16_t port = 0;
};

// Parses "host:port". Returns no value if the text isn't a valid address.
[[nodiscard]] std::optional<SocketAddress> parseSocketAddress(const std::string &text);

}
