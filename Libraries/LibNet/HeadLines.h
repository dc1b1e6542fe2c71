#pragma once

#include <string_view>

namespace Net {

// Checks the lines of a request head behind the fields that libmicrohttpd has read from them. libmicrohttpd accepts a
// lone LF as the end of a line, joins folded lines and ends a value at a NUL, and none of this shows in the fields. It
// reads the lines in place, though, and overwrites the spaces of the request line, the colons and the line ends with
// zeros. So the parts of a plain head lie one behind the other, with nothing but these between them.
class HeadLines
{
public:
    // The parts of the request line. All views of this class point into libmicrohttpd's buffer, where zeros follow
    // them.
    HeadLines(std::string_view method, std::string_view target, std::string_view version);

    // The next field of the head.
    void add(std::string_view name, std::string_view value);
    // Whether all lines are plain, after the last field has been added.
    [[nodiscard]] bool arePlain() const;

private:
    const char *m_end; // Of the last line, at its CR LF.
    bool m_arePlain;
};

}
