#pragma once

#include <LibCore/Identifier.h>
#include <cstdint>
#include <optional>
#include <vector>

namespace Membership {

// One period in which one host alone may give orders to a target.
struct Ownership {
    Core::TargetId target;
    Core::HostId owner;
    std::uint64_t fence = 0; // Higher than that of every earlier ownership of the target.
};

// Who owns which target, as this host knows it.
class OwnershipView
{
public:
    virtual ~OwnershipView() = default;
    // Without a value no owner is known.
    [[nodiscard]] virtual std::optional<Ownership> ownerOf(const Core::TargetId &target) const = 0;
    // The targets that this host owns now.
    [[nodiscard]] virtual std::vector<Ownership> owned() const = 0;
};

}
