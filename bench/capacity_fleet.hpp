/// \file
/// \brief Whole control nodes with their real codecs over HTTP messages in memory.
/// \details Requests of all links pass as net::HttpRequest, so that JSON, JSON-RPC and the platform
/// protocol are in the processor time; sockets, TCP/IP and TLS are not.
#pragma once

#include "capacity_meter.hpp"
#include "support/fake_endpoints.hpp"
#include "support/fake_store.hpp"
#include "support/platform_protocol.hpp"

#include <cardamombay/control/control_node.hpp>
#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/endpoint/endpoint_codec.hpp>
#include <cardamombay/endpoint/http_endpoint_orders.hpp>
#include <cardamombay/platform/http_object_store.hpp>
#include <cardamombay/platform/http_table_store.hpp>
#include <cardamombay/platform/http_vm_directory.hpp>
#include <cardamombay/rpc/json_rpc_dispatcher.hpp>
#include <cardamombay/rpc/json_rpc_peer_transport.hpp>

#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamombay::bench {

constexpr std::size_t requestHead = 150;  ///< HTTP head of a request, with its ids.
constexpr std::size_t responseHead = 120; ///< HTTP head of an answer.
constexpr Duration peerLatency = std::chrono::microseconds(600);
constexpr std::size_t vmsPerGroup = 16;
constexpr std::size_t vmsPerDomain = 64;

/// \brief Size of a fleet.
struct CapacityShape
{
    std::size_t nodes_ = 7;
    std::size_t engines_ = 64;
    std::size_t zones_ = 3;
    std::size_t regions_ = 1;
    std::size_t teams_ = 30; ///< Teams with demand at each node.
    std::string charts_ = "charts";
};

template<typename Value>
Value demand(Result<Value> result)
{
    if (!isOk(result)) {
        std::cerr << errorOf(result) << std::endl;
        std::abort();
    }
    return valueOf(std::move(result));
}

/// \brief The fleet, its platform and its endpoints.
class CapacityFleet
{
public:
    explicit CapacityFleet(CapacityShape shape)
        : shape_(std::move(shape))
        , meter_(shape_.nodes_)
        , platform_(clock_)
        , table_(platform_)
        , objects_(platform_)
        , endpoints_(clock_)
        , charts_(demand(control::loadCharts(chart::ChartFolder(shape_.charts_))))
    {
        endpoints_.loadTime_ = std::chrono::seconds(1);
        makeVms();
        applyConfiguration(1);
        clock_.advance(std::chrono::seconds(1));
        for (std::size_t index = 0; index < shape_.nodes_; ++index)
            nodes_.push_back(std::make_unique<Node>(*this, index));
        for (std::size_t index = 0; index < shape_.nodes_; ++index) {
            const Charge charge(meter_, index, Work::OtherTimer);
            nodes_[index]->control_->start();
        }
    }

    ~CapacityFleet()
    {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            const Charge charge(meter_, index, Work::OtherTimer);
            nodes_[index]->control_.reset();
        }
    }

    CapacityFleet(const CapacityFleet &) = delete;
    CapacityFleet &operator=(const CapacityFleet &) = delete;

    void run(Duration time)
    {
        constexpr Duration step = std::chrono::milliseconds(500);
        for (Duration passed{}; passed < time; passed += step) {
            giveTraffic();
            clock_.advance(step);
        }
    }

    [[nodiscard]] Meter &meter() { return meter_; }
    [[nodiscard]] ManualClock &clock() { return clock_; }
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }
    [[nodiscard]] control::ControlNode &node(std::size_t index) { return *nodes_[index]->control_; }
    [[nodiscard]] std::size_t listBytes() const { return listText_.size(); }
    [[nodiscard]] support::FakePlatform &platform() { return platform_; }

    /// \brief Usable groups in the snapshot of a node.
    [[nodiscard]] std::size_t usableGroups(std::size_t index)
    {
        std::size_t count = 0;
        for (const auto &service : node(index).snapshot()->services_) {
            for (const auto &group : service.groups_)
                count += group.isUsable(clock_.now()) ? 1 : 0;
        }
        return count;
    }

    /// \brief Groups in the snapshot of a node.
    [[nodiscard]] std::size_t knownGroups(std::size_t index)
    {
        std::size_t count = 0;
        for (const auto &service : node(index).snapshot()->services_)
            count += service.groups_.size();
        return count;
    }

    /// \brief Operators accept another version with other weights of teams.
    void applyConfiguration(unsigned number)
    {
        if (!operator_) {
            operator_ = std::make_unique<Operator>(*this);
        }
        operator_->store_.apply({sources(number), operator_->version_, {"bench", "", ""}, {}},
                                [this](Result<ConfigVersion> result) {
                                    operator_->version_ = demand(std::move(result));
                                });
    }

    [[nodiscard]] ConfigVersion acceptedVersion() const { return operator_->version_; }

