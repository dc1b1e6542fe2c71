#pragma once

#include <LibFront/CallerResponse.h>
#include <LibNet/HttpServer.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace Daemon {

// The OpenAI-compatible endpoint whose response format is used.
enum class ResponseFormat { Completion, Chat };

enum class ResponseMode { Complete, Streamed };

// Sends the result of a completion to the caller over HTTP, as one JSON body or as server-sent events.
class CompletionResponse final : public Front::CallerResponse
{
public:
    CompletionResponse(std::shared_ptr<Net::Exchange> exchange, ResponseFormat format, ResponseMode mode,
                       std::string id);

    void refuse(const Front::Refusal &refusal) override;
    void begin(const Front::ResponseHead &head) override;
    void text(std::string_view piece) override;
    void finish(std::uint32_t tokenCount) override;
    void abort(const Front::Refusal &reason) override;

private:
    void prepareChunks();
    [[nodiscard]] nlohmann::json chunk(std::string_view piece, const char *finishReason) const;
    [[nodiscard]] Net::ResponseHead responseHead() const;
    void sendEvent(const nlohmann::json &json);

    std::shared_ptr<Net::Exchange> m_exchange;
    ResponseFormat m_format;
    ResponseMode m_mode;
    std::string m_id;
    Front::ResponseHead m_head;
    std::string m_text;
    std::string m_chunkPrefix;
    std::string m_chunkSuffix;
};

}
