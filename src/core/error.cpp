#include <cardamombay/core/error.hpp>

#include <sstream>

namespace cardamombay {

namespace {

struct Kind
{
    std::string_view operator()(const StoreUnavailable &) const { return "store-unavailable"; }
    std::string_view operator()(const StoreAnswerLost &) const { return "store-answer-lost"; }
    std::string_view operator()(const StoreThrottled &) const { return "store-throttled"; }
    std::string_view operator()(const StoreConflict &) const { return "store-conflict"; }
    std::string_view operator()(const LeaseLost &) const { return "lease-lost"; }
    std::string_view operator()(const ConfigConflict &) const { return "config-conflict"; }
    std::string_view operator()(const InvalidInput &) const { return "invalid-input"; }
    std::string_view operator()(const EndpointUnreachable &) const
    {
        return "endpoint-unreachable";
    }
    std::string_view operator()(const EndpointRefused &) const { return "endpoint-refused"; }
    std::string_view operator()(const EndpointCoolingDown &) const
    {
        return "endpoint-cooling-down";
    }
    std::string_view operator()(const PeerUnreachable &) const { return "peer-unreachable"; }
    std::string_view operator()(const TimedOut &) const { return "timed-out"; }
    std::string_view operator()(const MalformedMessage &) const { return "malformed-message"; }
    std::string_view operator()(const NotFound &) const { return "not-found"; }
};

/// Writes what happened.
struct Message
{
    std::ostream &out_;

    void operator()(const StoreUnavailable &e) const
    {
        out_ << "the store did not take " << e.operation_ << ": " << e.detail_;
    }
    void operator()(const StoreAnswerLost &e) const
    {
        out_ << "no answer to " << e.operation_ << ", it may have taken effect: " << e.detail_;
    }
    void operator()(const StoreThrottled &e) const
    {
        out_ << "the store refused " << e.operation_ << " for its rate";
    }
    void operator()(const StoreConflict &e) const
    {
        out_ << "row " << e.table_ << "/" << e.key_ << " has version " << e.found_ << ", expected "
             << e.expected_;
    }
    void operator()(const LeaseLost &e) const
    {
        out_ << "the planner lease of fabric domain " << e.domain_ << " with epoch " << e.epoch_
             << " is not held";
    }
    void operator()(const ConfigConflict &e) const
    {
        out_ << "configuration version " << e.winner_ << " was accepted first, expected version "
             << e.expected_;
    }
    void operator()(const InvalidInput &e) const
    {
        out_ << e.position_ << ": ";
        if (!e.key_.empty())
            out_ << "key '" << e.key_ << "': ";
        out_ << e.problem_;
    }
    void operator()(const EndpointUnreachable &e) const
    {
        out_ << "endpoint " << e.vm_ << " could not be reached: " << e.detail_;
    }
    void operator()(const EndpointRefused &e) const
    {
        out_ << "endpoint " << e.vm_ << " refused with status " << e.status_ << ": " << e.reason_;
    }
    void operator()(const EndpointCoolingDown &e) const
    {
        out_ << "endpoint " << e.vm_ << " wants nothing for " << toMilliseconds(e.left_) << " ms";
    }
    void operator()(const PeerUnreachable &e) const
    {
        out_ << "entry VM " << e.peer_ << " could not be reached: " << e.detail_;
    }
    void operator()(const TimedOut &e) const
    {
        out_ << e.operation_ << " had no answer after " << toMilliseconds(e.after_) << " ms";
    }
    void operator()(const MalformedMessage &e) const
    {
        out_ << "message from " << e.source_ << " is malformed: " << e.detail_;
    }
    void operator()(const NotFound &e) const { out_ << e.what_ << " does not exist"; }
};

struct Remedy
{
    std::string operator()(const StoreUnavailable &) const
    {
        return "check the platform's table service; the daemon tries again by itself";
    }
    std::string operator()(const StoreAnswerLost &) const
    {
        return "read the row back and compare its writer token before trying again";
    }
    std::string operator()(const StoreThrottled &e) const
    {
        return "try again after " + std::to_string(toMilliseconds(e.retryAfter_)) + " ms";
    }
    std::string operator()(const StoreConflict &) const
    {
        return "read the row again and decide on its present content";
    }
    std::string operator()(const LeaseLost &) const
    {
        return "no action needed: the present holder of the lease plans this fabric domain";
    }
    std::string operator()(const ConfigConflict &e) const
    {
        return "run 'cardamombayctl config show', put your change on top of version "
               + std::to_string(e.winner_.value()) + " and apply again";
    }
    std::string operator()(const InvalidInput &e) const { return e.remedy_; }
    std::string operator()(const EndpointUnreachable &) const
    {
        return "check that the VM runs and that its address in the VM list is right";
    }
    std::string operator()(const EndpointRefused &) const
    {
        return "compare the endpoint's state with 'cardamombayctl vms'";
    }
    std::string operator()(const EndpointCoolingDown &) const
    {
        return "try again after that time, or find out what the endpoint is short of";
    }
    std::string operator()(const PeerUnreachable &) const
    {
        return "check that the entry VM runs and that its peer port is open";
    }
    std::string operator()(const TimedOut &) const
    {
        return "check the other side and the network; treat the effect as unknown";
    }
    std::string operator()(const MalformedMessage &) const
    {
        return "compare the versions of both sides with docs/PLATFORM.md or docs/ENDPOINTS.md";
    }
    std::string operator()(const NotFound &) const { return "check the name for spelling"; }
};

} // namespace

std::ostream &operator<<(std::ostream &out, const SourcePosition &position)
{
    out << (position.file_.empty() ? "<input>" : position.file_);
    if (position.line_ != 0)
        out << ":" << position.line_;
    if (position.column_ != 0)
        out << ":" << position.column_;
    return out;
}

std::string_view kindOf(const Error &error)
{
    return std::visit(Kind{}, error);
}

std::string messageOf(const Error &error)
{
    std::ostringstream out;
    std::visit(Message{out}, error);
    return out.str();
}

std::string remedyOf(const Error &error)
{
    return std::visit(Remedy{}, error);
}

std::ostream &operator<<(std::ostream &out, const Error &error)
{
    return out << kindOf(error) << ": " << messageOf(error) << " (" << remedyOf(error) << ")";
}

} // namespace cardamombay
