#include <LibNet/HttpTransfer.h>

#include <LibCore/StepError.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace Net {

namespace {

// A connection that was idle for longer isn't reused, because a NAT or firewall on the path may have dropped its state.
constexpr long MaxConnectionIdleSeconds = 15;

// Connections that are kept open, counting those in use. By default curl keeps four for each running transfer, so that
// a host with little traffic closes a connection before its next use.
constexpr long MaxConnections = 256;

// curl's smallest upload buffer.
constexpr long UploadBufferBytes = 16 * 1024;

}

HttpClient::HttpClient(EventLoop &loop, BufferBudget *budget)
    : m_loop(loop)
    , m_budget(budget)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    m_multi = curl_multi_init();
    m_epollFd = epoll_create1(EPOLL_CLOEXEC);
    if (m_multi == nullptr || m_epollFd < 0) {
        throw Core::StepError("start HTTP client", "local host", std::strerror(errno));
    }
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &CurlCallbacks::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &CurlCallbacks::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, MaxConnections);
    m_loop.watchReadable(m_epollFd, [this] {
        handleSocketEvents();
    });
}

HttpClient::~HttpClient()
{
    *m_isAlive = false;
    for (const auto &transfer : m_cancelled) {
        release(*transfer);
    }
    for (auto &[id, transfer] : m_transfers) {
        release(*transfer);
    }
    m_transfers.clear();
    curl_multi_cleanup(m_multi);
    m_loop.cancel(m_timer);
    m_loop.unwatch(m_epollFd);
    close(m_epollFd);
}

HttpRequestId HttpClient::start(HttpRequest request, DoneFunction done, DataFunction data, HeadFunction head)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->client = this;
    transfer->id = ++m_lastId;
    transfer->easy = curl_easy_init();
    transfer->request = std::move(request);
    transfer->done = std::move(done);
    transfer->data = std::move(data);
    transfer->head = std::move(head);
    transfer->lastActivity = m_loop.now();
    transfer->bodyBytes.attach(m_budget);
    transfer->heldBytes.attach(m_budget);
    transfer->totalDue = transfer->lastActivity + transfer->request.totalTimeout;
    configure(*transfer);
    const auto id = transfer->id;
    auto &added = *m_transfers.emplace(id, std::move(transfer)).first->second;
    startIdleTimer(added);
    if (m_isActing) {
        m_startedWhileActing.push_back(id);
    } else {
        add(added);
    }
    return HttpRequestId(id);
}

void HttpClient::add(Transfer &transfer)
{
    if (curl_multi_add_handle(m_multi, transfer.easy) == CURLM_OK) {
        return;
    }
    m_loop.post([this, isAlive = m_isAlive, id = transfer.id] {
        if (*isAlive && m_transfers.contains(id)) {
            finish(*m_transfers.at(id), CURLE_FAILED_INIT);
        }
    });
}

void HttpClient::act(int socket, int events)
{
    int running = 0;
    m_isActing = true;
    curl_multi_socket_action(m_multi, socket, events, &running);
    m_isActing = false;
    addStartedWhileActing();
}

void HttpClient::addStartedWhileActing()
{
    for (const auto id : std::exchange(m_startedWhileActing, {})) {
        if (const auto found = m_transfers.find(id); found != m_transfers.end()) {
            add(*found->second);
        }
    }
}

