// Implements the part of a request's state machine that chooses servers and sends to them.
#include "exchange_handler.h"

#include <cmath>

namespace shallotfield {

/** Assumed size of request and response together, for downloads and for other requests, until a
 * request of the rule has been answered. */
static constexpr double DEFAULT_DOWNLOAD_BYTES = 60'000;
static constexpr double DEFAULT_REQUEST_BYTES = 3000;

/** Weight of the latest request in the moving average of sizes, which thereby covers about the last
 * twenty requests. */
static constexpr double BYTES_EWMA_WEIGHT = 0.05;

/** Weight of the latest request in the average service time of the fleet, which thereby covers
 * about the last fifty requests, over many servers. */
static constexpr double FLEET_SERVICE_EWMA_WEIGHT = 0.02;

service_id
exchange_handler::choose_service()
{
  const auto& targets = exchange_.rule->targets;
  if (targets.size() == 1) {
    return targets.front().service;
  }
  // Smooth weighted round robin: the target that is furthest behind its share gets the request.
  // Unlike a random choice, this keeps to the shares even over a small number of requests. The
  // random start keeps the proxies of a fleet from choosing the same targets in the same order.
  std::vector<double>& deficits = proxy_.split_deficits[exchange_.rule->name];
  if (deficits.size() != targets.size()) {
    deficits.assign(targets.size(), 0);
    std::uniform_real_distribution<double> start(0, 1);
    std::generate(deficits.begin(), deficits.end(), [&] { return start(proxy_.random); });
  }
  double total = 0;
  for (const weighted_service& target : targets) {
    total += static_cast<double>(target.weight);
  }
  std::size_t chosen = 0;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    deficits[i] += total > 0 ? static_cast<double>(targets[i].weight) / total : 0;
    if (targets[chosen].weight == 0 || (targets[i].weight > 0 && deficits[i] > deficits[chosen])) {
      chosen = i;
    }
  }
  deficits[chosen] -= 1;
  return targets[chosen].service;
}

double
exchange_handler::expected_bytes() const
{
  const auto found = proxy_.expected_bytes.find(exchange_.rule->name);
  if (found != proxy_.expected_bytes.end()) {
    return found->second;
  }
  return exchange_.rule->kind == request_kind::download ? DEFAULT_DOWNLOAD_BYTES
                                                        : DEFAULT_REQUEST_BYTES;
}

void
exchange_handler::record_bytes(std::size_t response_body_bytes)
{
  const auto bytes = static_cast<double>(response_body_bytes + exchange_.body.size());
  const double average = expected_bytes();
  proxy_.expected_bytes[exchange_.rule->name] = average + BYTES_EWMA_WEIGHT * (bytes - average);
}

std::int64_t
exchange_handler::fleet_service_ms() const
{
  const auto found = proxy_.fleet_service_ms.find(exchange_.rule->name);
  return found == proxy_.fleet_service_ms.end() ? 0 : std::llround(found->second);
}

void
exchange_handler::record_service_time(std::int64_t service_time_ms)
{
  const auto service_ms = static_cast<double>(service_time_ms);
  const auto [found, is_first] =
    proxy_.fleet_service_ms.try_emplace(exchange_.rule->name, service_ms);
  if (!is_first) {
    found->second += FLEET_SERVICE_EWMA_WEIGHT * (service_ms - found->second);
  }
}

