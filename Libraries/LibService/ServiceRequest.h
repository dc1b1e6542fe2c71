#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibTrace/TraceContext.h>
#include <optional>
#include <string>

namespace Service {

// A caller's parsed call to an application service.
struct ServiceRequest {
    Core::CustomerId customer;
    std::string method;
    std::string path; // Percent-encoded, with the query; its first segment names the route.
    std::string route;
    std::string contentType;
    std::string body;
    std::string key; // The caller's Idempotency-Key, or empty.
    Core::Duration timeout {};
    std::optional<Trace::TraceContext> traceParent;
};

}
