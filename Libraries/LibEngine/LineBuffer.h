#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace Engine {

// Cuts a byte stream into lines.
class LineBuffer
{
public:
    // Calls the function with each line that the new bytes complete, without its line feed.
    void append(std::string_view bytes, const std::function<void(std::string_view)> &onLine)
    {
        m_rest += bytes;
        std::size_t begin = 0;
        for (auto end = m_rest.find('\n'); end != std::string::npos; end = m_rest.find('\n', begin)) {
            onLine(std::string_view(m_rest).substr(begin, end - begin));
            begin = end + 1;
        }
        m_rest.erase(0, begin);
    }

    // Bytes after the last line feed.
    [[nodiscard]] const std::string &rest() const
    {
        return m_rest;
    }

private:
    std::string m_rest;
};

}
