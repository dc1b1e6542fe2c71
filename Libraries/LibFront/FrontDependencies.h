#pragma once

#include <LibCore/IdSource.h>
#include <LibCore/Scheduler.h>
#include <LibEngine/EngineLink.h>
#include <LibFront/GrantReleaser.h>
#include <LibMembership/OwnershipView.h>
#include <LibMetrics/Registry.h>
#include <LibOwner/HeldGrants.h>
#include <LibPeer/PeerRouter.h>
#include <LibPlatform/TargetDirectory.h>
#include <LibRouting/OwnerWatch.h>
#include <LibRouting/Quarantine.h>
#include <LibRouting/RetryBudget.h>
#include <LibRouting/TargetAvoidance.h>
#include <LibTicket/TicketFeed.h>
#include <LibTrace/Tracer.h>

namespace Front {

// The objects that the front of a host (the part that serves callers' requests) uses.
struct FrontDependencies {
    Core::Scheduler &scheduler;
    Core::IdSource &ids;
    Peer::PeerRouter &router;
    Engine::EngineLink &engines;
    const Membership::OwnershipView &ownership;
    Owner::HeldGrants &heldGrants;
    const Platform::TargetDirectory &directory;
    const Ticket::TicketFeed &tickets;
    GrantReleaser &grantReleaser;
    Routing::RetryBudget &retryBudget;
    Routing::TargetAvoidance &avoidance;
    Routing::OwnerWatch &owners;
    Routing::Quarantine &quarantine;
    Trace::Tracer &tracer;
    Metrics::Registry &metrics;
};

}