void HttpClient::configure(Transfer &transfer)
{
    const auto &request = transfer.request;
    auto *easy = transfer.easy;
    for (const auto &header : request.headers) {
        transfer.headers = curl_slist_append(transfer.headers, header.c_str());
    }
    if (request.headerDefaults == HeaderDefaults::Omitted) {
        const auto isNamed = [&request](std::string_view name) {
            return std::any_of(request.headers.begin(), request.headers.end(), [name](const auto &header) {
                return isSameName(std::string_view(header).substr(0, header.find(':')), name);
            });
        };
        for (const auto *name : {"Accept", "Content-Type"}) {
            if (!isNamed(name)) {
                transfer.headers = curl_slist_append(transfer.headers, (std::string(name) + ':').c_str());
            }
        }
    }
    // Suppresses "Expect: 100-continue", which would add a round trip to every large request.
    transfer.headers = curl_slist_append(transfer.headers, "Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    if (!request.target.empty()) {
        curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request.target.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, ReceiveBufferBytes);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &CurlCallbacks::onSocketOpened);
    const bool hasBody = !request.body.empty() || (request.method != "GET" && request.method != "HEAD");
    if (hasBody) {
        curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
        curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, UploadBufferBytes);
        curl_easy_setopt(easy, CURLOPT_READFUNCTION, &CurlCallbacks::onReadBody);
        curl_easy_setopt(easy, CURLOPT_READDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    }
    if (request.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(Core::toMilliseconds(request.connectTimeout)));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(Core::toMilliseconds(request.totalTimeout)));
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, MaxConnectionIdleSeconds);
    const bool isRetriedByCurl = request.body.empty() && request.method != "GET" && request.method != "HEAD";
    if (request.connectionUse == ConnectionUse::Fresh || isRetriedByCurl) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (request.isStillPermitted) {
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &CurlCallbacks::onConnected);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    }
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &CurlCallbacks::onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &CurlCallbacks::onData);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
}

void HttpClient::cancel(HttpRequestId id)
{
    const auto found = m_transfers.find(static_cast<std::uint64_t>(id));
    if (found == m_transfers.end()) {
        return;
    }
    // cancel() may be called from curl's data callback. There the handle can't be removed and the data function can't
    // be destroyed, so both are released later.
    const auto transfer = std::shared_ptr<Transfer>(std::move(found->second));
    m_transfers.erase(found);
    transfer->isCancelled = true;
    m_loop.cancel(transfer->idleTimer);
    m_loop.cancel(transfer->totalTimer);
    transfer->heldBytes.release();
    m_cancelled.insert(transfer);
    m_loop.post([this, isAlive = m_isAlive, transfer] {
        if (*isAlive) {
            m_cancelled.erase(transfer);
            release(*transfer);
        }
    });
}

void HttpClient::pause(HttpRequestId id)
{
    const auto found = m_transfers.find(static_cast<std::uint64_t>(id));
    if (found == m_transfers.end() || found->second->isPaused) {
        return;
    }
    auto &transfer = *found->second;
    transfer.isPaused = true;
    transfer.pausedAt = m_loop.now();
    m_loop.cancel(transfer.totalTimer);
    transfer.totalTimer = Core::TimerId::None;
    curl_easy_setopt(transfer.easy, CURLOPT_TIMEOUT_MS, 0L);
}

void HttpClient::resume(HttpRequestId id)
{
    const auto found = m_transfers.find(static_cast<std::uint64_t>(id));
    if (found == m_transfers.end() || !found->second->isPaused) {
        return;
    }
    auto &transfer = *found->second;
    transfer.isPaused = false;
    transfer.lastActivity = m_loop.now();
    transfer.totalDue += m_loop.now() - transfer.pausedAt;
    startTotalTimer(transfer);
    // curl delivers inside its call what it has kept, so the call is left to the event loop.
    m_loop.post([this, isAlive = m_isAlive, number = transfer.id] {
        if (*isAlive) {
            continueTransfer(number);
        }
    });
}

void HttpClient::continueTransfer(std::uint64_t id)
{
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end() || found->second->isPaused || !found->second->isHeldByCurl) {
        return;
    }
    auto &transfer = *found->second;
    transfer.isHeldByCurl = false;
    transfer.heldBytes.release();
    // The functions of the transfer may pause or cancel it again.
    m_isActing = true;
    const auto code = curl_easy_pause(transfer.easy, CURLPAUSE_CONT);
    m_isActing = false;
    addStartedWhileActing();
    if (code != CURLE_OK && m_transfers.contains(id)) {
        finish(transfer, code);
    }
}

