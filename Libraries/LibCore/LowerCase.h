#pragma once

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>

namespace Core {

// Returns the text with its ASCII letters in lower case.
[[nodiscard]] inline std::string toLower(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) {
        return std::tolower(c);
    });
    return lower;
}

}
