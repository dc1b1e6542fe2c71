#include <LibNet/PeerSocket.h>

#include <LibCore/StepError.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace Net {

namespace {

constexpr int MaxQueuedMessagesPerPeer = 256;
constexpr int MaxMessagesPerWakeUp = 64;
constexpr std::size_t MaxMessageBytes = 4U << 20U;
constexpr nng_duration MinReconnectDelayMilliseconds = 20;
constexpr nng_duration MaxReconnectDelayMilliseconds = 500;

void check(int code, const char *step, std::string_view peer)
{
    if (code != 0) {
        throw Core::StepError(step, std::string(peer), nng_strerror(code));
    }
}

}

PeerSocket::PeerSocket(EventLoop &loop, std::string_view listenAddress, MessageFunction handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
{
    nng_socket socket {};
    check(nng_pull0_open(&socket), "open peer socket", listenAddress);
    m_listener = socket.id;
    check(nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, MaxMessageBytes), "open peer socket", listenAddress);
    check(nng_listen(socket, ("tcp://" + std::string(listenAddress)).c_str(), nullptr, 0), "listen for peers",
          listenAddress);
    check(nng_socket_get_int(socket, NNG_OPT_RECVFD, &m_receiveFd), "open peer socket", listenAddress);
    m_loop.watchReadable(m_receiveFd, [this] {
        receive();
    });
}

PeerSocket::~PeerSocket()
{
    m_loop.unwatch(m_receiveFd);
    for (const auto &[address, id] : m_dialers) {
        nng_close(nng_socket {id});
    }
    nng_close(nng_socket {m_listener});
}

bool PeerSocket::send(const std::string &address, std::string_view message)
{
    auto found = m_dialers.find(address);
    if (found == m_dialers.end()) {
        nng_socket socket {};
        check(nng_push0_open(&socket), "connect to peer", address);
        nng_socket_set_int(socket, NNG_OPT_SENDBUF, MaxQueuedMessagesPerPeer);
        nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, MinReconnectDelayMilliseconds);
        nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, MaxReconnectDelayMilliseconds);
        if (const int code = nng_dial(socket, ("tcp://" + address).c_str(), nullptr, NNG_FLAG_NONBLOCK); code != 0) {
            nng_close(socket);
            return false;
        }
        found = m_dialers.emplace(address, socket.id).first;
    }
    // NNG_FLAG_NONBLOCK makes nng return at once when the queue is full. Without NNG_FLAG_ALLOC nng copies the bytes
    // and doesn't modify them.
    auto *bytes = const_cast<char *>(message.data());
    return nng_send(nng_socket {found->second}, bytes, message.size(), NNG_FLAG_NONBLOCK) == 0;
}

void PeerSocket::disconnect(const std::string &address)
{
    if (const auto found = m_dialers.find(address); found != m_dialers.end()) {
        nng_close(nng_socket {found->second});
        m_dialers.erase(found);
    }
}

void PeerSocket::receive()
{
    for (int i = 0; i < MaxMessagesPerWakeUp; ++i) {
        void *bytes = nullptr;
        std::size_t size = 0;
        if (nng_recv(nng_socket {m_listener}, static_cast<void *>(&bytes), &size, NNG_FLAG_NONBLOCK | NNG_FLAG_ALLOC)
            != 0) {
            return;
        }
        m_handler(std::string_view(static_cast<const char *>(bytes), size));
        nng_free(bytes, size);
    }
}

}
