/// \file
/// \brief Bytes that have several owners and are never changed.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace cardamombay {

/// \brief Immutable bytes; copies share them.
class SharedBytes
{
public:
    SharedBytes() = default;
    SharedBytes(std::string bytes) // NOLINT(google-explicit-constructor)
        : bytes_(std::make_shared<const std::string>(std::move(bytes)))
    {
    }

    /// \brief The bytes; valid as long as one of the owners.
    [[nodiscard]] std::string_view view() const
    {
        return bytes_ ? std::string_view(*bytes_) : std::string_view();
    }
    [[nodiscard]] std::size_t size() const { return view().size(); }
    [[nodiscard]] bool isEmpty() const { return view().empty(); }

private:
    std::shared_ptr<const std::string> bytes_;
};

} // namespace cardamombay
