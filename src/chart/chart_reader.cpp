#include "chart/chart_reader.hpp"

#include <algorithm>

namespace cardamombay::chart {

namespace {

bool contains(const std::vector<std::string> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::string quoted(std::string_view name)
{
    return "'" + std::string(name) + "'";
}

} // namespace

Chart ChartReader::read(const toml::table &root)
{
    checkKeys(root, {"states", "initial", "final", "events", "guards", "actions", "transitions",
                     "ignores"});
    readNames(root);

    if (const auto *node = root.get("transitions")) {
        const auto *list = node->as_array();
        if (!list || !list->is_array_of_tables())
            fail(*node, "transitions", "is not an array of tables", "write [[transitions]]");
        for (const auto &entry : *list)
            readTransition(*entry.as_table());
    }
    if (const auto *node = root.get("ignores")) {
        if (!node->is_table())
            fail(*node, "ignores", "is not a table", "write [ignores]");
        readIgnores(*node->as_table());
    }
    checkCoverage(root);
    checkReachable(root);
    checkUsed(root);
    return std::move(chart_);
}

void ChartReader::fail(const toml::node &node, std::string_view key, std::string problem,
                       std::string remedy) const
{
    throw ChartFault{
        InvalidInput{positionOf(node), std::string(key), std::move(problem), std::move(remedy)}};
}

SourcePosition ChartReader::positionOf(const toml::node &node) const
{
    const auto &begin = node.source().begin;
    return SourcePosition{chart_.file_, begin.line, begin.column};
}

void ChartReader::checkKeys(const toml::table &table, const std::set<std::string_view> &known) const
{
    for (const auto &[key, node] : table) {
        if (known.count(key.str()) == 0)
            fail(node, key.str(), "is not a key of a chart", "remove it or correct its spelling");
    }
}

std::string ChartReader::text(const toml::node &node, std::string_view key) const
{
    const auto *value = node.as_string();
    if (!value || value->get().empty())
        fail(node, key, "is not a name", "write a name in quotes");
    return value->get();
}

ChartReader::Names ChartReader::names(const toml::table &table, std::string_view key) const
{
    const auto *node = table.get(key);
    if (!node)
        return {};
    const auto *list = node->as_array();
    if (!list)
        return {text(*node, key)};
    Names names;
    for (const auto &entry : *list) {
        auto name = text(entry, key);
        if (contains(names, name))
            fail(entry, key, quoted(name) + " stands twice", "name it once");
        names.push_back(std::move(name));
    }
    return names;
}

ChartReader::Names ChartReader::knownNames(const toml::table &table, std::string_view key,
                                           const Names &known, std::string_view list) const
{
    auto found = names(table, key);
    for (const auto &name : found) {
        if (!contains(known, name)) {
            fail(*table.get(key), key, quoted(name) + " is not listed in " + std::string(list),
                 "add it there or correct its spelling");
        }
    }
    return found;
}

ChartReader::Names ChartReader::nameList(const toml::table &root, std::string_view key,
                                         bool isRequired) const
{
    auto list = names(root, key);
    if (list.empty() && isRequired)
        fail(root, key, "is missing or empty", "list at least one name");
    return list;
}

void ChartReader::readNames(const toml::table &root)
{
    chart_.states_ = nameList(root, "states", true);
    chart_.events_ = nameList(root, "events", true);
    chart_.guards_ = nameList(root, "guards", false);
    chart_.actions_ = nameList(root, "actions", false);
    const auto initial = knownNames(root, "initial", chart_.states_, "states");
    if (initial.size() != 1)
        fail(root, "initial", "is not one state", "name the state that the machine starts in");
    chart_.initial_ = initial.front();
    chart_.finalStates_ = knownNames(root, "final", chart_.states_, "states");
}

void ChartReader::readTransition(const toml::table &table)
{
    checkKeys(table, {"from", "on", "guard", "to", "actions"});
    const auto from = knownNames(table, "from", chart_.states_, "states");
    const auto events = knownNames(table, "on", chart_.events_, "events");
    const auto to = knownNames(table, "to", chart_.states_, "states");
    if (from.empty())
        fail(table, "from", "is missing", "name the state the transition leaves");
    if (events.empty())
        fail(table, "on", "is missing", "name the event that takes the transition");
    if (to.size() > 1)
        fail(*table.get("to"), "to", "names several states", "name one state");

    Transition transition;
    transition.position_ = positionOf(table);
    transition.actions_ = knownNames(table, "actions", chart_.actions_, "actions");
    readGuard(table, transition);
    for (const auto &state : from) {
        for (const auto &event : events) {
            transition.from_ = state;
            transition.event_ = event;
            transition.to_ = to.empty() ? state : to.front();
            addTransition(table, transition);
        }
    }
}

void ChartReader::readGuard(const toml::table &table, Transition &transition) const
{
    const auto *node = table.get("guard");
    if (!node)
        return;
    auto name = text(*node, "guard");
    if (name.front() == '!') {
        transition.isGuardNegated_ = true;
        name.erase(0, 1);
    }
    if (!contains(chart_.guards_, name)) {
        fail(*node, "guard", quoted(name) + " is not listed in guards",
             "add it there or correct its spelling");
    }
    transition.guard_ = std::move(name);
}

void ChartReader::addTransition(const toml::table &table, const Transition &transition)
{
    if (chart_.isFinal(transition.from_)) {
        fail(table, "from", quoted(transition.from_) + " is final and takes no event",
             "remove the transition or take the state out of final");
    }
    for (const auto &other : chart_.transitions_) {
        const bool isSameCell
            = other.from_ == transition.from_ && other.event_ == transition.event_;
        const bool isCovered = other.guard_.empty()
                               || (other.guard_ == transition.guard_
                                   && other.isGuardNegated_ == transition.isGuardNegated_);
        if (isSameCell && isCovered) {
            fail(table, "on",
                 quoted(transition.event_) + " in " + quoted(transition.from_)
                     + " is already handled in line " + std::to_string(other.position_.line_),
                 "remove one of the transitions or guard the first");
        }
    }
    chart_.transitions_.push_back(transition);
}

void ChartReader::readIgnores(const toml::table &table)
{
    for (const auto &[key, node] : table) {
        const std::string state(key.str());
        if (!contains(chart_.states_, state)) {
            fail(node, "ignores", quoted(state) + " is not listed in states",
                 "add it there or correct its spelling");
        }
        if (chart_.isFinal(state)) {
            fail(node, "ignores", quoted(state) + " is final and takes no event",
                 "remove the line or take the state out of final");
        }
        for (auto &event : knownNames(table, state, chart_.events_, "events"))
            chart_.ignored_.push_back({state, std::move(event)});
    }
}

void ChartReader::checkCoverage(const toml::table &root) const
{
    for (const auto &cell : chart_.cells()) {
        const auto isUnguarded = [](const Transition &t) { return t.guard_.empty(); };
        const bool isAlwaysTaken
            = std::any_of(cell.transitions_.begin(), cell.transitions_.end(), isUnguarded);
        const std::string where = quoted(cell.event_) + " in " + quoted(cell.state_);
        if (isAlwaysTaken && cell.isIgnored_) {
            fail(*root.get("ignores"), "ignores", where + " is ignored and also always handled",
                 "remove it from ignores");
        }
        if (!isAlwaysTaken && !cell.isIgnored_) {
            fail(root, "transitions", where + " is not handled in every case",
                 "add a transition without a guard or list the event in ignores");
        }
    }
}

void ChartReader::checkReachable(const toml::table &root) const
{
    std::set<std::string> reached{chart_.initial_};
    for (bool hasGrown = true; hasGrown;) {
        hasGrown = false;
        for (const auto &transition : chart_.transitions_) {
            if (reached.count(transition.from_) != 0 && reached.insert(transition.to_).second)
                hasGrown = true;
        }
    }
    for (const auto &state : chart_.states_) {
        if (reached.count(state) == 0) {
            fail(*root.get("states"), "states", quoted(state) + " cannot be reached",
                 "add a transition to it or remove it");
        }
    }
}

void ChartReader::checkUsed(const toml::table &root) const
{
    std::set<std::string> used;
    for (const auto &transition : chart_.transitions_) {
        used.insert("guards/" + transition.guard_);
        for (const auto &action : transition.actions_)
            used.insert("actions/" + action);
    }
    const auto check = [&](const char *list, const Names &names) {
        for (const auto &name : names) {
            if (used.count(std::string(list) + "/" + name) == 0)
                fail(*root.get(list), list, quoted(name) + " is not used", "remove it");
        }
    };
    check("guards", chart_.guards_);
    check("actions", chart_.actions_);
}

Result<Chart> parseChart(std::string_view text, std::string_view file)
{
    try {
        const auto root = cardamombay::impl::parseToml(text, file);
        return ChartReader(file).read(root);
    } catch (const ChartFault &fault) {
        return Error(fault.error_);
    } catch (const cardamombay::impl::TomlFault &fault) {
        return Error(
            InvalidInput{fault.position_, "", fault.description_, "correct the TOML syntax"});
    }
}

} // namespace cardamombay::chart
