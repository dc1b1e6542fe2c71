#include <LibFleet/ReleaseTable.h>

#include <LibFleet/AdapterName.h>

namespace Fleet {

bool ReleaseTable::apply(const AdapterRelease &release)
{
    auto &newest = m_versions[adapterName(release.model, release.adapter)];
    if (release.version <= newest) {
        return false;
    }
    newest = release.version;
    return true;
}

std::uint64_t ReleaseTable::newestVersion(const std::string &name) const
{
    const auto found = m_versions.find(name);
    return found == m_versions.end() ? 0 : found->second;
}

const std::map<std::string, std::uint64_t> &ReleaseTable::all() const
{
    return m_versions;
}

}
