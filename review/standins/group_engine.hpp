/// \file
/// \brief Stand-in of model engines that form groups by orders and serve streams.
#pragma once

#include "gateways.hpp"

namespace review {

/// \brief Times of the engines of one service.
struct GroupTimes
{
    milliseconds load_{2000};
    milliseconds warm_{200};
    milliseconds again_{200}; ///< The model was that of the last group.
    milliseconds form_{100};
    milliseconds heartbeat_{1200};
    milliseconds stall_{4000};
};

/// \brief All engines of the service; one lock for all.
class GroupEngines
{
public:
    GroupEngines(Store &store, Record &record, GroupTimes times)
        : store_(store)
        , record_(record)
        , times_(times)
    {
    }

    /// \brief Starts an empty engine and registers it.
    void add(const std::string &id, const std::string &domain)
    {
        auto engine = std::make_unique<Engine>();
        engine->id_ = id;
        engine->domain_ = domain;
        auto *raw = engine.get();
        engine->listener_
            = std::make_unique<Listener>([this, raw](Channel &channel) { serve(*raw, channel); });
        const std::lock_guard lock(mutex_);
        engines_[id] = std::move(engine);
        raw->seenAt_ = Clock::now();
        write(*raw);
        record_.line("engine " + id + " starts");
    }

    /// \brief Partitions the engine from the store; requests and orders still reach it.
    void cutFromStore(const std::string &id, bool isCut)
    {
        const std::lock_guard lock(mutex_);
        auto &engine = *engines_.at(id);
        engine.isCut_ = isCut;
        record_.line("engine " + id + (isCut ? " is cut from the store" : " reaches the store"));
        if (!isCut)
            write(engine);
    }

    /// \brief Heartbeats; ends entries that were silent for three heartbeats. Call often.
    void tick()
    {
        const std::lock_guard lock(mutex_);
        const auto now = Clock::now();
        for (auto &[id, engine] : engines_) {
            if (!engine->isCut_ && now - engine->writtenAt_ >= times_.heartbeat_)
                write(*engine);
            if (!engine->isExpired_ && now - engine->seenAt_ > 3 * times_.heartbeat_) {
                engine->isExpired_ = true;
                store_.remove("servers", id);
                record_.line("the entry of " + id + " is removed after three heartbeats");
            }
        }
    }

    /// \brief The store is back: what live engines that reach it wrote is written again.
    void rewrite()
    {
        const std::lock_guard lock(mutex_);
        for (auto &[id, engine] : engines_) {
            if (!engine->isCut_)
                write(*engine);
        }
    }

    [[nodiscard]] std::string groupOf(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        return engines_.at(id)->group_ ? engines_.at(id)->group_->name_ : std::string();
    }
    [[nodiscard]] std::string stateOf(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        const auto &engine = *engines_.at(id);
        return engine.group_ ? engine.group_->state_ : std::string();
    }
    [[nodiscard]] bool hasStaged(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        return !engines_.at(id)->staged_.empty();
    }
    [[nodiscard]] int brokenTwo()
    {
        const std::lock_guard lock(mutex_);
        return brokenTwo_;
    }
    [[nodiscard]] int served()
    {
        const std::lock_guard lock(mutex_);
        return served_;
    }
    /// \brief Loads take a tenth of their time before the first request.
    void trafficBegins() { hasTraffic_ = true; }

private:
    struct Group
    {
        std::string name_;
        std::uint64_t epoch_ = 0;
        std::string model_;
        std::vector<std::string> members_;
        std::size_t rank_ = 0;
        std::string state_ = "joining";
    };
    struct Engine
    {
        std::string id_;
        std::string domain_;
        std::unique_ptr<Listener> listener_;
        std::string staged_;
        std::string lastModel_;
        std::optional<Group> group_;
        std::uint64_t fence_ = 0;
        std::uint64_t epoch_ = 0;
        std::uint64_t accepted_ = 0;
        int running_ = 0;
        bool isCut_ = false;
        bool isExpired_ = false;
        Clock::time_point writtenAt_;
        Clock::time_point seenAt_;
    };

    [[nodiscard]] json::object stateText(const Engine &engine) const
    {
        json::object entry{{"SeqNo", engine.accepted_}, {"Domain", engine.domain_}};
        entry["Staged"] = engine.staged_.empty() ? json::array() : json::array{engine.staged_};
        entry["Models"] = json::array();
        if (engine.group_)
            entry["group"] = {{"Name", engine.group_->name_},
                              {"epoch", engine.group_->epoch_},
                              {"rank", engine.group_->rank_},
                              {"State", engine.group_->state_}};
        return entry;
    }

