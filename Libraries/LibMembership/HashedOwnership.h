#pragma once

#include <LibMembership/HostLeases.h>
#include <LibMembership/OwnershipView.h>
#include <LibPlatform/TargetDirectory.h>

namespace Membership {

// Ownership by hash alone: each target belongs to the live host of its zone that ranks first for it.
// FIXME: Hosts that see different members disagree, and the fence never rises.
class HashedOwnership final : public OwnershipView
{
public:
    HashedOwnership(const HostLeases &leases, const Platform::TargetDirectory &directory);

    [[nodiscard]] std::optional<Ownership> ownerOf(const Core::TargetId &target) const override;
    [[nodiscard]] std::vector<Ownership> owned() const override;

private:
    const HostLeases &m_leases;
    const Platform::TargetDirectory &m_directory;
};

}
