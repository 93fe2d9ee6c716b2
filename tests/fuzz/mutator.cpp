#include "mutator.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace cardamombay::fuzz {

namespace {

constexpr std::size_t longestText = 16384;
constexpr std::size_t mostChanges = 6;

/// Texts that parsers tend to stumble over.
constexpr std::array<std::string_view, 36> tokens{"\"",
                                                  "'",
                                                  "{",
                                                  "}",
                                                  "[",
                                                  "]",
                                                  ",",
                                                  ":",
                                                  "=",
                                                  "\n",
                                                  "\\",
                                                  "#",
                                                  "null",
                                                  "true",
                                                  "{}",
                                                  "[]",
                                                  "\"\"",
                                                  "0",
                                                  "-1",
                                                  "1.5",
                                                  "1e400",
                                                  "-0",
                                                  "nan",
                                                  "inf",
                                                  "18446744073709551615",
                                                  "18446744073709551616",
                                                  "9223372036854775808",
                                                  "\\ud800",
                                                  "\\u0000",
                                                  "\xff\xfe",
                                                  "\xed\xa0\x80",
                                                  "2026-12-02T00:00:00Z",
                                                  "99999999999999999h",
                                                  "\"\"\"",
                                                  "[[x]]",
                                                  "\n%%%\n"};

constexpr std::array<std::string_view, 10> numbers{
    "0",    "-1",   "1.5",        "1e308", "4294967295", "4294967296", "18446744073709551615",
    "1e-9", "true", "\"number\"",
};

} // namespace

Mutator::Mutator(std::vector<std::string> corpus, std::uint64_t seed)
    : corpus_(std::move(corpus))
    , random_(seed)
{
}

std::string Mutator::next()
{
    std::string text = pick();
    const std::size_t changes = 1 + random_.below(mostChanges);
    for (std::size_t i = 0; i < changes; ++i)
        change(text);
    if (text.size() > longestText)
        text.resize(longestText);
    return text;
}

const std::string &Mutator::pick()
{
    return corpus_[random_.below(corpus_.size())];
}

std::size_t Mutator::place(const std::string &text)
{
    return random_.below(text.size() + 1);
}

void Mutator::change(std::string &text)
{
    enum { FlipBit, Erase, Truncate, Token, Number, Copy, Splice, Nest, Count };
    switch (random_.below(Count)) {
    case FlipBit:
        if (!text.empty())
            text[random_.below(text.size())] ^= static_cast<char>(1U << random_.below(8));
        break;
    case Erase: {
        const auto start = place(text);
        text.erase(start, random_.below(16));
        break;
    }
    case Truncate:
        text.resize(place(text));
        break;
    case Token:
        insertToken(text);
        break;
    case Number:
        replaceNumber(text);
        break;
    case Copy:
        copyWithin(text);
        break;
    case Splice:
        splice(text);
        break;
    default: {
        constexpr std::size_t deepest = 4096;
        constexpr std::string_view brackets = "[{(\"";
        text.insert(place(text), 1 + random_.below(deepest),
                    brackets[random_.below(brackets.size())]);
        break;
    }
    }
}

void Mutator::insertToken(std::string &text)
{
    text.insert(place(text), tokens[random_.below(tokens.size())]);
}

void Mutator::replaceNumber(std::string &text)
{
    const auto start = text.find_first_of("0123456789", place(text));
    if (start == std::string::npos)
        return;
    const auto end = std::min(text.find_first_not_of("0123456789.", start), text.size());
    text.replace(start, end - start, numbers[random_.below(numbers.size())]);
}

void Mutator::copyWithin(std::string &text)
{
    const auto start = place(text);
    const std::string part = text.substr(start, random_.below(128));
    text.insert(place(text), part);
}

void Mutator::splice(std::string &text)
{
    const std::string &other = pick();
    text.resize(place(text));
    text += other.substr(place(other));
}

} // namespace cardamombay::fuzz
