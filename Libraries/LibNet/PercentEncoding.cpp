#include <LibNet/PercentEncoding.h>

#include <cctype>

namespace Net {

std::string percentEncode(std::string_view text)
{
    static constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string escaped;
    for (const unsigned char c : text) {
        if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.') {
            escaped += static_cast<char>(c);
        } else {
            escaped += {'%', Digits[c >> 4U], Digits[c & 15U]};
        }
    }
    return escaped;
}

}
