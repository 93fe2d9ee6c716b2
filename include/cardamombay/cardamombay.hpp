/// \file
/// \brief The whole public interface of the library in one include.
/// \details For programs that embed the library, such as the ones under examples/. It defines
/// nothing itself and pulls in no HTTP, TOML, JSON or logging library. Sources of the library
/// include the header of each type they use instead, to keep rebuilds small; headers that only name
/// a type include forward.hpp.
/// \code
/// #include <cardamombay/cardamombay.hpp>
///
/// cardamombay::ManualClock clock;
/// cardamombay::routing::Router router(seed);
/// \endcode
#pragma once

#include <cardamombay/forward.hpp>

#include <cardamombay/admin/admin_ack.hpp>
#include <cardamombay/admin/admin_config.hpp>
#include <cardamombay/admin/admin_event.hpp>
#include <cardamombay/admin/admin_group.hpp>
#include <cardamombay/admin/admin_status.hpp>
#include <cardamombay/admin/admin_vm.hpp>

#include <cardamombay/chart/binding.hpp>
#include <cardamombay/chart/chart.hpp>
#include <cardamombay/chart/machine.hpp>

#include <cardamombay/claims/claim.hpp>
#include <cardamombay/claims/claim_expiry.hpp>
#include <cardamombay/claims/claim_registry.hpp>
#include <cardamombay/claims/claim_row.hpp>
#include <cardamombay/claims/row_batcher.hpp>

#include <cardamombay/cli/command_line.hpp>
#include <cardamombay/cli/control_program.hpp>
#include <cardamombay/cli/exit_code.hpp>

#include <cardamombay/config/address_text.hpp>
#include <cardamombay/config/config_agent.hpp>
#include <cardamombay/config/config_parser.hpp>
#include <cardamombay/config/config_poller.hpp>
#include <cardamombay/config/config_record.hpp>
#include <cardamombay/config/config_sources.hpp>
#include <cardamombay/config/config_store.hpp>
#include <cardamombay/config/configuration.hpp>
#include <cardamombay/config/duration_text.hpp>
#include <cardamombay/config/text_file.hpp>

#include <cardamombay/control/admin_view.hpp>
#include <cardamombay/control/config_peers.hpp>
#include <cardamombay/control/control_metrics.hpp>
#include <cardamombay/control/control_node.hpp>
#include <cardamombay/control/control_settings.hpp>
#include <cardamombay/control/hosted_node.hpp>
#include <cardamombay/control/node_charts.hpp>
#include <cardamombay/control/peer_reports.hpp>
#include <cardamombay/control/snapshot_builder.hpp>
#include <cardamombay/control/vm_list_poller.hpp>
#include <cardamombay/control/zone_planner.hpp>

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/decision_log.hpp>
#include <cardamombay/core/error.hpp>
#include <cardamombay/core/hash.hpp>
#include <cardamombay/core/id.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/core/row_version.hpp>
#include <cardamombay/core/shared_bytes.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/core/whole_number.hpp>

#include <cardamombay/endpoint/endpoint_codec.hpp>
#include <cardamombay/endpoint/endpoint_orders.hpp>
#include <cardamombay/endpoint/endpoint_state.hpp>
#include <cardamombay/endpoint/http_endpoint_orders.hpp>

#include <cardamombay/groups/events.hpp>
#include <cardamombay/groups/group_cache.hpp>
#include <cardamombay/groups/group_manager.hpp>
#include <cardamombay/groups/group_row.hpp>
#include <cardamombay/groups/group_state_machine.hpp>
#include <cardamombay/groups/manager_settings.hpp>
#include <cardamombay/groups/plan_input.hpp>
#include <cardamombay/groups/vm_row.hpp>
#include <cardamombay/groups/vm_view.hpp>

#include <cardamombay/leases/candidate_rank.hpp>
#include <cardamombay/leases/lease_keeper.hpp>
#include <cardamombay/leases/lease_row.hpp>
#include <cardamombay/leases/lease_settings.hpp>

#include <cardamombay/limits/admission.hpp>
#include <cardamombay/limits/admission_request.hpp>
#include <cardamombay/limits/fair_share.hpp>
#include <cardamombay/limits/limits_policy.hpp>

#include <cardamombay/load/arrivals.hpp>
#include <cardamombay/load/call_outcome.hpp>
#include <cardamombay/load/histogram.hpp>
#include <cardamombay/load/http_caller.hpp>
#include <cardamombay/load/load_plot.hpp>
#include <cardamombay/load/load_report.hpp>
#include <cardamombay/load/load_run.hpp>
#include <cardamombay/load/workload.hpp>