bool
exchange_handler::try_server()
{
  choice_request request{ exchange_.service, {}, exchange_.priority, expected_bytes(), 0, 0, {} };
  if (exchange_.rule->kind == request_kind::download) {
    request.bulk_objective_ms = static_cast<double>(exchange_.rule->objective_ms);
  }
  if (exchange_.rule->objective_ms > 0) {
    request.objective_fraction =
      static_cast<double>(fleet_service_ms()) / static_cast<double>(exchange_.rule->objective_ms);
  }
  request.objective_ms = static_cast<double>(exchange_.rule->objective_ms);
  request.prices = proxy_.prices;
  request.spill = proxy_.uses_spill ? &proxy_.spill : nullptr;
  for (const exchange_attempt& attempt : exchange_.attempts) {
    request.excluded.insert(attempt.node);
  }
  request.has_region_capacity = [&](const std::string& region) {
    return proxy_.congestion.has_capacity(region, request.expected_bytes, now_);
  };
  const choice_result result = choose(request);
  if (const auto* full = std::get_if<no_capacity>(&result)) {
    record_retry_after(full->wait_ms);
    exchange_.found_full_server = true;
  }
  const auto* choice = std::get_if<server_choice>(&result);
  if (choice == nullptr) {
    return false;
  }
  send_to(*choice, request.expected_bytes);
  return true;
}

choice_result
exchange_handler::choose(const choice_request& request)
{
  const rollout_record* rollout = find_rollout(*proxy_.rollouts, exchange_.service);
  if (rollout != nullptr && draw_target(*rollout, proxy_.random)) {
    const choice_result result =
      choose_server(proxy_.target_servers, proxy_.tracker, request, now_, proxy_.random);
    // At the last step there is no other server.
    if (std::holds_alternative<server_choice>(result) || rollout->step == rollout_step::full) {
      return result;
    }
  }
  return choose_server(proxy_.servers, proxy_.tracker, request, now_, proxy_.random);
}

bool
exchange_handler::try_trial_server(const suspect_trial_due& trial)
{
  const std::optional<server_choice> choice =
    choose_trial_server(proxy_.servers, exchange_.service, trial.request, trial.latest_trial);
  if (choice) {
    send_to(*choice, expected_bytes());
  }
  return choice.has_value();
}

void
exchange_handler::send_to(const server_choice& choice, double expected_bytes)
{
  const exchange_attempt_index attempt = exchange_.attempts.size();
  const bool is_cross_region = choice.distance == server_distance::other_region;
  exchange_.attempts.push_back({ choice.node->id,
                                 now_,
                                 true,
                                 true,
                                 is_cross_region ? choice.node->region : std::string(),
                                 expected_bytes });
  if (is_cross_region) {
    proxy_.congestion.record_sent(choice.node->region, expected_bytes, now_);
  }
  if (choice.distance == server_distance::same_region) {
    count(counter_id::sent_to_zones);
  } else if (is_cross_region) {
    count(counter_id::sent_to_regions);
  }
  record_spill(choice, expected_bytes);
  proxy_.tracker.record_sent(choice.node->id);
  effects_.emplace_back(send_attempt{ attempt,
                                      choice.node->id,
                                      choice.node->server.instance,
                                      exchange_.deadline - now_,
                                      exchange_.delivered_attempts > 0,
                                      fleet_service_ms() });
}

void
exchange_handler::record_spill(const server_choice& choice, double expected_bytes)
{
  const bool is_away = choice.distance == server_distance::same_region ||
                       choice.distance == server_distance::other_region;
  if (!proxy_.uses_spill || !is_away) {
    return;
  }
  count(choice.distance == server_distance::same_region ? counter_id::bytes_to_zones
                                                        : counter_id::bytes_to_regions,
        static_cast<std::uint64_t>(expected_bytes));
  proxy_.spill.record_left(choice.node->zone, choice.reason, expected_bytes);
  for (const spill_report& report : proxy_.spill.take_due_reports(now_)) {
    effects_.emplace_back(exchange_log{ log_event::zone_spill,
                                        { { "zone", report.zone },
                                          { "sooner", report.sooner },
                                          { "no_home_server", report.no_home_server },
                                          { "bytes", std::llround(report.bytes) },
                                          { "share_permille", std::llround(1000 * report.share) },
                                          { "gain_permille", std::llround(1000 * report.gain) } },
                                        true });
  }
}

} // namespace shallotfield