void HttpClient::startTotalTimer(Transfer &transfer)
{
    if (transfer.request.totalTimeout > Core::Duration::zero()) {
        transfer.totalTimer = m_loop.runAfter(transfer.totalDue - m_loop.now(), [this, &transfer] {
            finish(transfer, CURLE_OPERATION_TIMEDOUT);
        });
    }
}

void HttpClient::recordProgress(HttpRequestId id)
{
    if (const auto found = m_transfers.find(static_cast<std::uint64_t>(id)); found != m_transfers.end()) {
        found->second->lastActivity = m_loop.now();
    }
}

void HttpClient::handleSocketEvents()
{
    std::array<epoll_event, 64> events {};
    const int count = epoll_wait(m_epollFd, events.data(), static_cast<int>(events.size()), 0);
    for (int i = 0; i < count; ++i) {
        const auto readyEvents = events.at(static_cast<std::size_t>(i)).events;
        const int mask = ((readyEvents & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0)
            | ((readyEvents & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0)
            | ((readyEvents & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0);
        act(events.at(static_cast<std::size_t>(i)).data.fd, mask);
    }
    finishCompletedTransfers();
}

void HttpClient::handleTimeout()
{
    m_timer = Core::TimerId::None;
    act(CURL_SOCKET_TIMEOUT, 0);
    finishCompletedTransfers();
}

void HttpClient::finishCompletedTransfers()
{
    int remaining = 0;
    while (const auto *message = curl_multi_info_read(m_multi, &remaining)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        Transfer *transfer = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        if (m_transfers.contains(transfer->id)) {
            finish(*transfer, message->data.result);
        }
    }
}

void HttpClient::finish(Transfer &transfer, int curlCode)
{
    HttpResult result;
    long sentBytes = 0;
    long openedConnections = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &result.status);
    curl_easy_getinfo(transfer.easy, CURLINFO_REQUEST_SIZE, &sentBytes);
    curl_easy_getinfo(transfer.easy, CURLINFO_NUM_CONNECTS, &openedConnections);
    result.isConnectionReused = openedConnections == 0;
    if (curlCode != CURLE_OK) {
        result.status = 0;
        result.error = transfer.violation.empty() ? curl_easy_strerror(static_cast<CURLcode>(curlCode))
                                                  : std::string(transfer.violation);
        result.isTimedOut = curlCode == CURLE_OPERATION_TIMEDOUT;
        result.mayHaveBeenSent = sentBytes > 0;
    } else if (!transfer.hasHead) {
        // curl reports success if the connection is closed after the status line.
        result.status = 0;
        result.error = "connection closed in the head of the response";
    }
    const char *contentType = nullptr;
    curl_easy_getinfo(transfer.easy, CURLINFO_CONTENT_TYPE, &contentType);
    result.contentType = contentType == nullptr ? "" : contentType;
    result.fields = std::move(transfer.fields);
    result.body = std::move(transfer.body);
    const auto owned = std::move(m_transfers.at(transfer.id));
    m_transfers.erase(transfer.id);
    m_loop.cancel(owned->idleTimer);
    m_loop.cancel(owned->totalTimer);
    release(*owned);
    if (owned->done) {
        owned->done(std::move(result));
    }
}

void HttpClient::startIdleTimer(Transfer &transfer)
{
    if (transfer.request.idleTimeout <= Core::Duration::zero()) {
        return;
    }
    const auto due = transfer.lastActivity + transfer.request.idleTimeout;
    transfer.idleTimer = m_loop.runAfter(due - m_loop.now(), [this, &transfer] {
        if (transfer.isPaused) {
            transfer.lastActivity = m_loop.now();
        }
        if (m_loop.now() - transfer.lastActivity >= transfer.request.idleTimeout) {
            finish(transfer, CURLE_OPERATION_TIMEDOUT);
            return;
        }
        startIdleTimer(transfer);
    });
}

void HttpClient::release(Transfer &transfer)
{
    curl_multi_remove_handle(m_multi, transfer.easy);
    curl_easy_cleanup(transfer.easy);
    curl_slist_free_all(transfer.headers);
    transfer.easy = nullptr;
    transfer.headers = nullptr;
}

}
