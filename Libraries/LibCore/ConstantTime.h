#pragma once

#include <cstddef>
#include <string_view>

namespace Core {

// Compares two secrets in a time that depends only on their lengths, so that the time reveals nothing of the content.
[[nodiscard]] inline bool isEqualInConstantTime(std::string_view left, std::string_view right)
{
    if (left.size() != right.size()) {
        return false;
    }
    unsigned char difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i) {
        difference = static_cast<unsigned char>(difference | (left[i] ^ right[i]));
    }
    return difference == 0;
}

}
