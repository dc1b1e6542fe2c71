#pragma once

#include <LibFleet/Replica.h>
#include <LibPlatform/RowFeed.h>
#include <LibRoutes/RouteConfiguration.h>
#include <functional>

namespace Fleet {

// Entries of the platform's replica list: all of them, or those that changed.
struct ReplicaChanges {
    Platform::FeedOutcome outcome = Platform::FeedOutcome::Failed;
    std::uint64_t version = 0; // Up to which these changes reach.
    std::vector<Replica> present;
    std::vector<Core::TargetId> removed; // Entries that are gone or name no replica that can be used.
    std::string error;
};

// What operators have changed: the newest configuration, if it is among the changes, and released adapters.
struct ConfigurationChanges {
    Platform::FeedOutcome outcome = Platform::FeedOutcome::Failed;
    std::uint64_t version = 0; // Up to which these changes reach; not the configuration's own.
    std::optional<Routes::RouteConfiguration> configuration;
    std::vector<AdapterRelease> releases;
    std::string error;
};

// Where a host learns which replicas there are and what operators want.
class DeploymentSource
{
public:
    using ReplicasFunction = std::function<void(ReplicaChanges)>;
    using ConfigurationFunction = std::function<void(ConfigurationChanges)>;

    virtual ~DeploymentSource() = default;
    // Each function runs exactly once, never inside the call. Following waits up to the given time for a change.
    virtual void readReplicas(ReplicasFunction done) = 0;
    virtual void followReplicas(std::uint64_t after, Core::Duration wait, ReplicasFunction done) = 0;
    virtual void readConfiguration(ConfigurationFunction done) = 0;
    virtual void followConfiguration(std::uint64_t after, Core::Duration wait, ConfigurationFunction done) = 0;
};

}
