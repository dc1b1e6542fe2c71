#pragma once

namespace Client {

// What the program's exit tells a script.
enum class ExitCode {
    Done = 0,
    // The system refused; nothing was changed or run.
    Refused = 1,
    // The command line, a file or the settings can't be used.
    BadInput = 2,
    // No answer, or it isn't known whether it took effect.
    Unknown = 3,
};

}
