#pragma once

#include <LibCore/IdSource.h>
#include <LibCore/Scheduler.h>
#include <LibEngine/EngineLink.h>
#include <LibMembership/OwnershipView.h>
#include <LibMetrics/Registry.h>
#include <LibOwner/HeldGrants.h>
#include <LibPeer/PeerRouter.h>
#include <LibPlatform/TargetDirectory.h>
#include <LibTicket/TicketFeed.h>
#include <LibTrace/Tracer.h>

namespace Front {

// What the front of one host works with.
struct FrontPorts {
    Core::Scheduler &scheduler;
    Core::IdSource &ids;
    Peer::PeerRouter &router;
    Engine::EngineLink &engines;
    const Membership::OwnershipView &ownership;
    Owner::HeldGrants &heldGrants;
    const Platform::TargetDirectory &directory;
    const Ticket::TicketFeed &tickets;
    Trace::Tracer &tracer;
    Metrics::Registry &metrics;
};

}
