#pragma once

#include <compare>
#include <functional>
#include <msgpack.hpp>
#include <ostream>
#include <string>

namespace Core {

// A string identifier typed by its tag: identifiers with different tags neither compare nor convert to each other.
template<typename Tag> struct Identifier {
    std::string value;

    [[nodiscard]] bool isEmpty() const
    {
        return value.empty();
    }
    auto operator<=>(const Identifier &) const = default;

    MSGPACK_DEFINE(value)
};

template<typename Tag> std::ostream &operator<<(std::ostream &stream, const Identifier<Tag> &identifier)
{
    return stream << identifier.value;
}

// An entry host of the system.
using HostId = Identifier<struct HostTag>;
// An availability zone.
using ZoneId = Identifier<struct ZoneTag>;
// A target, that is a backend: one replica of a model engine or of an application service.
using TargetId = Identifier<struct TargetTag>;
// A customer: the organization or tenant on whose behalf a caller sends requests.
using CustomerId = Identifier<struct CustomerTag>;
// An attempt: one execution of a request on one target, which may fail and be retried as another attempt.
using AttemptId = Identifier<struct AttemptTag>;
// A grant: the permission to run one attempt on a target, issued by the target's owner.
using GrantId = Identifier<struct GrantTag>;

// One version of an adapter, that is a set of fine-tuned weights that engines load on top of a base model.
struct AdapterVersion {
    std::string adapter;
    std::string version;

    auto operator<=>(const AdapterVersion &) const = default;
    // Formats the version as callers write it: "adapter@version".
    [[nodiscard]] std::string toString() const
    {
        return adapter + '@' + version;
    }

    MSGPACK_DEFINE(adapter, version)
};

}

template<typename Tag> struct std::hash<Core::Identifier<Tag>> {
    std::size_t operator()(const Core::Identifier<Tag> &identifier) const noexcept
    {
        return std::hash<std::string>()(identifier.value);
    }
};

template<> struct std::hash<Core::AdapterVersion> {
    std::size_t operator()(const Core::AdapterVersion &adapter) const noexcept
    {
        return std::hash<std::string>()(adapter.adapter) * 31 + std::hash<std::string>()(adapter.version);
    }
};
