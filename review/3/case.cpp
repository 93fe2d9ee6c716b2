/// \file
/// \brief A config takes away the last tenant, and so its key. Requests with the key, or with one
/// that no config ever held, must not run.
#include "gateways.hpp"

#include <algorithm>

using namespace review;

namespace {

constexpr std::size_t vmCount = 3;
constexpr auto revokeBound = milliseconds(5000);

std::string configuration(int version, bool hasTenant)
{
    json::array tenants;
    if (hasTenant)
        tenants.push_back({{"Name", "tenant-a"}, {"ApiKeys", {"key-old"}}});
    return json::serialize(json::object{
        {"Version", version},
        {"Routes",
         {{{"Name", "entry"},
           {"Host", "app.example"},
           {"Prefix", "/entry/"},
           {"Kind", "idempotent"},
           {"TimeoutMs", 1500},
           {"GoalMs", 150},
           {"Priority", 2},
           {"MaxAttempts", 2},
           {"Service", "app"}}}},
        {"Services", {{{"Name", "app"}, {"HealthPath", "/health"}, {"MaxConns", 100}}}},
        {"Limits",
         {{"MaxHeaderBytes", 16384},
          {"MaxBodyBytes", 1048576},
          {"HeaderTimeoutMs", 3000},
          {"IdleTimeoutMs", 15000}}},
        {"Tenants", tenants}});
}

/// Requests that engines ran, by id.
class Runs
{
public:
    void add(const std::string &request)
    {
        const std::lock_guard lock(mutex_);
        ++runs_[request];
    }
    [[nodiscard]] int of(const std::string &request)
    {
        const std::lock_guard lock(mutex_);
        return runs_[request];
    }

private:
    std::mutex mutex_;
    std::map<std::string, int> runs_;
};

class Engine
{
public:
    Engine(std::string id, Runs &runs)
        : id_(std::move(id))
        , runs_(runs)
        , listener_([this](Channel &channel) { serve(channel); })
    {
    }
    [[nodiscard]] const std::string &id() const { return id_; }
    [[nodiscard]] int port() const { return listener_.port(); }

private:
    void serve(Channel &channel)
    {
        while (const auto request = channel.receive(Clock::now() + std::chrono::minutes(5))) {
            const auto id = request->field("X-Request-Id");
            const auto echo = "X-Request-Id: " + id + "\r\n";
            if (request->field("X-Expect-Instance") != id_) {
                if (!channel.send(answerText(421, echo + "X-Not-Executed: 1\r\n", "")))
                    return;
                continue;
            }
            runs_.add(id);
            std::this_thread::sleep_for(milliseconds(20));
            if (!channel.send(answerText(200, echo + "X-Response-Seal: " + id_ + "\r\n", "done")))
                return;
        }
    }

    std::string id_;
    Runs &runs_;
    Listener listener_;
};

struct Sent
{
    std::string id_;
    Clock::time_point at_;
    std::size_t vm_ = 0;
    int status_ = 0;
};

/// Sends a request with \p key to \p vm every 20 ms.
class Client
{
public:
    Client(const Gateways &gateways, std::size_t vm, std::string key)
        : gateways_(gateways)
        , vm_(vm)
        , key_(std::move(key))
        , thread_([this] { run(); })
    {
    }
    ~Client()
    {
        isEnding_ = true;
        thread_.join();
    }
    std::vector<Sent> stop()
    {
        isEnding_ = true;
        while (!isEnded_)
            std::this_thread::sleep_for(milliseconds(5));
        return sent_;
    }

private:
    void run()
    {
        for (int number = 0; !isEnding_; ++number) {
            Sent one{key_ + "-" + std::to_string(vm_) + "-" + std::to_string(number), Clock::now(),
                     vm_, 0};
            one.status_
                = call(gateways_.callersPort(vm_), "GET", "/entry/x",
                       "Host: app.example\r\nX-Request-Id: " + one.id_
                           + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer " + key_ + "\r\n",
                       milliseconds(2500))
                      .status_;
            sent_.push_back(one);
            std::this_thread::sleep_until(one.at_ + milliseconds(20));
        }
        isEnded_ = true;
    }

    const Gateways &gateways_;
    std::size_t vm_;
    std::string key_;
    std::vector<Sent> sent_;
    std::atomic<bool> isEnding_ = false;
    std::atomic<bool> isEnded_ = false;
    std::thread thread_;
};

} // namespace

int main(int, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    const bool troubled = isTroubled();
    Record record(argv[1]);
    static Store store;
    static Runs runs;
    static std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 0; i < 3; ++i)
        engines.push_back(std::make_unique<Engine>("i-app-" + std::to_string(i), runs));
    store.put("op", "config", configuration(10, true));
    std::atomic<bool> isEnding = false;
    std::thread heartbeats([&] {
        for (std::uint64_t sequence = 1; !isEnding; ++sequence) {
            for (const auto &engine : engines)
                store.put("servers", engine->id(),
                          engineEntry("app", engine->port(), sequence, "ready", 6));
            std::this_thread::sleep_for(milliseconds(1200));
        }
    });
    Gateways gateways(store.port(), argv[2], record);
    for (std::size_t vm = 0; vm < vmCount; ++vm)
        gateways.start(vm, true);
    const auto end = [&](int code) {
        isEnding = true;
        gateways.stopAll();
        record.line("exit " + std::to_string(code));
        std::cout << "exit " << code << std::endl;
        ::_exit(code);
    };
    if (!gateways.waitUntilReady(std::chrono::seconds(10)))
        end(2);
    std::this_thread::sleep_for(milliseconds(1000));
    std::vector<std::unique_ptr<Client>> clients;
    for (std::size_t vm = 0; vm < vmCount; ++vm) {
        clients.push_back(std::make_unique<Client>(gateways, vm, "key-old"));
        clients.push_back(std::make_unique<Client>(gateways, vm, "key-never"));
    }
    std::this_thread::sleep_for(milliseconds(3000));
    auto revokedAt = Clock::now();
    if (troubled) {
        store.put("op", "config", configuration(20, false));
        revokedAt = Clock::now();
        record.line("config 20 acknowledged; it takes the last tenant away");
    }
    std::this_thread::sleep_for(milliseconds(8000));
    int servedBefore = 0;
    int revoked = 0;
    int unknown = 0;
    for (auto &client : clients) {
        for (const auto &one : client->stop()) {
            const auto after
                = std::chrono::duration_cast<milliseconds>(one.at_ - revokedAt).count();
            const int count = runs.of(one.id_);
            record.line("request " + one.id_ + " sent " + std::to_string(after)
                        + " ms after the acknowledgement, answer " + std::to_string(one.status_)
                        + ", runs " + std::to_string(count));
            const bool isOld = one.id_.starts_with("key-old");
            servedBefore += isOld && after < 0 && count > 0 ? 1 : 0;
            if (troubled && isOld && after > revokeBound.count() && count > 0) {
                ++revoked;
                record.line("BROKEN CONFIG: " + one.id_ + " ran");
            }
            if (!isOld && count > 0) {
                ++unknown;
                record.line("BROKEN ROUTE: " + one.id_ + " ran");
            }
        }
    }
    const auto summary = "with key-old before " + std::to_string(servedBefore)
                         + ", with key-old later than RevokeMs " + std::to_string(revoked)
                         + ", with a key that no config held " + std::to_string(unknown);
    record.line(summary);
    std::cout << summary << std::endl;
    if (servedBefore < 10)
        end(2);
    end(revoked + unknown > 0 ? 1 : 0);
}
