#pragma once

#include <LibHost/Host.h>
#include <LibNet/HttpServer.h>
#include <LibSettings/DaemonSettings.h>
#include <currantbayd/CompletionAnswer.h>

namespace Daemon {

struct CallerInterfaceOptions {
    std::vector<Settings::TokenHolder> callers;
    Core::Duration requestTimeout {};
};

// The HTTP interface for callers: /v1/completions and /v1/chat/completions.
class CallerInterface
{
public:
    CallerInterface(Host::Host &host, CallerInterfaceOptions options);

    void take(const std::shared_ptr<Net::Exchange> &exchange);

private:
    void complete(const std::shared_ptr<Net::Exchange> &exchange, const Core::CustomerId &customer, AnswerForm form);

    Host::Host &m_host;
    CallerInterfaceOptions m_options;
    std::uint64_t m_lastAnswer = 0;
};

}
