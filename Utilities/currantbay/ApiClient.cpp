#include <currantbay/ApiClient.h>

namespace Client {

namespace {

constexpr long FirstSuccess = 200;
constexpr long FirstRedirect = 300;
constexpr auto CallTimeout = std::chrono::minutes(10);

bool isSuccessStatus(long status)
{
    return status >= FirstSuccess && status < FirstRedirect;
}

}

bool ApiAnswer::isSuccess() const
{
    return error.empty() && isSuccessStatus(status);
}

nlohmann::json ApiAnswer::json() const
{
    auto parsed = nlohmann::json::parse(body, nullptr, false);
    return parsed.is_discarded() ? nlohmann::json() : parsed;
}

ApiClient::ApiClient(Connection connection)
    : m_connection(std::move(connection))
    , m_http(m_loop)
{
}

ApiAnswer ApiClient::call(const std::string &method, const std::string &path, const std::string &body,
                          const PieceFunction &onPiece, const std::vector<std::string> &furtherHeaders)
{
    std::vector<std::string> headers {"Content-Type: application/json", "Authorization: Bearer " + m_connection.token};
    headers.insert(headers.end(), furtherHeaders.begin(), furtherHeaders.end());
    ApiAnswer answer;
    m_http.start(
        {.method = method,
         .url = "http://" + m_connection.address + path,
         .headers = std::move(headers),
         .body = body,
         .totalTimeout = CallTimeout},
        [&](const Net::HttpResult &result) {
            answer.status = result.status;
            answer.error = result.error;
            m_loop.stop();
        },
        [&](long status, std::string_view piece) {
            if (onPiece && isSuccessStatus(status)) {
                onPiece(piece);
            } else {
                answer.body += piece;
            }
        });
    m_loop.run();
    return answer;
}

}
