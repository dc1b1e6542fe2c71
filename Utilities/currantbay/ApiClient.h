#pragma once

#include <LibNet/HttpClient.h>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace Client {

// Where the system is reached and who asks. Read from options or the environment.
struct Connection {
    std::string address = "127.0.0.1:8080";
    std::string token;
};

// An answer of the system.
struct ApiAnswer {
    long status = 0; // Zero when none came.
    std::string body;
    std::string error;

    [[nodiscard]] bool isSuccess() const;
    // The body as JSON, or null when it isn't JSON.
    [[nodiscard]] nlohmann::json json() const;
};

// Calls one entry host and waits for the answer.
class ApiClient
{
public:
    using PieceFunction = std::function<void(std::string_view)>;

    explicit ApiClient(Connection connection);

    // With a piece function the body of a successful answer is passed on as it arrives.
    [[nodiscard]] ApiAnswer call(const std::string &method, const std::string &path, const std::string &body = "",
                                 const PieceFunction &onPiece = nullptr,
                                 const std::vector<std::string> &furtherHeaders = {});

private:
    Connection m_connection;
    Net::EventLoop m_loop;
    Net::HttpClient m_http;
};

}
