/// \file
/// \brief Callers of all gateways at once.
#pragma once

#include "support/fleet_platform_deployment.hpp"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace cardamombay::test {

/// \brief Three callers of each gateway, who come until they are destroyed.
class Crowd
{
public:
    explicit Crowd(const Deployment &deployment)
    {
        for (std::size_t number = 0; number < Deployment::gatewayCount; ++number) {
            for (int i = 0; i < 3; ++i)
                threads_.emplace_back(
                    [this, &deployment, number, i] { call(deployment, number, i); });
        }
    }
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;
    ~Crowd()
    {
        isStopped_ = true;
        for (auto &thread : threads_)
            thread.join();
    }

    std::atomic<int> served_ = 0;
    std::atomic<int> refused_ = 0;
    std::atomic<int> others_ = 0;

private:
    void call(const Deployment &deployment, std::size_t gateway, int number)
    {
        for (int i = 0; !isStopped_; ++i) {
            const auto id
                = std::to_string(gateway) + "-" + std::to_string(number) + "-" + std::to_string(i);
            const auto status = number == 0 ? deployment.call(gateway, "/once/1", "o" + id).status_
                                            : deployment.stream(gateway, id).status_;
            auto &count = status == 200 ? served_ : status == 503 ? refused_ : others_;
            ++count;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    }

    std::atomic<bool> isStopped_ = false;
    std::vector<std::thread> threads_;
};

} // namespace cardamombay::test
