#pragma once

#include <LibFleet/Replica.h>
#include <LibPlatform/RowFeed.h>
#include <LibRoutes/RouteConfiguration.h>
#include <functional>

namespace Fleet {

// Entries of the platform's replica list: either all of them or those that changed.
struct ReplicaChanges {
    Platform::FeedOutcome outcome = Platform::FeedOutcome::Failed;
    std::uint64_t version = 0; // Version of the list that includes these changes.
    std::vector<Replica> present;
    std::vector<Core::TargetId> removed; // Entries that were deleted or don't describe a usable replica.
    std::string error;
};

// Changes made by operators: the newest configuration, if it changed, and released adapter versions.
struct ConfigurationChanges {
    Platform::FeedOutcome outcome = Platform::FeedOutcome::Failed;
    std::uint64_t version = 0; // Version of the table that includes these changes; not the configuration's version.
    std::optional<Routes::RouteConfiguration> configuration;
    std::vector<AdapterRelease> releases;
    // The changes include all that were acknowledged before this time; no value if that isn't known.
    std::optional<Core::TimePoint> provenAt;
    bool isUnreadable = false; // The newest configuration can't be decoded, so that an older one stays active.
    std::string error;
};

// The source from which a host reads the replica list, the configuration and the adapter releases.
class DeploymentSource
{
public:
    using ReplicasFunction = std::function<void(ReplicaChanges)>;
    using ConfigurationFunction = std::function<void(ConfigurationChanges)>;

    virtual ~DeploymentSource() = default;
    // Each callback runs exactly once, never before the call returns. The follow functions wait up to the given time
    // for a change after the given version.
    virtual void readReplicas(ReplicasFunction done) = 0;
    virtual void followReplicas(std::uint64_t after, Core::Duration wait, ReplicasFunction done) = 0;
    virtual void readConfiguration(ConfigurationFunction done) = 0;
    virtual void followConfiguration(std::uint64_t after, Core::Duration wait, ConfigurationFunction done) = 0;
};

}
