#pragma once

#include <LibNet/HttpClient.h>
#include <LibService/ServiceLink.h>

namespace Service {

struct HttpServiceLinkOptions {
    Core::Duration fenceTimeout = std::chrono::milliseconds(1000);
};

// The HTTP/1.1 implementation of ServiceLink.
class HttpServiceLink final : public ServiceLink
{
public:
    HttpServiceLink(Net::HttpClient &client, HttpServiceLinkOptions options);

    void send(const ServiceAddress &service, const ServiceMessage &message, ReplyFunction done) override;
    void fence(const ServiceAddress &service, const std::string &fencePath, const Core::AttemptId &attempt,
               FenceDoneFunction done) override;

private:
    Net::HttpClient &m_client;
    HttpServiceLinkOptions m_options;
};

}
