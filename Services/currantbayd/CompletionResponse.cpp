#include <currantbayd/CompletionResponse.h>

#include <currantbayd/HttpRefusal.h>

namespace Daemon {

namespace {

std::string toText(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}

CompletionResponse::CompletionResponse(std::shared_ptr<Net::Exchange> exchange, ResponseFormat format,
                                       ResponseMode mode, std::string id)
    : m_exchange(std::move(exchange))
    , m_format(format)
    , m_mode(mode)
    , m_id(std::move(id))
{
}

void CompletionResponse::refuse(const Front::Refusal &refusal)
{
    Daemon::refuse(*m_exchange, refusal);
}

void CompletionResponse::begin(const Front::ResponseHead &head)
{
    m_head = head;
    if (m_mode == ResponseMode::Streamed) {
        prepareChunks();
        auto response = responseHead();
        response.contentType = "text/event-stream";
        m_exchange->beginStream(std::move(response));
    }
}

void CompletionResponse::text(std::string_view piece)
{
    if (m_mode == ResponseMode::Streamed) {
        m_exchange->send(m_chunkPrefix + toText(std::string(piece)) + m_chunkSuffix);
    } else {
        m_text += piece;
    }
}

void CompletionResponse::finish(std::uint32_t tokenCount)
{
    if (m_mode == ResponseMode::Streamed) {
        sendEvent(chunk("", "stop"));
        m_exchange->send("data: [DONE]\n\n");
        m_exchange->endStream();
        return;
    }
    auto choice = nlohmann::json {{"index", 0}, {"finish_reason", "stop"}};
    if (m_format == ResponseFormat::Chat) {
        choice["message"] = {{"role", "assistant"}, {"content", m_text}};
    } else {
        choice["text"] = m_text;
    }
    const nlohmann::json body {{"id", m_id},
                               {"object", m_format == ResponseFormat::Chat ? "chat.completion" : "text_completion"},
                               {"model", m_head.adapter.toString()},
                               {"target", m_head.target.value},
                               {"choices", {choice}},
                               {"usage", {{"completion_tokens", tokenCount}}}};
    auto head = responseHead();
    head.headers.emplace_back("Currantbay-Outcome", "completed");
    m_exchange->respond(std::move(head), toText(body));
}

void CompletionResponse::abort(const Front::Refusal &reason)
{
    if (m_mode == ResponseMode::Streamed) {
        // The error event gives the reason. The body lacks its terminator, so that the client can tell that the
        // response is incomplete.
        sendEvent(toJson(reason));
        m_exchange->abortStream();
        return;
    }
    Daemon::refuse(*m_exchange, reason);
}

// All chunks except the last differ only in their text, so the JSON around the text is serialized once.
void CompletionResponse::prepareChunks()
{
    constexpr std::string_view Placeholder = "\"@\"";
    const auto event = "data: " + toText(chunk("@", nullptr)) + "\n\n";
    // "choices", which holds the text, precedes every other member that could contain the placeholder.
    const auto position = event.find(Placeholder);
    m_chunkPrefix = event.substr(0, position);
    m_chunkSuffix = event.substr(position + Placeholder.size());
}

nlohmann::json CompletionResponse::chunk(std::string_view piece, const char *finishReason) const
{
    auto choice = nlohmann::json {{"index", 0}};
    choice["finish_reason"] = finishReason == nullptr ? nlohmann::json() : nlohmann::json(finishReason);
    if (m_format == ResponseFormat::Chat) {
        choice["delta"] = {{"content", std::string(piece)}};
    } else {
        choice["text"] = std::string(piece);
    }
    return {{"id", m_id},
            {"object", m_format == ResponseFormat::Chat ? "chat.completion.chunk" : "text_completion"},
            {"model", m_head.adapter.toString()},
            {"choices", {choice}}};
}

Net::ResponseHead CompletionResponse::responseHead() const
{
    return {.headers = {{"Currantbay-Adapter", m_head.adapter.adapter},
                        {"Currantbay-Version", m_head.adapter.version},
                        {"Currantbay-Target", m_head.target.value}}};
}

void CompletionResponse::sendEvent(const nlohmann::json &json)
{
    m_exchange->send("data: " + toText(json) + "\n\n");
}

}