    /// Writes the engine's entry unless it is cut from the store.
    void write(Engine &engine)
    {
        if (engine.isCut_)
            return;
        auto entry = stateText(engine);
        entry["Service"] = "lm";
        entry["Address"] = "127.0.0.1:" + std::to_string(engine.listener_->port());
        entry["Zone"] = "zone-a";
        entry["Version"] = "1";
        entry["Slots"] = 8;
        entry["State"] = "ready";
        entry["ColdLeftMs"] = 0;
        engine.writtenAt_ = Clock::now();
        if (store_.put("servers", engine.id_, json::serialize(entry))) {
            engine.seenAt_ = engine.writtenAt_;
            engine.isExpired_ = false;
        }
    }

    void serve(Engine &engine, Channel &channel)
    {
        while (const auto request = channel.receive(Clock::now() + std::chrono::minutes(5))) {
            const auto expected = request->field("X-Expect-Instance");
            const auto id = request->field("X-Request-Id");
            const auto echo = id.empty() ? std::string() : "X-Request-Id: " + id + "\r\n";
            bool isWhole = true;
            if (!expected.empty() && expected != engine.id_)
                isWhole = channel.send(answerText(421, echo + "X-Not-Executed: 1\r\n", ""));
            else if (request->target() == "/-/order")
                isWhole = channel.send(answerText(order(engine, request->body_), "", ""));
            else if (request->target() == "/-/report")
                isWhole = channel.send(report(engine));
            else
                isWhole = stream(engine, channel, id, echo, request->field("Last-Event-Id"));
            if (!isWhole)
                return;
        }
    }

    std::string report(Engine &engine)
    {
        const std::lock_guard lock(mutex_);
        return answerText(200, "Content-Type: application/json\r\n",
                          json::serialize(stateText(engine)));
    }

    int order(Engine &engine, const std::string &body)
    {
        const auto object = json::parse(body).as_object();
        const std::lock_guard lock(mutex_);
        const auto fence = object.at("Fence").to_number<std::uint64_t>();
        const auto op = json::value_to<std::string>(object.at("Op"));
        if (fence < engine.fence_)
            return 412;
        engine.fence_ = fence;
        const int status = op == "join"    ? join(engine, object)
                           : op == "Stage" ? stage(engine, object)
                                           : change(engine, op, object);
        const auto *group = object.if_contains("group");
        record_.line("order " + op + " to " + engine.id_ + " "
                     + (group == nullptr ? std::string() : json::value_to<std::string>(*group))
                     + ": " + std::to_string(status));
        engine.accepted_ += status == 202 ? 1 : 0;
        write(engine);
        return status;
    }

    [[nodiscard]] milliseconds loadTime() const
    {
        return hasTraffic_ ? times_.load_ : times_.load_ / 10;
    }

    int join(Engine &engine, const json::object &object)
    {
        Group group;
        group.name_ = json::value_to<std::string>(object.at("group"));
        group.epoch_ = object.at("epoch").to_number<std::uint64_t>();
        group.model_ = json::value_to<std::string>(object.at("Model"));
        group.members_ = json::value_to<std::vector<std::string>>(object.at("Members"));
        if (group.epoch_ < engine.epoch_)
            return 412;
        const bool isSame = engine.group_ && engine.group_->name_ == group.name_
                            && engine.group_->epoch_ == group.epoch_;
        if (isSame)
            return engine.group_->members_ == group.members_ ? 200 : 412;
        checkTwo(engine, group.name_);
        while (group.members_[group.rank_] != engine.id_)
            ++group.rank_;
        engine.epoch_ = group.epoch_;
        const bool isStaged = engine.staged_ == group.model_;
        const auto time = engine.lastModel_ == group.model_ ? times_.again_
                          : isStaged                        ? times_.warm_
                                                            : loadTime();
        engine.group_ = group;
        later(time, [this, &engine, group] {
            if (!engine.group_ || engine.group_->epoch_ != group.epoch_)
                return;
            engine.staged_ = group.model_;
            engine.lastModel_ = group.model_;
            engine.group_->state_ = "ready";
        });
        return 202;
    }

    /// Rule TWO: an engine takes a join of another group while the head of its group is open or
    /// closing.
    void checkTwo(const Engine &engine, const std::string &other)
    {
        if (!engine.group_)
            return;
        const auto head = engines_.find(engine.group_->members_.front());
        const bool isServing = head != engines_.end() && head->second->group_
                               && head->second->group_->epoch_ == engine.group_->epoch_
                               && (head->second->group_->state_ == "open"
                                   || head->second->group_->state_ == "closing");
        if (!isServing)
            return;
        ++brokenTwo_;
        record_.line("BROKEN TWO: " + engine.id_ + " takes a join of " + other + " while the head "
                     + head->first + " of its group " + engine.group_->name_ + " is "
                     + head->second->group_->state_ + " and runs "
                     + std::to_string(head->second->running_));
    }

