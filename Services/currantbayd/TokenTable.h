#pragma once

#include <LibCore/ConstantTime.h>
#include <LibNet/HttpServer.h>
#include <LibSettings/DaemonSettings.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Daemon {

// Finds whose token a request carries, in a time that doesn't depend on which one it is.
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
