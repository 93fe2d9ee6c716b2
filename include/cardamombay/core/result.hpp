/// \file
/// \brief Result of an operation that can fail.
#pragma once

#include <cardamombay/core/error.hpp>

#include <functional>
#include <utility>
#include <variant>

namespace cardamombay {

/// \brief Value of an operation that gives nothing but its success.
struct Done
{
    friend bool operator==(Done, Done) = default;
};

/// \brief Either the value or the error.
template<typename T>
using Result = std::variant<T, Error>;

/// \brief Receives the result of an asynchronous operation, once, on the owner's thread and never
/// from inside the call that started it.
template<typename T>
using Callback = std::function<void(Result<T>)>;

/// \brief True if \p result holds a value.
template<typename T>
[[nodiscard]] bool isOk(const Result<T> &result)
{
    return result.index() == 0;
}

/// \brief The value; the caller has checked isOk().
template<typename T>
[[nodiscard]] const T &valueOf(const Result<T> &result)
{
    return std::get<0>(result);
}

/// \overload
template<typename T>
[[nodiscard]] T &valueOf(Result<T> &result)
{
    return std::get<0>(result);
}

/// \overload
template<typename T>
[[nodiscard]] T valueOf(Result<T> &&result)
{
    return std::get<0>(std::move(result));
}

/// \brief The error; the caller has checked that isOk() is false.
template<typename T>
[[nodiscard]] const Error &errorOf(const Result<T> &result)
{
    return std::get<1>(result);
}

/// \brief True if \p result holds an error of kind \p Kind.
template<typename Kind, typename T>
[[nodiscard]] bool isError(const Result<T> &result)
{
    return !isOk(result) && std::holds_alternative<Kind>(errorOf(result));
}

} // namespace cardamombay
