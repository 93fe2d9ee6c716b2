/// \file
/// \brief Strict reading of TOML tables: every key is known, typed and in range, or reported.
#pragma once

#include "config/problems.hpp"
#include "core/toml.hpp"

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::config::impl {

/// \brief Bounds of a value, both allowed.
template<typename T>
struct Range
{
    T least_;
    T most_;
};

/// \brief Parses \p text; a syntax error goes to \p problems and gives an empty optional.
[[nodiscard]] std::optional<toml::table> parseToml(std::string_view text, const std::string &file,
                                                   Problems &problems);

/// \brief Where \p node stands.
[[nodiscard]] SourcePosition positionOf(const toml::node &node, const std::string &file);

/// \brief Where \p key of \p table stands.
[[nodiscard]] SourcePosition positionOf(const toml::key &key, const std::string &file);

/// \brief Reads one table. Each read names a known key; finish() reports all the others.
/// \details A read leaves its target as it is when the key is absent or wrong, so targets hold
/// the defaults. Wrong keys are reported once, with position and remedy.
class TableReader
{
public:
    /// \param table what to read; must outlive the reader.
    /// \param path dotted name of the table, empty at the root.
    TableReader(const toml::table &table, std::string path, std::string file, Problems &problems);

    /// \name Values
    /// \{
    void read(std::string_view key, std::string &target);
    void read(std::string_view key, bool &target);
    void read(std::string_view key, double &target, Range<double> range);
    void read(std::string_view key, std::uint32_t &target, Range<std::uint32_t> range);
    void read(std::string_view key, Duration &target, Range<Duration> range);
    void read(std::string_view key, Address &target);
    void read(std::string_view key, std::vector<Address> &target);
    void read(std::string_view key, std::vector<std::string> &target);
    /// \brief Reads a text that must be one of \p choices.
    void readChoice(std::string_view key, std::string &target, std::vector<std::string> choices);
    /// \}

    /// \name Tables
    /// \{
    /// \brief The table under \p key, or null if it is absent or not a table.
    [[nodiscard]] const toml::table *table(std::string_view key);
    /// \brief The tables of the array under \p key; empty if it is absent or wrong.
    [[nodiscard]] std::vector<const toml::table *> tables(std::string_view key);
    /// \brief A reader for a table under \p key.
    [[nodiscard]] TableReader child(const toml::table &table, std::string_view key) const;
    /// \}

    /// \brief Reports \p key as missing if it is absent.
    void require(std::string_view key, const std::string &remedy);

    /// \brief Reports a problem at the value of \p key, or at the table if it is absent.
    void report(std::string_view key, std::string problem, std::string remedy);

    /// \brief Reports \p key, known but out of place in this table, if it is there.
    void refuse(std::string_view key, std::string problem, std::string remedy);

    /// \brief Reports keys that no read named.
    void finish();

    [[nodiscard]] bool has(std::string_view key) const { return table_.contains(key); }
    /// \brief True if \p key is there with the whole number \p value.
    [[nodiscard]] bool holds(std::string_view key, std::int64_t value) const;
    [[nodiscard]] const toml::table &node() const { return table_; }
    [[nodiscard]] const std::string &file() const { return file_; }
    /// \brief Whole dotted name of \p key.
    [[nodiscard]] std::string fullKey(std::string_view key) const;

private:
    [[nodiscard]] const toml::node *find(std::string_view key);
    void reportType(std::string_view key, const toml::node &node, const std::string &wanted);

    const toml::table &table_;
    std::string path_;
    std::string file_;
    Problems &problems_;
    std::vector<std::string> known_;
    std::vector<std::string> refused_; ///< Reported already; not offered as the nearest key.
};

} // namespace cardamombay::config::impl
