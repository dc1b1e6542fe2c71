#pragma once

#include <LibLedger/Ledger.h>
#include <LibMetrics/Registry.h>
#include <LibPlatform/TargetDirectory.h>
#include <LibService/ServiceLink.h>
#include <LibTicket/TicketFeed.h>
#include <LibTrace/Tracer.h>

namespace Service {

// The objects that calls to application services use at one host.
struct ServiceDependencies {
    Core::Scheduler &scheduler;
    Core::IdSource &ids;
    Ledger::Ledger &ledger;
    ServiceLink &link;
    const Platform::TargetDirectory &directory;
    const Ticket::TicketFeed &tickets;
    Trace::Tracer &tracer;
    Metrics::Registry &metrics;
    Core::ZoneId zone; // The zone of this host.
};

}
