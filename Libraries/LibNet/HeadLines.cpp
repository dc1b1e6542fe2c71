#include <LibNet/HeadLines.h>

#include <algorithm>

namespace Net {

namespace {

constexpr std::ptrdiff_t LineEndBytes = 2;

bool isOverwrittenLineEnd(const char *bytes)
{
    return bytes[0] == '\0' && bytes[1] == '\0';
}

bool isNextWord(std::string_view first, std::string_view second)
{
    return second.data() == first.data() + first.size() + 1;
}

bool isBlank(char character)
{
    return character == ' ' || character == '\t';
}

}

HeadLines::HeadLines(std::string_view method, std::string_view target, std::string_view version)
    : m_end(version.data() + version.size())
    , m_arePlain(isNextWord(method, target) && isNextWord(target, version))
{
}

void HeadLines::add(std::string_view name, std::string_view value)
{
    const auto *colon = name.data() + name.size();
    // The order of the comparisons keeps the reads inside a single line of the buffer.
    m_arePlain = m_arePlain && isOverwrittenLineEnd(m_end) && name.data() == m_end + LineEndBytes
        && value.data() > colon && std::all_of(colon + 1, value.data(), isBlank);
    m_end = value.data() + value.size();
}

bool HeadLines::arePlain() const
{
    return m_arePlain && isOverwrittenLineEnd(m_end) && isOverwrittenLineEnd(m_end + LineEndBytes);
}

}
