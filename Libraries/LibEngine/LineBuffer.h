#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace Engine {

// Splits a byte stream into lines.
class LineBuffer
{
public:
    // Calls the function with each line that the new bytes complete, without its line feed. Returns false when the
    // unfinished line exceeds the limit; its bytes are dropped.
    [[nodiscard]] bool append(std::string_view bytes, const std::function<void(std::string_view)> &onLine)
    {
        m_rest += bytes;
        std::size_t begin = 0;
        for (auto end = m_rest.find('\n'); end != std::string::npos; end = m_rest.find('\n', begin)) {
            onLine(std::string_view(m_rest).substr(begin, end - begin));
            begin = end + 1;
        }
        m_rest.erase(0, begin);
        if (m_rest.size() > MaxLineBytes) {
            m_rest.clear();
            return false;
        }
        return true;
    }

    // The bytes after the last line feed.
    [[nodiscard]] const std::string &rest() const
    {
        return m_rest;
    }

private:
    static constexpr std::size_t MaxLineBytes = 256UL * 1024;

    std::string m_rest;
};

}
