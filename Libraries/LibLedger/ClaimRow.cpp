#include <LibLedger/ClaimRow.h>

#include <nlohmann/json.hpp>

namespace Ledger {

namespace {

constexpr unsigned char FirstTwoByteCharacter = 0x80;
constexpr unsigned TwoByteLeadMark = 0xC0;
constexpr unsigned ContinuationMark = 0x80;
constexpr unsigned SixBits = 0x3F;

NLOHMANN_JSON_SERIALIZE_ENUM(
    ClaimState, {{ClaimState::Claimed, "claimed"}, {ClaimState::Done, "done"}, {ClaimState::Withdrawn, "withdrawn"}})

// JSON strings can't hold arbitrary bytes. Each byte is encoded as the character with the same code point, in UTF-8.
std::string textFromBytes(const std::string &bytes)
{
    std::string text;
    text.reserve(bytes.size());
    for (const auto character : bytes) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte < FirstTwoByteCharacter) {
            text += character;
        } else {
            text += static_cast<char>(TwoByteLeadMark | (byte >> 6U));
            text += static_cast<char>(ContinuationMark | (byte & SixBits));
        }
    }
    return text;
}

std::string bytesFromText(const std::string &text)
{
    std::string bytes;
    bytes.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto byte = static_cast<unsigned char>(text[i]);
        if (byte < FirstTwoByteCharacter || i + 1 == text.size()) {
            bytes += text[i];
        } else {
            ++i;
            bytes += static_cast<char>((byte << 6U) | (static_cast<unsigned char>(text[i]) & SixBits));
        }
    }
    return bytes;
}

std::string lengthPrefixed(const std::string &part)
{
    return std::to_string(part.size()) + ':' + part;
}

}

std::string ClaimKey::toRowKey() const
{
    return lengthPrefixed(service) + lengthPrefixed(customer.value) + lengthPrefixed(key);
}

std::string toText(const ClaimRow &row)
{
    nlohmann::json json {{"state", row.state},         {"attempt", row.attempt.value},
                         {"host", row.host.value},     {"incarnation", row.incarnation},
                         {"target", row.target.value}, {"fingerprint", row.fingerprint}};
    if (row.state == ClaimState::Done) {
        json["result"] = {{"status", row.result.status},
                          {"contentType", textFromBytes(row.result.contentType)},
                          {"body", textFromBytes(row.result.body)},
                          {"bodyLeftOut", row.result.isBodyOmitted}};
    }
    return json.dump();
}

ClaimRow claimRowFromText(const std::string &text)
{
    const auto json = nlohmann::json::parse(text);
    ClaimRow row {.state = json.at("state").get<ClaimState>(),
                  .attempt = {json.at("attempt").get<std::string>()},
                  .host = {json.at("host").get<std::string>()},
                  .incarnation = json.at("incarnation").get<std::uint64_t>(),
                  .target = {json.at("target").get<std::string>()},
                  .fingerprint = json.at("fingerprint").get<std::string>()};
    if (row.state == ClaimState::Done) {
        const auto &result = json.at("result");
        row.result = {.status = result.at("status").get<unsigned>(),
                      .contentType = bytesFromText(result.at("contentType").get<std::string>()),
                      .body = bytesFromText(result.at("body").get<std::string>()),
                      .isBodyOmitted = result.at("bodyLeftOut").get<bool>()};
    }
    return row;
}

}