#include <cardamombay/log/events.hpp>
#include <cardamombay/log/log.hpp>
#include <cardamombay/log/logging_sink.hpp>

#include <cardamombay/membership/digest.hpp>
#include <cardamombay/membership/member_table.hpp>
#include <cardamombay/membership/membership.hpp>
#include <cardamombay/membership/membership_settings.hpp>
#include <cardamombay/membership/peer_link.hpp>
#include <cardamombay/membership/peer_transport.hpp>
#include <cardamombay/membership/update_queue.hpp>

#include <cardamombay/metrics/registry.hpp>

#include <cardamombay/net/answer_defect.hpp>
#include <cardamombay/net/asio_clock.hpp>
#include <cardamombay/net/asio_http_client.hpp>
#include <cardamombay/net/http_client.hpp>
#include <cardamombay/net/http_server.hpp>
#include <cardamombay/net/http_status.hpp>
#include <cardamombay/net/input_budget.hpp>
#include <cardamombay/net/kept_upstream.hpp>
#include <cardamombay/net/server_exchange.hpp>
#include <cardamombay/net/udp_channel.hpp>
#include <cardamombay/net/upstream.hpp>
#include <cardamombay/net/upstream_client.hpp>

#include <cardamombay/outcomes/attempt.hpp>
#include <cardamombay/outcomes/outcome.hpp>
#include <cardamombay/outcomes/stream_continuity.hpp>

#include <cardamombay/overload/admission_controller.hpp>
#include <cardamombay/overload/admission_figures.hpp>
#include <cardamombay/overload/demand_meter.hpp>
#include <cardamombay/overload/held_queue.hpp>
#include <cardamombay/overload/level_log.hpp>
#include <cardamombay/overload/return_register.hpp>
#include <cardamombay/overload/return_schedule.hpp>
#include <cardamombay/overload/wait_forecast.hpp>

#include <cardamombay/planning/plan_decision.hpp>
#include <cardamombay/planning/plan_state.hpp>
#include <cardamombay/planning/planner.hpp>
#include <cardamombay/planning/repair_policy.hpp>
#include <cardamombay/planning/return_history.hpp>
#include <cardamombay/planning/return_model.hpp>

#include <cardamombay/platform/change_feed.hpp>
#include <cardamombay/platform/http_endpoint.hpp>
#include <cardamombay/platform/http_object_store.hpp>
#include <cardamombay/platform/http_table_store.hpp>
#include <cardamombay/platform/http_vm_directory.hpp>
#include <cardamombay/platform/object_store.hpp>
#include <cardamombay/platform/paced_table_store.hpp>
#include <cardamombay/platform/reliable_commit.hpp>
#include <cardamombay/platform/table_store.hpp>
#include <cardamombay/platform/vm_directory.hpp>

#include <cardamombay/retries/backoff.hpp>
#include <cardamombay/retries/circuit_breaker.hpp>
#include <cardamombay/retries/circuit_breaker_registry.hpp>
#include <cardamombay/retries/retry_budget.hpp>
#include <cardamombay/retries/retry_policy.hpp>

#include <cardamombay/routing/cache_event.hpp>
#include <cardamombay/routing/prefix_hashes.hpp>
#include <cardamombay/routing/prefix_index.hpp>
#include <cardamombay/routing/route_decision.hpp>
#include <cardamombay/routing/router.hpp>
#include <cardamombay/routing/router_policy.hpp>
#include <cardamombay/routing/routing_snapshot.hpp>

#include <cardamombay/rpc/digest_codec.hpp>
#include <cardamombay/rpc/json_rpc_dispatcher.hpp>
#include <cardamombay/rpc/json_rpc_peer_transport.hpp>
#include <cardamombay/rpc/rpc_http_handler.hpp>

