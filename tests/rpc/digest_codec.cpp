#include <cardamombay/membership/digest.hpp>
#include <cardamombay/rpc/digest_codec.hpp>
#include <cardamombay/rpc/json_rpc_dispatcher.hpp>
#include <cardamombay/rpc/json_rpc_peer_transport.hpp>

#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::membership;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

MemberEntry sampleMember()
{
    MemberEntry entry;
    entry.id_ = EntryId("e001");
    entry.address_ = Address{"10.0.0.1", 7100};
    entry.zone_ = AvailabilityZone("pa-sala-a");
    entry.region_ = RegionName("palermo");
    entry.incarnation_ = Incarnation(1764690000123);
    entry.status_ = MemberStatus::Suspect;
    entry.isDraining_ = true;
    entry.configVersion_ = ConfigVersion(42);
    return entry;
}

Digest sampleDigest()
{
    Digest digest;
    digest.from_ = sampleMember();
    digest.to_ = EntryId("e002");
    digest.sequence_ = 77;
    digest.echo_ = EchoEntry{55, milliseconds(12)};
    digest.wantsPayload_ = true;
    digest.newestConfig_ = ConfigVersion(43);
    digest.members_.push_back(sampleMember());
    ObservationEntry observation;
    observation.state_.vm_ = VmId("vm-21");
    observation.state_.incarnation_ = Incarnation(3);
    observation.state_.phase_ = endpoint::EnginePhase::Ready;
    observation.state_.assignment_ = endpoint::Assignment{GroupId("lm/a/3"), Generation(9), 2};
    observation.state_.model_
        = endpoint::ModelSpec{ModelName("m"), ModelVersion("v1"), {"it", "ar"}};
    observation.state_.highestFencing_ = Epoch(17);
    observation.state_.load_ = endpoint::LoadReport{4, 1, 0.375, milliseconds(80)};
    observation.age_ = milliseconds(250);
    observation.isStraggler_ = true;
    digest.observations_.push_back(observation);
    observation.state_.assignment_.reset();
    observation.state_.model_ = {};
    digest.observations_.push_back(observation);
    digest.leaving_.push_back(LeavingEntry{VmId("vm-9"), milliseconds(90), 3, Incarnation(2)});
    for (const char *team : {"t1", "t2"})
        digest.demand_.push_back({ServiceName("lm"), TeamName(team), 5, 6});
    digest.demand_.push_back({ServiceName("app"), TeamName("t1"), 1, 0});
    digest.inFlight_.push_back(InFlightEntry{GroupId("lm/a/3"), 8});
    digest.watch_ = WatchSummary{100, 104, milliseconds(900), 7, {VmId("vm-1")}};
    digest.regions_.push_back(RegionSummary{RegionName("palermo"), UINT64_MAX});
    digest.sites_.push_back(SiteSummary{AvailabilityZone("pa-sala-a"), 3, ConfigVersion(41),
                                        ConfigVersion(42), milliseconds(5)});
    digest.reachRequests_.push_back(ReachRequest{EntryId("e3"), Address{"10.0.0.3", 1}});
    digest.reachReports_.push_back(ReachReport{EntryId("e3"), Incarnation(4), milliseconds(3)});
    digest.loads_.push_back(LoadEntry{VmId("vm-3"), {1, 2, 0.5, milliseconds(7)}});
    digest.gone_.push_back(GoneEntry{VmId("vm-4"), milliseconds(11)});
    return digest;
}

} // namespace

Test(rpc, digest_survives_encoding_and_decoding)
{
    const Digest digest = sampleDigest();

    const auto decoded = rpc::decodeDigest(rpc::encodeDigest(digest), "test");

    cr_assert(isOk(decoded));
    cr_assert(valueOf(decoded) == digest);
}

// Two neighbouring versions may run side by side during an upgrade.
Test(rpc, field_of_a_later_version_is_passed_over)
{
    std::string text = rpc::encodeDigest(sampleDigest());
    text.insert(1, R"("of_a_later_version":{"a":[1]},)");

    cr_assert(isOk(rpc::decodeDigest(text, "peer")));
}

Test(rpc, rounding_never_makes_an_observation_younger)
{
    Digest digest = sampleDigest();
    digest.observations_[0].age_ = microseconds(1001);
    digest.echo_.hold_ = microseconds(1999);

    const auto decoded = rpc::decodeDigest(rpc::encodeDigest(digest), "test");

    cr_assert(isOk(decoded));
    cr_assert(valueOf(decoded).observations_[0].age_ == milliseconds(2));
    cr_assert(valueOf(decoded).echo_.hold_ == milliseconds(1));
}

Test(rpc, every_truncation_of_a_digest_is_refused)
{
    const std::string text = rpc::encodeDigest(sampleDigest());

    for (std::size_t length = 0; length < text.size(); ++length) {
        const auto decoded = rpc::decodeDigest(text.substr(0, length), "test");
        cr_assert(isError<MalformedMessage>(decoded), "length %zu was accepted", length);
    }
}
