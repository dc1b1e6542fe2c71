#include <LibCore/IdSource.h>
#include <cstdio>

namespace Core {

IdSource::IdSource(std::uint64_t seed)
    : m_random(seed)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(m_random()));
    m_prefix = text;
}

std::string IdSource::next(std::string_view kind)
{
    return std::string(kind) + '-' + m_prefix + '-' + std::to_string(++m_counter);
}

std::uint64_t IdSource::randomNumber()
{
    return m_random();
}

}
