// Random store faults, pauses and callers. Guards against a key that runs twice, or is reported as
// run although it did not.
#include "claims/fleet.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::claims;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t entries = 3;
constexpr std::uint64_t keys = 6;

/// One seeded run of callers while the faults of the store change.
class RandomRun
{
public:
    explicit RandomRun(std::uint64_t seed)
        : random_(seed)
        , seed_(seed)
        , fleet_(entries)
    {
    }

    void run()
    {
        for (int step = 0; step < 400; ++step) {
            changeFaults();
            call();
            const auto pause = milliseconds(random_.below(30));
            if (random_.below(40) == 0)
                fleet_.clock_.jump(std::chrono::seconds(random_.below(60)));
            fleet_.clock_.advance(pause);
        }
        fleet_.faults() = {};
        fleet_.clock_.advance(std::chrono::minutes(5));
    }

    /// Number of hand-overs by key.
    std::map<std::string, int> handOvers_;
    std::uint64_t granted_ = 0;

private:
    void changeFaults()
    {
        if (random_.below(8) != 0)
            return;
        auto &faults = fleet_.faults();
        faults = {};
        switch (random_.below(6)) {
        case 0:
            faults.isDown_ = true;
            break;
        case 1:
            faults.losesAnswers_ = true;
            break;
        case 2:
            faults.losesRequests_ = true;
            break;
        case 3:
            faults.latency_ = milliseconds(random_.below(3000));
            break;
        default:
            break;
        }
    }

    void call()
    {
        const auto at = random_.below(entries);
        const auto key
            = "k" + std::to_string(random_.below(keys)) + "." + std::to_string(++calls_ / 60);
        fleet_.registry(at).claim({TeamName("t"), IdempotencyKey(key), "body"},
                                  [this, at, key](const Result<ClaimAnswer> &answer) {
                                      if (isOk(answer))
                                          handleAnswer(at, key, valueOf(answer));
                                  });
    }

    void handleAnswer(std::size_t at, const std::string &key, const ClaimAnswer &answer)
    {
        if (const auto *duplicate = std::get_if<Duplicate>(&answer)) {
            cr_assert_eq(duplicate->stored_.body_, key, "seed %lu: response of another request",
                         seed_);
            cr_assert_eq(handOvers_[key], 1, "seed %lu: reported as run, but did not run", seed_);
        }
        const auto *granted = std::get_if<Granted>(&answer);
        if (!granted)
            return;
        ++granted_;
        const auto claim = granted->claim_;
        if (!granted->mayHandOver(fleet_.clock_.now()) || random_.below(4) == 0) {
            fleet_.registry(at).release(claim);
            return;
        }
        cr_assert_eq(++handOvers_[key], 1, "seed %lu: %s ran twice", seed_, key.c_str());
        fleet_.clock_.schedule(milliseconds(random_.below(200)), [this, at, claim, key] {
            fleet_.registry(at).complete(claim, ranWith(key));
        });
    }

    Random random_;
    std::uint64_t seed_;
    std::uint64_t calls_ = 0;
    Fleet fleet_;
};

} // namespace

Test(claim_random_faults, no_key_runs_twice)
{
    std::uint64_t granted = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        RandomRun randomRun(seed);
        randomRun.run();
        granted += randomRun.granted_;
    }
    cr_assert_gt(granted, 300);
}
