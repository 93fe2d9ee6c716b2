/// \file
/// \brief The platform's object store, as the library sees it.
/// \details The seam to the platform. A put whose answer was lost is StoreAnswerLost, never a
/// failure; content is opaque text.
#pragma once

#include <cardamombay/core/result.hpp>

#include <string>

namespace cardamombay::platform {

/// \brief Object store. Objects are named by the hash of their content and never change.
class ObjectStore
{
public:
    ObjectStore() = default;
    ObjectStore(const ObjectStore &) = delete;
    ObjectStore &operator=(const ObjectStore &) = delete;
    virtual ~ObjectStore() = default;

    /// \brief Stores \p content under \p name; storing the same again is harmless.
    virtual void put(std::string name, std::string content, Callback<Done> done) = 0;

    /// \brief Fetches an object; NotFound if there is none.
    virtual void fetch(std::string name, Callback<std::string> done) = 0;
};

} // namespace cardamombay::platform
