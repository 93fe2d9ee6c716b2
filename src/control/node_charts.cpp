#include <cardamombay/control/node_charts.hpp>

#include <optional>
#include <string_view>

namespace cardamombay::control {

namespace {

/// Loads charts in sequence and stops at the first error.
class ChartLoader
{
public:
    explicit ChartLoader(const chart::ChartFolder &folder)
        : folder_(folder)
    {
    }

    template<typename Program>
    void load(std::string_view name, Result<Program> (*bind)(const chart::Chart &), Program &out)
    {
        if (error_)
            return;
        const auto chart = folder_.load(name);
        if (!isOk(chart)) {
            error_ = errorOf(chart);
            return;
        }
        auto program = bind(valueOf(chart));
        if (isOk(program))
            out = valueOf(std::move(program));
        else
            error_ = errorOf(program);
    }

    [[nodiscard]] const std::optional<Error> &error() const { return error_; }

private:
    const chart::ChartFolder &folder_;
    std::optional<Error> error_;
};

} // namespace

Result<NodeCharts> loadCharts(const chart::ChartFolder &folder)
{
    NodeCharts charts;
    ChartLoader loader(folder);
    loader.load("member", &membership::makeMemberProgram, charts.member_);
    loader.load("lease", &leases::LeaseKeeper::bind, charts.lease_);
    loader.load("group", &groups::GroupStateMachine::bind, charts.group_);
    loader.load("claim", &claims::makeClaimProgram, charts.claim_);
    loader.load("config", &config::ConfigAgent::bind, charts.config_);
    if (loader.error())
        return *loader.error();
    return charts;
}

} // namespace cardamombay::control
