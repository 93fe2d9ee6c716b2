/// \file
/// \brief Queue model of a group of engines, for comparisons of policies.
#pragma once

#include <cardamombay/core/manual_clock.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bench {

using cardamombay::Duration;
using cardamombay::ManualClock;
using cardamombay::TimePoint;

/// \brief Prefix cache that drops the least recently used block.
class BlockCache
{
public:
    explicit BlockCache(std::size_t limit)
        : limit_(limit)
    {
    }

    /// \brief Number of leading blocks that are held; all blocks are held afterwards.
    /// \param evicted blocks that had to go.
    std::size_t use(const std::vector<std::uint64_t> &blocks, std::vector<std::uint64_t> &evicted)
    {
        std::size_t held = 0;
        while (held < blocks.size() && places_.contains(blocks[held]))
            ++held;
        // The last block first, so that the start of a prompt is the most recently used.
        for (std::size_t left = blocks.size(); left > 0; --left)
            touch(blocks[left - 1]);
        while (order_.size() > limit_) {
            evicted.push_back(order_.back());
            places_.erase(order_.back());
            order_.pop_back();
        }
        return held;
    }

private:
    void touch(std::uint64_t block)
    {
        const auto found = places_.find(block);
        if (found != places_.end())
            order_.erase(found->second);
        order_.push_front(block);
        places_[block] = order_.begin();
    }

    std::size_t limit_;
    std::list<std::uint64_t> order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places_;
};

/// \brief Speeds and sizes of a group.
struct GroupShape
{
    std::uint32_t slots_ = 16;       ///< Requests batched at once.
    double secondsPerBlock_ = 0.008; ///< Prefill of one block of 64 tokens.
    double secondsPerToken_ = 0.025; ///< Decode in an empty batch.
    double batchCost_ = 0.5;         ///< Slowdown of decode by a full batch.
    std::size_t cacheBlocks_ = 3000;
    double slowness_ = 1.0; ///< Above one: a straggler.
};

/// \brief One request at a group.
struct ModelRequest
{
    std::vector<std::uint64_t> blocks_;
    double tokens_ = 200;
    TimePoint arrivedAt_{};
    std::function<void(Duration, std::size_t)> onFirstToken_; ///< Time since arrival, blocks held.
    std::function<void(Duration)> onEnd_; ///< Time between tokens; zero if it was cancelled.
    std::shared_ptr<bool> isCancelled_ = std::make_shared<bool>(false);
};

/// \brief A group: waiting requests, one prefill at a time, a batch that decodes.
class GroupModel
{
public:
    GroupModel(ManualClock &clock, GroupShape shape)
        : clock_(clock)
        , shape_(shape)
        , cache_(shape.cacheBlocks_)
    {
    }

    void submit(ModelRequest request)
    {
        waiting_.push_back(std::move(request));
        startWaiting();
    }

    [[nodiscard]] std::uint32_t running() const { return running_; }
    [[nodiscard]] std::uint32_t queued() const
    {
        return static_cast<std::uint32_t>(waiting_.size());
    }
    [[nodiscard]] double load() const { return double(running_ + queued()) / shape_.slots_; }

    /// \brief Told of blocks stored and of blocks evicted.
    std::function<void(const std::vector<std::uint64_t> &, const std::vector<std::uint64_t> &)>
        onCache_;

private:
    void startWaiting()
    {
        while (!waiting_.empty() && running_ < shape_.slots_) {
            ++running_;
            prefills_.push_back(std::move(waiting_.front()));
            waiting_.pop_front();
        }
        startPrefill();
    }

    void startPrefill()
    {
        if (isPrefilling_ || prefills_.empty())
            return;
        isPrefilling_ = true;
        ModelRequest request = std::move(prefills_.front());
        prefills_.pop_front();
        if (*request.isCancelled_) {
            isPrefilling_ = false;
            end(request);
            return;
        }
        std::vector<std::uint64_t> evicted;
        const std::size_t held = cache_.use(request.blocks_, evicted);
        if (onCache_)
            onCache_(request.blocks_, evicted);
        const double missing = double(request.blocks_.size() - held) + 1;
        const Duration time
            = cardamombay::fromSeconds(missing * shape_.secondsPerBlock_ * shape_.slowness_);
        clock_.schedule(time, [this, request = std::move(request), held]() mutable {
            isPrefilling_ = false;
            if (*request.isCancelled_) {
                end(request);
                return;
            }
            request.onFirstToken_(clock_.now() - request.arrivedAt_, held);
            decode(std::move(request));
            startPrefill();
        });
    }

    void end(const ModelRequest &request)
    {
        --running_;
        request.onEnd_(Duration::zero());
        startWaiting();
    }

    void decode(ModelRequest request)
    {
        const double batch = 1 + shape_.batchCost_ * running_ / shape_.slots_;
        const double time = request.tokens_ * shape_.secondsPerToken_ * batch * shape_.slowness_;
        clock_.schedule(cardamombay::fromSeconds(time), [this, time, request = std::move(request)] {
            --running_;
            request.onEnd_(cardamombay::fromSeconds(time / request.tokens_));
            startWaiting();
        });
    }

    ManualClock &clock_;
    GroupShape shape_;
    BlockCache cache_;
    std::deque<ModelRequest> waiting_;
    std::deque<ModelRequest> prefills_;
    std::uint32_t running_ = 0;
    bool isPrefilling_ = false;
};

} // namespace bench
