#pragma once

#include <LibNet/BufferBudget.h>
#include <LibNet/EventLoop.h>
#include <LibNet/HttpTransport.h>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace Net {

// Sends HTTP requests on the event loop, using curl's multi interface.
class HttpClient final : public HttpTransport
{
public:
    // The bodies that the client stores are work of the budget, if one is given. It must outlive the client.
    explicit HttpClient(EventLoop &loop, BufferBudget *budget = nullptr);
    ~HttpClient() override;
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    HttpRequestId start(HttpRequest request, DoneFunction done, DataFunction data = nullptr,
                        HeadFunction head = nullptr) override;
    void cancel(HttpRequestId id) override;
    void pause(HttpRequestId id) override;
    void resume(HttpRequestId id) override;
    // Restarts the idle timeout of a request whose progress is recorded.
    void recordProgress(HttpRequestId id);

private:
    struct Transfer;
    struct CurlCallbacks;

    static void configure(Transfer &transfer);
    // Hands the transfer to curl.
    void add(Transfer &transfer);
    // Lets curl act on a socket or its timeout. Transfers that its callbacks start are added afterwards, as curl adds
    // none while it calls back.
    void act(int socket, int events);
    void addStartedWhileActing();
    void handleSocketEvents();
    void handleTimeout();
    void finishCompletedTransfers();
    void finish(Transfer &transfer, int curlCode);
    void startIdleTimer(Transfer &transfer);
    // Replaces curl's total timeout, which doesn't stop during a pause, for a request that has been paused.
    void startTotalTimer(Transfer &transfer);
    // Has curl deliver what it holds of a response that is no longer paused, and receive on.
    void continueTransfer(std::uint64_t id);
    void release(Transfer &transfer);

    EventLoop &m_loop;
    BufferBudget *m_budget;
    void *m_multi = nullptr; // A CURLM; curl's header is not included here.
    int m_epollFd = -1;
    Core::TimerId m_timer = Core::TimerId::None;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> m_transfers;
    bool m_isActing = false; // curl may be calling back.
    std::vector<std::uint64_t> m_startedWhileActing;
    std::unordered_set<std::shared_ptr<Transfer>> m_cancelled; // Kept until their curl handles are released.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}
