#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace Net {

// Bytes that don't change and that copies share. For bodies that several owners keep.
class SharedBytes
{
public:
    SharedBytes() = default;
    SharedBytes(std::string bytes)
        : m_bytes(bytes.empty() ? nullptr : std::make_shared<const std::string>(std::move(bytes)))
    {
    }
    SharedBytes(const char *text)
        : SharedBytes(std::string(text))
    {
    }

    [[nodiscard]] std::string_view view() const
    {
        return m_bytes == nullptr ? std::string_view() : std::string_view(*m_bytes);
    }
    operator std::string_view() const
    {
        return view();
    }
    [[nodiscard]] std::size_t size() const
    {
        return view().size();
    }
    [[nodiscard]] bool empty() const
    {
        return view().empty();
    }

private:
    std::shared_ptr<const std::string> m_bytes;
};

}
