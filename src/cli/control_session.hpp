/// \file
/// \brief What one command of cardamombayctl works with: options, links and outputs.
#pragma once

#include "cli/control_options.hpp"
#include "cli/event_loop.hpp"

#include <cardamombay/config/config_store.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/platform/http_object_store.hpp>
#include <cardamombay/platform/http_table_store.hpp>

#include <memory>
#include <ostream>
#include <string>
#include <string_view>

namespace cardamombay::cli {

/// \brief The configuration store reached over HTTP.
struct StoreLink
{
    StoreLink(EventLoop &loop, const Address &address);

    Random random_;
    platform::HttpTableStore tables_;
    platform::HttpObjectStore objects_;
    config::ConfigStore config_;
};

/// \brief One run of the program.
class ControlSession
{
public:
    ControlSession(ControlOptions options, std::ostream &out, std::ostream &err);

    [[nodiscard]] const ControlOptions &options() const { return options_; }
    [[nodiscard]] EventLoop &loop() { return loop_; }
    [[nodiscard]] std::ostream &out() { return out_; }
    [[nodiscard]] std::ostream &err() { return err_; }

    /// \brief The operand at \p index behind the words of the command; empty if there is none.
    [[nodiscard]] std::string operand(std::size_t index) const;
    [[nodiscard]] std::vector<std::string> operands() const;
    void setCommandWords(std::size_t count) { commandWords_ = count; }

    /// \brief The store; InvalidInput if no address was given.
    [[nodiscard]] Result<StoreLink *> store();

    /// \brief Body of the answer of the entry VM that was named.
    [[nodiscard]] Result<std::string> ask(const std::string &method, const std::string &target);
    /// \brief Body of the answer of the entry VM at \p entry.
    [[nodiscard]] Result<std::string> ask(const Address &entry, const std::string &method,
                                          const std::string &target);

    /// \brief Writes \p error with its remedy and gives the exit code for it.
    int fail(const Error &error);

private:
    ControlOptions options_;
    std::ostream &out_;
    std::ostream &err_;
    EventLoop loop_;
    std::unique_ptr<StoreLink> store_;
    std::size_t commandWords_ = 0;
};

} // namespace cardamombay::cli
