#pragma once

#include <LibFleet/Replica.h>
#include <map>

namespace Fleet {

// The newest released version of each adapter.
class ReleaseTable
{
public:
    // Records a release. Returns false and changes nothing if its version isn't newer.
    bool apply(const AdapterRelease &release);
    // The newest version of the adapter "model/adapter", or zero if none was released.
    [[nodiscard]] std::uint64_t newestVersion(const std::string &name) const;
    // The newest versions by "model/adapter".
    [[nodiscard]] const std::map<std::string, std::uint64_t> &all() const;

private:
    std::map<std::string, std::uint64_t> m_versions;
};

}
