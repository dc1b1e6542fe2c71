#pragma once

#include <LibEngine/EngineLink.h>
#include <LibNet/HttpClient.h>

namespace Engine {

struct HttpEngineLinkOptions {
    Core::Duration orderTimeout = std::chrono::seconds(10);
    Core::Duration statusTimeout = std::chrono::milliseconds(800);
    Core::Duration idleTimeout = std::chrono::seconds(5); // Longest wait between two pieces of a stream.
};

// Sends orders and generation requests over HTTP. A stream is a sequence of JSON lines.
class HttpEngineLink final : public EngineLink
{
public:
    HttpEngineLink(Net::HttpClient &client, HttpEngineLinkOptions options);

    void load(const EngineAddress &engine, const AdapterOrder &order, OrderFunction done) override;
    void unload(const EngineAddress &engine, const AdapterOrder &order, OrderFunction done) override;
    void status(const EngineAddress &engine, StatusFunction done) override;
    StreamId generate(const EngineAddress &engine, const GenerateRequest &request, StreamFunction events) override;
    void cancel(StreamId stream) override;

private:
    struct StreamProgress;
    struct RunningStream {
        Net::HttpRequestId request;
        std::shared_ptr<StreamProgress> progress;
    };

    void sendOrder(const EngineAddress &engine, const char *path, const AdapterOrder &order, OrderFunction done);

    Net::HttpClient &m_client;
    HttpEngineLinkOptions m_options;
    std::uint64_t m_lastStream = 0;
    std::unordered_map<std::uint64_t, RunningStream> m_streams;
};

}
