#include <currantbayd/CompletionAnswer.h>

#include <currantbayd/HttpRefusal.h>

namespace Daemon {

namespace {

std::string toText(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}

CompletionAnswer::CompletionAnswer(std::shared_ptr<Net::Exchange> exchange, AnswerForm form, AnswerMode mode,
                                   std::string id)
    : m_exchange(std::move(exchange))
    , m_form(form)
    , m_mode(mode)
    , m_id(std::move(id))
{
}

void CompletionAnswer::refuse(const Front::Refusal &refusal)
{
    Daemon::refuse(*m_exchange, refusal);
}

void CompletionAnswer::begin(const Front::AnswerHead &head)
{
    m_head = head;
    if (m_mode == AnswerMode::Streamed) {
        prepareChunks();
        auto response = responseHead();
        response.contentType = "text/event-stream";
        m_exchange->beginStream(std::move(response));
    }
}

void CompletionAnswer::text(std::string_view piece)
{
    if (m_mode == AnswerMode::Streamed) {
        m_exchange->send(m_chunkPrefix + toText(std::string(piece)) + m_chunkSuffix);
    } else {
        m_text += piece;
    }
}

void CompletionAnswer::finish(std::uint32_t tokenCount)
{
    if (m_mode == AnswerMode::Streamed) {
        sendEvent(chunk("", "stop"));
        m_exchange->send("data: [DONE]\n\n");
        m_exchange->endStream();
        return;
    }
    auto choice = nlohmann::json {{"index", 0}, {"finish_reason", "stop"}};
    if (m_form == AnswerForm::Chat) {
        choice["message"] = {{"role", "assistant"}, {"content", m_text}};
    } else {
        choice["text"] = m_text;
    }
    const nlohmann::json body {{"id", m_id},
                               {"object", m_form == AnswerForm::Chat ? "chat.completion" : "text_completion"},
                               {"model", m_head.adapter.toString()},
                               {"target", m_head.target.value},
                               {"choices", {choice}},
                               {"usage", {{"completion_tokens", tokenCount}}}};
    auto head = responseHead();
    head.headers.emplace_back("Currantbay-Outcome", "completed");
    m_exchange->respond(std::move(head), toText(body));
}

void CompletionAnswer::cut(const Front::Refusal &reason)
{
    if (m_mode == AnswerMode::Streamed) {
        // The error event says why; the missing end of the body shows that the answer is cut.
        sendEvent(toJson(reason));
        m_exchange->abortStream();
        return;
    }
    Daemon::refuse(*m_exchange, reason);
}

// All chunks but the last differ in their text alone, so the JSON around it is written once.
void CompletionAnswer::prepareChunks()
{
    constexpr std::string_view Placeholder = "\"@\"";
    const auto event = "data: " + toText(chunk("@", nullptr)) + "\n\n";
    // The text stands in "choices", which comes before every other member that could hold the placeholder.
    const auto place = event.find(Placeholder);
    m_chunkPrefix = event.substr(0, place);
    m_chunkSuffix = event.substr(place + Placeholder.size());
}

nlohmann::json CompletionAnswer::chunk(std::string_view piece, const char *finishReason) const
{
    auto choice = nlohmann::json {{"index", 0}};
    choice["finish_reason"] = finishReason == nullptr ? nlohmann::json() : nlohmann::json(finishReason);
    if (m_form == AnswerForm::Chat) {
        choice["delta"] = {{"content", std::string(piece)}};
    } else {
        choice["text"] = std::string(piece);
    }
    return {{"id", m_id},
            {"object", m_form == AnswerForm::Chat ? "chat.completion.chunk" : "text_completion"},
            {"model", m_head.adapter.toString()},
            {"choices", {choice}}};
}

Net::ResponseHead CompletionAnswer::responseHead() const
{
    return {.headers = {{"Currantbay-Adapter", m_head.adapter.adapter},
                        {"Currantbay-Version", m_head.adapter.version},
                        {"Currantbay-Target", m_head.target.value}}};
}

void CompletionAnswer::sendEvent(const nlohmann::json &json)
{
    m_exchange->send("data: " + toText(json) + "\n\n");
}

}
