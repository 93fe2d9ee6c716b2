/// \file
/// \brief Starts cardamombay-gateway as separate processes, and records what is seen.
#pragma once

#include "store.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace review {

/// \brief Appends lines with the time since the start to record.txt.
class Record
{
public:
    explicit Record(const std::string &file)
        : out_(file)
    {
    }
    void line(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        char at[32];
        std::snprintf(at, sizeof at, "%9.3f ",
                      std::chrono::duration<double>(Clock::now() - start_).count());
        out_ << at << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    Clock::time_point start_ = Clock::now();
};

/// \brief Processes of the gateway on the entry VMs of one zone.
class Gateways
{
public:
    Gateways(int storePort, std::string folder, Record &record)
        : store_(storePort)
        , folder_(std::move(folder))
        , record_(record)
    {
    }
    ~Gateways() { stopAll(); }

    void start(std::size_t number, bool isFirst)
    {
        while (vms_.size() <= number)
            vms_.push_back({freePort(), freePort(), freePort(), freePort(), -1});
        auto &vm = vms_[number];
        const auto name = "edge-a-" + std::to_string(number + 1);
        const auto file = folder_ + "/" + name + ".toml";
        writeSettings(file, name, vm, isFirst);
        const auto log = folder_ + "/" + name + ".log";
        vm.process_ = ::fork();
        if (vm.process_ == 0) {
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl("target/bin/cardamombay-gateway", "target/bin/cardamombay-gateway",
                    "--settings", file.c_str(), nullptr);
            ::_exit(127);
        }
        record_.line("start " + name + " pid " + std::to_string(vm.process_));
    }

    void kill(std::size_t number, int signal)
    {
        auto &vm = vms_[number];
        ::kill(vm.process_, signal);
        record_.line("signal " + std::to_string(signal) + " to edge-a-"
                     + std::to_string(number + 1));
        if (signal == SIGKILL) {
            ::waitpid(vm.process_, nullptr, 0);
            vm.process_ = -1;
        }
    }

    void stopAll()
    {
        for (auto &vm : vms_) {
            if (vm.process_ <= 0)
                continue;
            ::kill(vm.process_, SIGKILL);
            ::waitpid(vm.process_, nullptr, 0);
            vm.process_ = -1;
        }
    }

    [[nodiscard]] std::size_t size() const { return vms_.size(); }
    [[nodiscard]] int callersPort(std::size_t number) const { return vms_[number].callers_; }

    [[nodiscard]] bool isReady(std::size_t number) const
    {
        const auto channel = connectTo(vms_[number].readiness_);
        if (!channel || !channel->send("GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n"))
            return false;
        const auto answer = channel->receive(Clock::now() + milliseconds(800));
        return answer && answer->status() == 200;
    }

    bool waitUntilReady(milliseconds limit)
    {
        const auto until = Clock::now() + limit;
        for (std::size_t number = 0; number < vms_.size(); ++number) {
            while (!isReady(number)) {
                if (Clock::now() > until)
                    return false;
                std::this_thread::sleep_for(milliseconds(20));
            }
        }
        return true;
    }

private:
    struct Vm
    {
        int callers_ = 0;
        int readiness_ = 0;
        int metrics_ = 0;
        int digests_ = 0;
        pid_t process_ = -1;
    };

    /// What deploy/settings.toml gives, filled in with the figures of a small deployment.
    void writeSettings(const std::string &file, const std::string &name, const Vm &vm,
                       bool isFirst) const
    {
        const auto address
            = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
        std::ofstream out(file);
        out << "entry = \"" << name
            << "\"\nzone = \"zone-a\"\nfirst_start = " << (isFirst ? "true" : "false")
            << "\ncharts = \"charts\"\n[listen]\ncallers = " << address(vm.callers_)
            << "readiness = " << address(vm.readiness_) << "metrics = " << address(vm.metrics_)
            << "digests = " << address(vm.digests_) << "[store]\naddress = " << address(store_)
            << "[machine]\ncores = 0.25\nlink_mbps = 1000.0\nmemory_mb = 260\n"
               "[bounds]\nstop_within = \"8s\"\nleave_within = \"2000ms\"\n"
               "configure_within = \"2000ms\"\nrevoke_within = \"5000ms\"\nretry_share = 0.2\n"
               "retry_window = \"10s\"\nretry_reserve = 132\n"
               "[regions]\n\"zone-a\" = \"region-a\"\n[log]\nlevel = \"info\"\n";
    }

    int store_;
    std::string folder_;
    Record &record_;
    std::vector<Vm> vms_;
};

/// \brief What a client saw of one request.
struct Answer
{
    int status_ = 0; ///< 0 without a whole answer.
    std::string body_;
    std::string retryAfter_;
};

/// \brief Sends one request on a new channel.
inline Answer call(int port, const std::string &method, const std::string &target,
                   const std::string &fields, milliseconds limit, const std::string &body = {})
{
    const auto channel = connectTo(port);
    if (!channel)
        return {};
    const auto length
        = body.empty() ? std::string() : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (!channel->send(method + " " + target + " HTTP/1.1\r\n" + fields + length + "\r\n" + body))
        return {};
    const auto answer = channel->receive(Clock::now() + limit);
    if (!answer)
        return {};
    return {answer->status(), answer->body_, answer->field("Retry-After")};
}

inline std::string engineEntry(const std::string &service, int port, std::uint64_t sequence,
                               const std::string &state, int slots)
{
    return json::serialize(json::object{{"Service", service},
                                        {"Address", "127.0.0.1:" + std::to_string(port)},
                                        {"Zone", "zone-a"},
                                        {"Version", "1"},
                                        {"Slots", slots},
                                        {"State", state},
                                        {"ColdLeftMs", 0},
                                        {"SeqNo", sequence}});
}

inline bool isTroubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

} // namespace review