#include <cardamombay/serving/answer_buffers.hpp>
#include <cardamombay/serving/answer_notices.hpp>
#include <cardamombay/serving/answered_parts.hpp>
#include <cardamombay/serving/avoidance_log.hpp>
#include <cardamombay/serving/balancer.hpp>
#include <cardamombay/serving/caller_buffers.hpp>
#include <cardamombay/serving/carriers.hpp>
#include <cardamombay/serving/change_history.hpp>
#include <cardamombay/serving/cold_endpoints.hpp>
#include <cardamombay/serving/configuration.hpp>
#include <cardamombay/serving/configuration_exchange.hpp>
#include <cardamombay/serving/crash_detector.hpp>
#include <cardamombay/serving/dialect.hpp>
#include <cardamombay/serving/digest_hub.hpp>
#include <cardamombay/serving/duty_order.hpp>
#include <cardamombay/serving/endpoint.hpp>
#include <cardamombay/serving/endpoint_gate.hpp>
#include <cardamombay/serving/endpoint_limits.hpp>
#include <cardamombay/serving/endpoint_notices.hpp>
#include <cardamombay/serving/endpoint_paths.hpp>
#include <cardamombay/serving/endpoint_registry.hpp>
#include <cardamombay/serving/engine_model.hpp>
#include <cardamombay/serving/evacuations.hpp>
#include <cardamombay/serving/event_scanner.hpp>
#include <cardamombay/serving/failure_blame.hpp>
#include <cardamombay/serving/fleet_size.hpp>
#include <cardamombay/serving/gated_orders.hpp>
#include <cardamombay/serving/gateway.hpp>
#include <cardamombay/serving/gateway_metrics.hpp>
#include <cardamombay/serving/gateway_settings.hpp>
#include <cardamombay/serving/group_heads.hpp>
#include <cardamombay/serving/group_view.hpp>
#include <cardamombay/serving/kept_engines.hpp>
#include <cardamombay/serving/load_tracker.hpp>
#include <cardamombay/serving/metered_platform.hpp>
#include <cardamombay/serving/model_mix.hpp>
#include <cardamombay/serving/node.hpp>
#include <cardamombay/serving/overload_control.hpp>
#include <cardamombay/serving/overload_metrics.hpp>
#include <cardamombay/serving/peer_clocks.hpp>
#include <cardamombay/serving/peer_digests.hpp>
#include <cardamombay/serving/planner_lease.hpp>
#include <cardamombay/serving/poison_pills.hpp>
#include <cardamombay/serving/propagation_budget.hpp>
#include <cardamombay/serving/quantile_tracker.hpp>
#include <cardamombay/serving/quota_exchange.hpp>
#include <cardamombay/serving/quota_history.hpp>
#include <cardamombay/serving/quota_messages.hpp>
#include <cardamombay/serving/replica_manager.hpp>
#include <cardamombay/serving/replica_orders.hpp>
#include <cardamombay/serving/replica_planner.hpp>
#include <cardamombay/serving/reporters.hpp>
#include <cardamombay/serving/request_fingerprint.hpp>
#include <cardamombay/serving/request_regions.hpp>
#include <cardamombay/serving/reservation_coordinator.hpp>
#include <cardamombay/serving/reservation_messages.hpp>
#include <cardamombay/serving/reservation_scheduler.hpp>
#include <cardamombay/serving/retry_limiter.hpp>
#include <cardamombay/serving/retry_quota.hpp>
#include <cardamombay/serving/return_coordinator.hpp>
#include <cardamombay/serving/return_messages.hpp>
#include <cardamombay/serving/roster.hpp>
#include <cardamombay/serving/route_table.hpp>
#include <cardamombay/serving/send_budget.hpp>
#include <cardamombay/serving/send_gate.hpp>
#include <cardamombay/serving/send_rates.hpp>
#include <cardamombay/serving/servable.hpp>
#include <cardamombay/serving/sliding_sum.hpp>
#include <cardamombay/serving/store_format.hpp>
#include <cardamombay/serving/store_watch.hpp>

#include <cardamombay/settings/settings.hpp>

#include <cardamombay/trace/span_sink.hpp>
#include <cardamombay/trace/trace_context.hpp>
#include <cardamombay/trace/tracer.hpp>

#include <cardamombay/traffic/claim.hpp>
#include <cardamombay/traffic/control_link.hpp>
#include <cardamombay/traffic/control_side.hpp>
#include <cardamombay/traffic/dispatcher.hpp>
#include <cardamombay/traffic/lifecycle.hpp>
#include <cardamombay/traffic/parsed_request.hpp>
#include <cardamombay/traffic/problem.hpp>
#include <cardamombay/traffic/request_parser.hpp>
#include <cardamombay/traffic/snapshot_holder.hpp>
#include <cardamombay/traffic/stream_relay.hpp>
#include <cardamombay/traffic/traffic_context.hpp>
#include <cardamombay/traffic/traffic_metrics.hpp>
#include <cardamombay/traffic/traffic_service.hpp>
#include <cardamombay/traffic/worker.hpp>

#include <cardamombay/watching/endpoint_watcher.hpp>
#include <cardamombay/watching/observation.hpp>
#include <cardamombay/watching/veto_table.hpp>
#include <cardamombay/watching/watch_settings.hpp>
