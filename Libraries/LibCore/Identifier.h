#pragma once

#include <compare>
#include <functional>
#include <msgpack.hpp>
#include <ostream>
#include <string>

namespace Core {

// A name of one kind of thing; two kinds never compare or convert to each other.
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
// A back end: one model engine replica or one application service replica.
using TargetId = Identifier<struct TargetTag>;
// The organisation or tenant on whose behalf a caller speaks.
using CustomerId = Identifier<struct CustomerTag>;
// One try to run a request on one target.
using AttemptId = Identifier<struct AttemptTag>;
// The permission, given by a target's owner, to run one attempt there.
using GrantId = Identifier<struct GrantTag>;

// One version of one adapter.
struct AdapterVersion {
    std::string adapter;
    std::string version;

    auto operator<=>(const AdapterVersion &) const = default;
    // The form callers use: "adapter@version".
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
