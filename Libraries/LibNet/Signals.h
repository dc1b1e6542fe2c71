#pragma once

#include <initializer_list>

namespace Net {

// Signals of the process, recorded until an event loop handles them. A signal handler may interrupt any code, also an
// allocation, so it only sets a flag and writes a byte to a pipe that the loop reads.

// Records these signals from now on, in place of their default action. A program calls this at the start of main(), so
// that a signal that arrives before the loop watches it isn't lost. Throws StepError if it isn't possible.
void recordSignals(std::initializer_list<int> numbers);
// Ignores SIGPIPE, so that writing to a closed connection is an error and doesn't end the process.
void ignoreBrokenPipes();
// The descriptor that is readable when a signal has been recorded since it was last cleared.
[[nodiscard]] int recordedSignalsFd();
void clearRecordedSignalsFd();
// Returns whether the signal has arrived since the last call. Several of a kind count as one.
[[nodiscard]] bool takeRecordedSignal(int number);

}
