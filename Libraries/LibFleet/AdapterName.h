#pragma once

#include <cstdint>
#include <string>

namespace Fleet {

// The name of an adapter, unique across models: "model/adapter".
[[nodiscard]] inline std::string adapterName(const std::string &model, const std::string &adapter)
{
    return model + '/' + adapter;
}

// The name of one version of an adapter: "model/adapter@version".
[[nodiscard]] inline std::string versionedName(const std::string &name, std::uint64_t version)
{
    return name + '@' + std::to_string(version);
}

}
