#pragma once

#include <LibHost/Host.h>
#include <LibNet/HttpServer.h>
#include <LibSettings/DaemonSettings.h>
#include <currantbayd/CompletionAnswer.h>
#include <currantbayd/ServiceInterface.h>

namespace Daemon {

struct CallerInterfaceOptions {
    std::vector<Settings::TokenHolder> callers;
    Core::Duration requestTimeout {};
};

// The HTTP interface for callers: /v1/completions, /v1/chat/completions, and the routes of plain services.
class CallerInterface
{
public:
    CallerInterface(Host::Host &host, CallerInterfaceOptions options);

    void take(const std::shared_ptr<Net::Exchange> &exchange);

private:
    void complete(const std::shared_ptr<Net::Exchange> &exchange, const Core::CustomerId &customer, AnswerForm form);

    Host::Host &m_host;
    CallerInterfaceOptions m_options;
    ServiceInterface m_services;
    std::uint64_t m_lastAnswer = 0;
};

}