    int stage(Engine &engine, const json::object &object)
    {
        const auto model = json::value_to<std::string>(object.at("Model"));
        if (engine.staged_ == model)
            return 200;
        later(loadTime(), [&engine, model] { engine.staged_ = model; });
        return 202;
    }

    int change(Engine &engine, const std::string &op, const json::object &object)
    {
        const bool isHere
            = engine.group_
              && engine.group_->name_ == json::value_to<std::string>(object.at("group"))
              && engine.group_->epoch_ == object.at("epoch").to_number<std::uint64_t>();
        if (!isHere)
            return 409;
        const auto epoch = engine.group_->epoch_;
        if (op == "leave") {
            engine.group_.reset();
            return 202;
        }
        if (op == "close") {
            if (engine.group_->state_ != "open")
                return 409;
            engine.group_->state_ = engine.running_ > 0 ? "closing" : "ready";
            return 202;
        }
        if (op != "open")
            return 400;
        if (engine.group_->state_ == "open")
            return 200;
        if (engine.group_->state_ != "ready" || engine.group_->rank_ != 0)
            return 409;
        later(times_.form_, [&engine, epoch] {
            if (engine.group_ && engine.group_->epoch_ == epoch)
                engine.group_->state_ = "open";
        });
        return 202;
    }

    /// Runs \p step under the lock after \p time; the engine reports the change at once.
    template<typename Step>
    void later(milliseconds time, Step step)
    {
        std::thread([this, time, step] {
            std::this_thread::sleep_for(time);
            const std::lock_guard lock(mutex_);
            step();
            for (auto &[id, engine] : engines_) {
                if (!engine->isCut_)
                    write(*engine);
            }
        }).detach();
    }

    /// All members are there; otherwise nothing moves.
    [[nodiscard]] bool isWhole(const Engine &engine) const
    {
        for (const auto &member : engine.group_->members_) {
            const auto found = engines_.find(member);
            if (found == engines_.end() || !found->second->group_
                || found->second->group_->epoch_ != engine.group_->epoch_)
                return false;
        }
        return true;
    }

    bool stream(Engine &engine, Channel &channel, const std::string &id, const std::string &echo,
                const std::string &last)
    {
        constexpr int events = 20;
        std::unique_lock lock(mutex_);
        if (!engine.group_ || engine.group_->state_ != "open") {
            lock.unlock();
            return channel.send(answerText(503, echo + "X-Not-Executed: 1\r\n", ""));
        }
        const auto epoch = engine.group_->epoch_;
        ++engine.running_;
        lock.unlock();
        bool isSent = channel.send("HTTP/1.1 200 OK\r\n" + echo + "X-Response-Seal: " + engine.id_
                                   + "." + id
                                   + "\r\nContent-Type: text/event-stream\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n");
        const auto chunk = [&channel](const std::string &text) {
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            return channel.send(size + text + "\r\n");
        };
        bool isHere = true;
        for (int event = std::atoi(last.c_str()) + 1; isSent && isHere && event <= events;
             ++event) {
            std::this_thread::sleep_for(milliseconds(50));
            const auto until = Clock::now() + times_.stall_;
            lock.lock();
            isHere = engine.group_ && engine.group_->epoch_ == epoch;
            while (isHere && !isWhole(engine) && Clock::now() < until) {
                lock.unlock();
                std::this_thread::sleep_for(milliseconds(20));
                lock.lock();
                isHere = engine.group_ && engine.group_->epoch_ == epoch;
            }
            isHere = isHere && isWhole(engine);
            lock.unlock();
            if (isHere)
                isSent = chunk("id: " + std::to_string(event) + "\ndata: x\n\n");
        }
        lock.lock();
        --engine.running_;
        served_ += isSent && isHere ? 1 : 0;
        if (engine.group_ && engine.group_->state_ == "closing" && engine.running_ == 0) {
            engine.group_->state_ = "ready";
            write(engine);
        }
        lock.unlock();
        return isSent && isHere && channel.send("0\r\n\r\n");
    }

    Store &store_;
    Record &record_;
    GroupTimes times_;
    std::mutex mutex_;
    std::map<std::string, std::unique_ptr<Engine>> engines_;
    std::atomic<bool> hasTraffic_ = false;
    int brokenTwo_ = 0;
    int served_ = 0;
};

} // namespace review