private:
    /// One node's HTTP: counts, and charges answers to the node.
    class MemoryHttp final : public net::HttpClient
    {
    public:
        MemoryHttp(CapacityFleet &fleet, std::size_t node)
            : fleet_(fleet)
            , node_(node)
            , orders_(fleet.endpoints_, idOf(node))
        {
        }

        void send(net::HttpRequest request, std::function<void(net::HttpResult)> done) override
        {
            const Charge outside(fleet_.meter_, node_, Work::Outside);
            const Message kind = kindOf(request.target_);
            Traffic &traffic = trafficOf(kind);
            ++traffic.messages_;
            traffic.sent_ += requestHead + request.body_.size();
            auto receive = [this, kind, done = std::move(done),
                            id = requestId(request)](net::HttpResponse response) {
                trafficOf(kind).received_ += responseHead + response.body_.size();
                response.fields_.push_back({"X-Request-Id", id});
                const Charge charge(fleet_.meter_, node_, answerWork(kind));
                done(std::move(response));
            };
            fleet_.serve(kind, std::move(request), orders_, std::move(receive));
        }

    private:
        Traffic &trafficOf(Message kind)
        {
            return fleet_.meter_.nodes()[node_].traffic_[static_cast<std::size_t>(kind)];
        }

        static std::string requestId(const net::HttpRequest &request)
        {
            for (const auto &field : request.fields_) {
                if (field.name_ == "X-Request-Id")
                    return field.value_;
            }
            return {};
        }

        static Message kindOf(std::string_view target)
        {
            if (target == rpc::rpcTarget)
                return Message::Peer;
            if (target == "/v1/state")
                return Message::Probe;
            if (target == "/v1/orders")
                return Message::Order;
            if (target == "/v1/transact")
                return Message::Commit;
            if (target == "/v1/read")
                return Message::Read;
            if (target == "/v1/scan")
                return Message::Scan;
            return target.starts_with("/v1/vms") ? Message::VmList : Message::Object;
        }

        static Work answerWork(Message kind)
        {
            switch (kind) {
            case Message::Peer:
                return Work::PeerAnswer;
            case Message::Probe:
                return Work::ProbeAnswer;
            case Message::Order:
                return Work::PlanTimer;
            case Message::VmList:
                return Work::VmListAnswer;
            default:
                return Work::StoreAnswer;
            }
        }

        CapacityFleet &fleet_;
        std::size_t node_;
        support::FakeEndpointOrders orders_;
    };

    /// Asks peers for their configuration.
    class RpcConfigPeers final : public control::ConfigPeers
    {
    public:
        explicit RpcConfigPeers(rpc::JsonRpcPeerTransport &peers)
            : peers_(peers)
        {
        }
        void fetch(Address address, Callback<std::string> done) override
        {
            peers_.call(std::move(address), "config", "{}", std::move(done));
        }

    private:
        rpc::JsonRpcPeerTransport &peers_;
    };

    /// One entry VM.
    struct Node
    {
        Node(CapacityFleet &fleet, std::size_t index)
            : clock_(fleet.clock_, fleet.meter_, index)
            , http_(fleet, index)
            , table_(http_, {})
            , objects_(http_, {})
            , directory_(http_, {})
            , orders_(http_)
            , peers_(http_)
            , configPeers_(peers_)
        {
            const Charge charge(fleet.meter_, index, Work::OtherTimer);
            control::ControlLinks links{clock_,   peers_,     configPeers_, table_,
                                        objects_, directory_, orders_,      decisions_};
            control_ = std::make_unique<control::ControlNode>(links, fleet.settings(index),
                                                              fleet.charts_);
            dispatcher_.setExchangeHandler(
                [this](const membership::Digest &digest) { return control_->handle(digest); });
            dispatcher_.registerMethod("config",
                                       [this](const std::string &) -> Result<std::string> {
                                           auto text = control_->configuration().encodedCurrent();
                                           if (!text)
                                               return Error(NotFound{"configuration"});
                                           return std::move(*text);
                                       });
        }

        MeteredClock clock_;
        MemoryHttp http_;
        platform::HttpTableStore table_;
        platform::HttpObjectStore objects_;
        platform::HttpVmDirectory directory_;
        endpoint::HttpEndpointOrders orders_;
        rpc::JsonRpcPeerTransport peers_;
        RpcConfigPeers configPeers_;
        rpc::JsonRpcDispatcher dispatcher_;
        DecisionLog decisions_;
        std::unique_ptr<control::ControlNode> control_;
    };

    /// The operators' end of the configuration.
    struct Operator
    {
        explicit Operator(CapacityFleet &fleet)
            : random_(7)
            , store_(fleet.clock_, fleet.table_, fleet.objects_, random_,
                     platform::WriterTokens(EntryId("operator"), Incarnation(1)))
        {
        }
        Random random_;
        config::ConfigStore store_;
        ConfigVersion version_;
    };

    using Receive = std::function<void(net::HttpResponse)>;

    static EntryId idOf(std::size_t index)
    {
        const std::string digits = std::to_string(index);
        return EntryId("e" + std::string(3 - std::min<std::size_t>(3, digits.size()), '0')
                       + digits);
    }

    static Address addressOf(std::size_t index)
    {
        return {"10.0." + std::to_string(index / 250) + "." + std::to_string(1 + index % 250),
                7100};
    }

    [[nodiscard]] AvailabilityZone zoneOf(std::size_t index) const
    {
        return AvailabilityZone("zone-" + std::to_string(index % shape_.zones_));
    }

    [[nodiscard]] RegionName regionOf(std::size_t index) const
    {
        return RegionName("region-" + std::to_string(index % shape_.zones_ % shape_.regions_));
    }

    [[nodiscard]] control::ControlSettings settings(std::size_t index) const
    {
        control::ControlSettings settings;
        settings.self_ = idOf(index);
        settings.incarnation_ = Incarnation(1'764'000'000'000 + index);
        settings.peerAddress_ = addressOf(index);
        settings.zone_ = zoneOf(index);
        settings.region_ = regionOf(index);
        settings.seeds_ = {addressOf(0), addressOf(1)};
        settings.randomSeed_ = 1000 + index;
        return settings;
    }

    void makeVms()
    {
        for (std::size_t index = 0; index < shape_.nodes_; ++index) {
            platform::VmRecord record;
            record.id_ = VmId(idOf(index).text());
            record.role_ = platform::VmRole::Entry;
            record.address_ = addressOf(index);
            record.zone_ = zoneOf(index);
            vms_.push_back(record);
        }
        for (std::size_t index = 0; index < shape_.engines_; ++index) {
            platform::VmRecord record;
            record.id_ = VmId("v" + std::to_string(10000 + index));
            record.address_
                = {"10.1." + std::to_string(index / 250) + "." + std::to_string(1 + index % 250),
                   9000};
            record.zone_ = zoneOf(index);
            record.domain_ = FabricDomain(record.zone_.text() + "-fabric-"
                                          + std::to_string(index / shape_.zones_ / vmsPerDomain));
            endpoints_.addVm(record.id_, record.address_);
            vms_.push_back(record);
        }
        listText_ = support::encodeVms(vms_, std::chrono::seconds(1));
        const auto tagAt = listText_.find("\"tag\":\"") + 7;
        const std::string tag = listText_.substr(tagAt, listText_.find('"', tagAt) - tagAt);
        listTarget_ = "/v1/vms?unless=" + tag;
        unchangedText_ = support::encodeVms(vms_, std::chrono::seconds(1), tag);
    }

    [[nodiscard]] config::ConfigSources sources(unsigned number) const
    {
        const std::size_t inZone = shape_.engines_ / shape_.zones_;
        const std::size_t replicas = std::max<std::size_t>(inZone / vmsPerGroup, 2) - 1;
        std::string base = "deployment = \"bench\"\n[planner]\nconcurrent_loads = 100\n";
        base += "[services.lm]\nkind = \"model\"\nmodel = { name = \"large\", version = \"1\" }\n";
        base += "vms_per_replica = " + std::to_string(vmsPerGroup)
                + "\nreplicas = " + std::to_string(replicas) + "\nload_time = \"5s\"\n";
        for (std::size_t team = 0; team < shape_.teams_; ++team) {
            base += "[teams.team-" + std::to_string(team)
                    + "]\nweight = " + std::to_string(team == 0 ? number : 1) + ".0\n";
        }
        config::ConfigSources sources{{"base.toml", base}, {}};
        for (std::size_t zone = 0; zone < shape_.zones_; ++zone) {
            sources.overlays_.push_back({zoneOf(zone).text() + ".toml",
                                         "site = \"" + zoneOf(zone).text() + "\"\nregion = \""
                                             + regionOf(zone).text() + "\"\n"});
        }
        return sources;
    }

    /// Demand of all teams and requests in flight at the groups of the node's own zone.
    void giveTraffic()
    {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            std::vector<routing::DemandReport> demands;
            for (std::size_t team = 0; team < shape_.teams_; ++team)
                demands.push_back({ServiceName("lm"), TeamName("team-" + std::to_string(team)),
                                   static_cast<std::uint32_t>(3 + index % 3), 0});
            std::vector<membership::InFlightEntry> inFlight;
            for (const auto &service : node(index).snapshot()->services_) {
                for (const auto &group : service.groups_) {
                    if (group.zone_ == zoneOf(index))
                        inFlight.push_back({group.group_, 9});
                }
            }
            const Charge charge(meter_, index, Work::OtherTimer);
            node(index).setTraffic(std::move(demands), std::move(inFlight));
        }
    }

    void serve(Message kind, net::HttpRequest request, support::FakeEndpointOrders &orders,
               Receive receive)
    {
        switch (kind) {
        case Message::Peer:
            servePeer(std::move(request), std::move(receive));
            return;
        case Message::Probe:
        case Message::Order:
            serveEndpoint(kind, request, orders, std::move(receive));
            return;
        case Message::VmList: {
            const std::string &text = request.target_ == listTarget_ ? unchangedText_ : listText_;
            clock_.schedule(platform_.faults_.latency_, [&text, receive = std::move(receive)] {
                receive({200, {}, text});
            });
            return;
        }
        default:
            serveStore(kind, request, std::move(receive));
        }
    }

    void servePeer(net::HttpRequest request, Receive receive)
    {
        clock_.schedule(peerLatency, [this, request = std::move(request),
                                      receive = std::move(receive)]() mutable {
            const auto found = addresses_.find(request.address_);
            if (found == addresses_.end())
                return;
            Node &node = *nodes_[found->second];
            std::string answer;
            {
                const Charge charge(meter_, found->second, Work::PeerCall);
                answer = node.dispatcher_.handle(request.body_);
            }
            Traffic &answered = meter_.nodes()[found->second].answered_;
            ++answered.messages_;
            answered.received_ += requestHead + request.body_.size();
            answered.sent_ += responseHead + answer.size();
            clock_.schedule(peerLatency,
                            [answer = std::move(answer), receive = std::move(receive)]() mutable {
                                receive({200, {}, std::move(answer)});
                            });
        });
    }

    void serveEndpoint(Message kind, const net::HttpRequest &request,
                       support::FakeEndpointOrders &orders, Receive receive)
    {
        auto answer = [receive = std::move(receive)](const Result<endpoint::EndpointState> &state) {
            if (isOk(state))
                receive({200, {}, endpoint::encodeState(valueOf(state))});
            else
                receive({409, {}, endpoint::encodeRefusal("busy")});
        };
        if (kind == Message::Probe)
            orders.probe(VmId("any"), request.address_, std::move(answer));
        else
            orders.send(request.address_, demand(endpoint::decodeOrder("bench", request.body_)),
                        std::move(answer));
    }

    /// Answers what the platform would while it is down or a condition fails.
    static net::HttpResponse refusal(const Error &error)
    {
        if (const auto *conflict = std::get_if<StoreConflict>(&error))
            return {409, {}, support::encodeConflict(*conflict)};
        return {503, {}, "{}"};
    }

    void serveStore(Message kind, const net::HttpRequest &request, Receive receive)
    {
        if (kind == Message::Commit) {
            table_.commit(support::decodeTransaction(request.body_),
                          [receive = std::move(receive)](const auto &result) {
                              if (isOk(result))
                                  receive({200, {}, support::encodeReceipt(valueOf(result))});
                              else
                                  receive(refusal(errorOf(result)));
                          });
        } else if (kind == Message::Read) {
            table_.read(support::decodeKeys(request.body_),
                        [receive = std::move(receive)](const auto &rows) {
                            if (isOk(rows))
                                receive({200, {}, support::encodeRows(valueOf(rows))});
                            else
                                receive(refusal(errorOf(rows)));
                        });
        } else if (kind == Message::Scan) {
            table_.scan(support::decodeScan(request.body_),
                        [receive = std::move(receive)](const auto &page) {
                            if (isOk(page))
                                receive({200, {}, support::encodePage(valueOf(page))});
                            else
                                receive(refusal(errorOf(page)));
                        });
        } else {
            receive({404, {}, "{}"});
        }
    }

    CapacityShape shape_;
    Meter meter_;
    ManualClock clock_;
    support::FakePlatform platform_;
    support::FakeTableStore table_;
    support::FakeObjectStore objects_;
    support::FakeEndpoints endpoints_;
    control::NodeCharts charts_;
    std::vector<platform::VmRecord> vms_;
    std::string listText_;
    std::string unchangedText_;
    std::string listTarget_; ///< Of a node that has the list.
    std::map<Address, std::size_t> addresses_ = addressBook();
    std::vector<std::unique_ptr<Node>> nodes_;
    std::unique_ptr<Operator> operator_;

    [[nodiscard]] std::map<Address, std::size_t> addressBook() const
    {
        std::map<Address, std::size_t> book;
        for (std::size_t index = 0; index < shape_.nodes_; ++index)
            book.emplace(addressOf(index), index);
        return book;
    }
};

} // namespace cardamombay::bench
