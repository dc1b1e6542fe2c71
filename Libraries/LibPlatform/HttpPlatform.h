#pragma once

#include <LibNet/HttpClient.h>
#include <LibPlatform/HostList.h>
#include <LibPlatform/TableService.h>

namespace Platform {

struct HttpPlatformOptions {
    std::string address; // "host:port".
    Core::Duration timeout = std::chrono::milliseconds(1000);
};

// Client for the platform's table service and host list over HTTP.
class HttpPlatform final : public TableService, public HostList
{
public:
    HttpPlatform(Net::HttpClient &client, HttpPlatformOptions options);

    void transact(Transaction transaction, TransactionFunction done) override;
    void read(std::string_view table, std::string_view key, ReadFunction done) override;
    void scan(std::string_view table, std::string_view afterKey, std::size_t limit, ScanFunction done) override;
    void list(ListFunction done) override;

private:
    [[nodiscard]] Net::HttpRequest request(std::string method, const std::string &path) const;

    Net::HttpClient &m_client;
    HttpPlatformOptions m_options;
};

}
