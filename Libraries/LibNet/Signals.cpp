#include <LibNet/Signals.h>

#include <LibCore/StepError.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace Net {

namespace {

// What the signal handler uses. Lock-free atomics may be used in a signal handler.
static_assert(std::atomic<bool>::is_always_lock_free && std::atomic<int>::is_always_lock_free);
std::array<std::atomic<bool>, NSIG> isSignalRecorded;
std::atomic<int> pipeWriteFd = -1;

struct Pipe {
    int readFd = -1;
    int writeFd = -1;

    Pipe()
    {
        std::array<int, 2> fds {};
        if (pipe2(fds.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
            throw Core::StepError("open the pipe of signals", "local host", std::strerror(errno));
        }
        readFd = fds[0];
        writeFd = fds[1];
        pipeWriteFd = writeFd;
    }
};

const Pipe &signalPipe()
{
    static const Pipe pipe;
    return pipe;
}

extern "C" void recordSignal(int number)
{
    const int savedError = errno;
    isSignalRecorded[static_cast<std::size_t>(number)] = true;
    const char byte = 0;
    // If the pipe is full, it is readable already.
    (void)!write(pipeWriteFd, &byte, 1);
    errno = savedError;
}

void setAction(int number, void (*handler)(int))
{
    struct sigaction action {
    };
    action.sa_handler = handler;
    action.sa_flags = SA_RESTART;
    sigemptyset(&action.sa_mask);
    if (sigaction(number, &action, nullptr) != 0) {
        throw Core::StepError("handle signal", std::to_string(number), std::strerror(errno));
    }
}

}

void recordSignals(std::initializer_list<int> numbers)
{
    (void)signalPipe();
    for (const int number : numbers) {
        setAction(number, &recordSignal);
    }
}

void ignoreBrokenPipes()
{
    setAction(SIGPIPE, SIG_IGN);
}

int recordedSignalsFd()
{
    return signalPipe().readFd;
}

void clearRecordedSignalsFd()
{
    std::array<char, 64> bytes {};
    while (read(signalPipe().readFd, bytes.data(), bytes.size()) > 0) { }
}

bool takeRecordedSignal(int number)
{
    return isSignalRecorded.at(static_cast<std::size_t>(number)).exchange(false);
}

}
