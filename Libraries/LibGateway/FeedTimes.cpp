#include <LibGateway/FeedTimes.h>

#include <algorithm>

namespace Gateway {

namespace {

// Operators' rows change rarely, replica entries change constantly, and hosts' rows change with each renewal.
constexpr auto ConfigurationPollInterval = std::chrono::milliseconds(20);
constexpr auto ReplicaPollInterval = std::chrono::milliseconds(650);
constexpr auto HolderPollInterval = std::chrono::milliseconds(1000);
// Shares of the bound for which a call waits. The rest is left for the timeout of the call (700 ms), the pause between
// two calls, and the first call of a host that has read through another one.
constexpr double ConfigurationWaitShare = 0.35;
constexpr double ReplicaWaitShare = 0.2;
constexpr auto MinWait = std::chrono::milliseconds(300);
constexpr auto MaxConfigurationWait = std::chrono::milliseconds(1400);
constexpr auto MaxReplicaWait = std::chrono::milliseconds(700);
// Hosts that start together write their rows within a third of a second. The reader's first message follows one
// heartbeat period later.
constexpr auto InitialHolderPollInterval = std::chrono::milliseconds(400);
constexpr auto InitialPollInterval = std::chrono::milliseconds(900);

Core::Duration waitFor(Core::Duration bound, double share, Core::Duration longest)
{
    return std::clamp<Core::Duration>(std::chrono::duration_cast<Core::Duration>(bound * share), MinWait, longest);
}

}

Fleet::FeedOptions configurationFeedOptions(const ChangeBounds &bounds)
{
    return {.name = "configuration",
            .longPollTimeout = waitFor(bounds.apply, ConfigurationWaitShare, MaxConfigurationWait),
            .pollInterval = ConfigurationPollInterval,
            .initialPollInterval = InitialPollInterval,
            .maxRetryDelay = Fleet::retryDelayFor(bounds.apply)};
}

Fleet::FeedOptions replicaFeedOptions(const ChangeBounds &bounds)
{
    return {.name = "replicas",
            .longPollTimeout = waitFor(bounds.drain, ReplicaWaitShare, MaxReplicaWait),
            .pollInterval = ReplicaPollInterval,
            .initialPollInterval = InitialPollInterval,
            .maxRetryDelay = Fleet::retryDelayFor(bounds.drain)};
}

Fleet::FeedOptions holderFeedOptions(const ChangeBounds &bounds)
{
    return {.name = "holders",
            .longPollTimeout = MaxReplicaWait,
            .pollInterval = HolderPollInterval,
            .initialPollInterval = InitialHolderPollInterval,
            .maxRetryDelay = Fleet::retryDelayFor(bounds.apply)};
}

}
