#include <LibGateway/ConfigurationProof.h>

#include <algorithm>

namespace Gateway {

void ConfigurationProof::record(Core::TimePoint provenAt)
{
    if (!m_isSuspended) {
        m_provenAt = std::max(m_provenAt.value_or(provenAt), provenAt);
    }
}

void ConfigurationProof::suspend()
{
    m_isSuspended = true;
}

void ConfigurationProof::resume()
{
    m_isSuspended = false;
}

bool ConfigurationProof::isWithin(Core::Duration age, Core::TimePoint now) const
{
    return m_provenAt.has_value() && now - *m_provenAt < age;
}

}
