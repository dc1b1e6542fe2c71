#include <LibNet/HttpFields.h>

#include <algorithm>
#include <strings.h>

namespace Net {

bool isSameName(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view valueOf(const HttpFields &fields, std::string_view name)
{
    const auto found = std::find_if(fields.begin(), fields.end(), [name](const auto &field) {
        return isSameName(field.first, name);
    });
    return found == fields.end() ? std::string_view() : std::string_view(found->second);
}

}
