#pragma once

#include <LibCore/ConstantTime.h>
#include <LibNet/HttpServer.h>
#include <LibSettings/DaemonSettings.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Daemon {

// Returns the name of the holder of the request's bearer token. Compares every token in constant time, so that the
// duration doesn't reveal which one matches.
[[nodiscard]] inline std::optional<std::string> findTokenHolder(const Net::ServerRequest &request,
                                                                const std::vector<Settings::TokenHolder> &holders)
{
    constexpr std::string_view Prefix = "Bearer ";
    const auto header = request.header("authorization");
    if (!header.starts_with(Prefix)) {
        return std::nullopt;
    }
    std::optional<std::string> found;
    for (const auto &[name, token] : holders) {
        if (Core::isEqualInConstantTime(header.substr(Prefix.size()), token)) {
            found = name;
        }
    }
    return found;
}

}
