/// \file
/// \brief Turns the TOML of a chart into a Chart and checks it.
#pragma once

#include "core/toml.hpp"

#include <cardamombay/chart/chart.hpp>

#include <set>

namespace cardamombay::chart {

/// \brief Fault in a chart; caught in parseChart().
struct ChartFault
{
    InvalidInput error_;
};

/// \brief Reads one chart; throws ChartFault at the first fault.
class ChartReader
{
public:
    explicit ChartReader(std::string_view file) { chart_.file_ = file; }

    Chart read(const toml::table &root);

private:
    using Names = std::vector<std::string>;

    [[noreturn]] void fail(const toml::node &node, std::string_view key, std::string problem,
                           std::string remedy) const;
    [[nodiscard]] SourcePosition positionOf(const toml::node &node) const;
    void checkKeys(const toml::table &table, const std::set<std::string_view> &known) const;

    [[nodiscard]] std::string text(const toml::node &node, std::string_view key) const;
    [[nodiscard]] Names names(const toml::table &table, std::string_view key) const;
    [[nodiscard]] Names knownNames(const toml::table &table, std::string_view key,
                                   const Names &known, std::string_view list) const;
    [[nodiscard]] Names nameList(const toml::table &root, std::string_view key,
                                 bool isRequired) const;

    void readNames(const toml::table &root);
    void readTransition(const toml::table &table);
    void readGuard(const toml::table &table, Transition &transition) const;
    void addTransition(const toml::table &table, const Transition &transition);
    void readIgnores(const toml::table &table);

    void checkCoverage(const toml::table &root) const;
    void checkReachable(const toml::table &root) const;
    void checkUsed(const toml::table &root) const;

    Chart chart_;
};

} // namespace cardamombay::chart
