// Tests of the division of a server's slots between client accounts, with the
// loads that it is made for.
#include "request/request.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <queue>
#include <random>

using namespace shallotfield;

namespace {

constexpr int SEEDS = 50;
constexpr std::size_t ACCOUNTS = 86;
constexpr double ACCOUNT_SKEW = 1.2;
constexpr std::uint32_t SLOTS = 6;
constexpr double SERVICE_MS = 220;
constexpr mono_ms OBJECTIVE_MS = 800;
constexpr mono_ms DEADLINE_MS = 2000;
constexpr mono_ms DURATION_MS = 8000;
/** Time after the last arrival, in which the requests that were accepted end.
 */
constexpr mono_ms DRAINING_MS = 4000;

/** Number of requests of one group of callers, by outcome. */
struct group_counts
{
  int asked = 0;   ///< Requests that arrived for the first time.
  int in_time = 0; ///< Requests that were answered within the objective.
  int refused = 0; ///< Requests that were refused, and not accepted when they came again.
  /** Requests that were refused after more than an eighth of their objective.
   */
  int refused_late = 0;

  double in_time_fraction() const { return asked == 0 ? 0 : static_cast<double>(in_time) / asked; }
};

/** The load of one run on one server. */
struct server_load
{
  double usual = 0.7;           ///< Load of all accounts together, as a fraction of the capacity.
  std::size_t hot = 0;          ///< Rank of the hot account, from the largest.
  double hot_factor = 1;        ///< Multiple of its usual that the hot account sends.
  int hot_repeats = 0;          ///< Times that its callers repeat a refused request at once.
  double uploads = 0;           ///< Load of uploads, as a fraction of the capacity.
  double calls_per_s = 0;       ///< Calls of running requests.
  bool are_calls_marked = true; ///< Whether the server's proxy recognises these calls.
  bool has_shares = true;       ///< Whether the server's proxy knows the accounts.
  double crest_factor = 1;      ///< Multiple of the load between 4 s and 6 s.
};

/** Returns the usual part of an account in all requests. */
double
usual_part(std::size_t rank)
{
  static const double total = [] {
    double sum = 0;
    for (std::size_t i = 0; i < ACCOUNTS; ++i) {
      sum += std::pow(static_cast<double>(i + 1), -ACCOUNT_SKEW);
    }
    return sum;
  }();
  return std::pow(static_cast<double>(rank + 1), -ACCOUNT_SKEW) / total;
}

/** Simulates a server in steps of 1 ms. */
class server_simulation
{
public:
  server_simulation(const server_load& load, unsigned seed)
    : load_(load)
    , random_(seed)
  {
    std::vector<double> parts;
    for (std::size_t rank = 0; rank < ACCOUNTS; ++rank) {
      parts.push_back(usual_part(rank) * (rank == load.hot ? load.hot_factor : 1));
      total_ += parts.back();
    }
    rank_ = std::discrete_distribution<std::size_t>(parts.begin(), parts.end());
    queue_.handle(slot_server_changed{ SLOTS, true }, 0);
  }

  void run()
  {
    for (now_ = 0; now_ < DURATION_MS + DRAINING_MS; ++now_) {
      while (!ends_.empty() && ends_.top().first <= now_) {
        const slot_ticket id = ends_.top().second;
        ends_.pop();
        finish(id);
      }
      if (now_ < DURATION_MS) {
        arrive_now();
      }
      if (now_ % 50 == 0) {
        perform(queue_.handle(slot_tick{}, now_));
      }
    }
  }

  group_counts hot;     ///< Requests of the hot account.
  group_counts others;  ///< Requests of the other accounts.
  group_counts uploads; ///< Uploads.
  group_counts calls;   ///< Calls; in time means before their deadline.

private:
  struct open_request
  {
    std::size_t rank;       ///< Rank of the account.
    mono_ms objective_ms;   ///< Time until the objective.
    mono_ms deadline_ms;    ///< Time until the deadline.
    double service_ms;      ///< Mean service time.
    const char* work;       ///< Kind of work.
    bool is_call;           ///< Whether a running request made it.
    mono_ms arrived_at = 0; ///< When it arrived first.
    int repeats = 0;        ///< Times that it came again.
  };

  /** Lets the requests of this step arrive. */
  void arrive_now()
  {
    const bool is_crest = now_ >= 4000 && now_ < 6000;
    const double capacity_per_ms = SLOTS / SERVICE_MS;
    const double factor = is_crest ? load_.crest_factor : 1;
    for (int i = draw(total_ * load_.usual * capacity_per_ms * factor); i > 0; --i) {
      arrive({ rank_(random_), OBJECTIVE_MS, DEADLINE_MS, SERVICE_MS, "work", false });
    }
    for (int i = draw(load_.uploads * SLOTS / 260 * factor); i > 0; --i) {
      arrive({ ACCOUNTS, 2000, 3000, 260, "upload", false });
    }
    for (int i = draw(load_.calls_per_s / 1000); i > 0; --i) {
      arrive({ ACCOUNTS + 1, 200, 600, 55, "call", true });
    }
  }

  int draw(double rate) { return rate > 0 ? std::poisson_distribution<int>(rate)(random_) : 0; }

  group_counts& group_of(const open_request& request)
  {
    if (request.is_call) {
      return calls;
    }
    if (request.rank == ACCOUNTS) {
      return uploads;
    }
    return request.rank == load_.hot ? hot : others;
  }

  void arrive(open_request request)
  {
    request.arrived_at = now_;
    ++group_of(request).asked;
    send(request);
  }

  void send(const open_request& request)
  {
    const slot_ticket id = next_++;
    open_[id] = request;
    slot_arrival arrival;
    arrival.id = id;
    arrival.work = request.work;
    arrival.priority = 1;
    arrival.objective_at = now_ + request.objective_ms;
    arrival.deadline = now_ + request.deadline_ms;
    if (load_.has_shares && request.rank < ACCOUNTS) {
      arrival.account = "account-" + std::to_string(request.rank);
      arrival.account_weight = 100 * usual_part(request.rank);
    }
    arrival.is_call = request.is_call && load_.are_calls_marked;
    perform(queue_.handle(arrival, now_));
  }

  void perform(const std::vector<slot_effect>& effects)
  {
    for (const slot_effect& effect : effects) {
      std::visit(overloaded{ [&](const slot_start& item) { start(item.id); },
                             [&](const slot_refuse& item) { refuse(item.id); } },
                 effect);
    }
  }

  void start(slot_ticket id)
  {
    std::lognormal_distribution<double> work(std::log(open_.at(id).service_ms) - 0.125, 0.5);
    ends_.emplace(now_ + static_cast<mono_ms>(work(random_)), id);
  }

  void refuse(slot_ticket id)
  {
    open_request request = open_.at(id);
    open_.erase(id);
    group_counts& group = group_of(request);
    if (request.rank == load_.hot && request.repeats < load_.hot_repeats) {
      ++request.repeats;
      send(request);
      return;
    }
    ++group.refused;
    group.refused_late += now_ - request.arrived_at > request.objective_ms / 8 ? 1 : 0;
  }

  void finish(slot_ticket id)
  {
    const open_request request = open_.at(id);
    open_.erase(id);
    const mono_ms limit = request.is_call ? request.deadline_ms : request.objective_ms;
    group_of(request).in_time += now_ - request.arrived_at <= limit ? 1 : 0;
    perform(queue_.handle(slot_finished{ id, true }, now_));
  }

  using end = std::pair<mono_ms, slot_ticket>;
  server_load load_;
  std::mt19937 random_;
  double total_ = 0; ///< Load of all accounts, as a multiple of the usual.
  std::discrete_distribution<std::size_t> rank_; ///< Rank of the account of a request.
  slot_queue queue_;
  std::map<slot_ticket, open_request> open_;
  std::priority_queue<end, std::vector<end>, std::greater<>> ends_;
  slot_ticket next_ = 1;
  mono_ms now_ = 0;
};

/** Runs a load with all seeds and returns the sums over all runs. */
server_simulation
simulate(const server_load& load)
{
  server_simulation sum(load, 0);
  const auto add = [](group_counts& to, const group_counts& from) {
    to.asked += from.asked;
    to.in_time += from.in_time;
    to.refused += from.refused;
    to.refused_late += from.refused_late;
  };
  for (int seed = 1; seed <= SEEDS; ++seed) {
    server_simulation run(load, static_cast<unsigned>(seed));
    run.run();
    add(sum.hot, run.hot);
    add(sum.others, run.others);
    add(sum.uploads, run.uploads);
    add(sum.calls, run.calls);
  }
  return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(account_share_decisions)

BOOST_AUTO_TEST_CASE(band_grows_with_the_use_beyond_the_part_of_the_account)
{
  account_shares shares;
  // Two accounts of equal weight at a server with 10 slots.
  shares.open("quiet", 1, 100, 0);
  BOOST_TEST(shares.band_of("busy", 1, 100, 10, 0) == 0U);
  std::size_t band = 0;
  for (int i = 0; i < 1500; ++i) {
    const std::size_t next = shares.band_of("busy", 1, 100, 10, 0);
    BOOST_TEST(next >= band);
    band = next;
    shares.open("busy", 1, 100, 0);
  }
  // All use is by one of two, so that it is at most twice its part: two bands from half of it, at
  // factors of 1.5, and the next at 2.25.
  BOOST_TEST(band == 4U);
  BOOST_TEST(shares.band_of("quiet", 1, 100, 10, 0) == 0U);
  // Its use counts less and less.
  BOOST_TEST(shares.use_of("busy", 10, 20'000) < 0.1);
}

BOOST_AUTO_TEST_CASE(account_with_a_single_request_is_never_beyond_its_share)
{
  account_shares shares;
  shares.open("other", 1000, 100, 0);
  shares.open("single", 0.001, 100'000, 0);
  shares.close("single", 100'000, 100'000, 0);
  BOOST_TEST(shares.band_of("single", 0.001, 100, 1, 0) == 0U);
}

BOOST_AUTO_TEST_CASE(cancelled_request_is_no_use_of_its_account)
{
  account_shares shares;
  shares.open("a", 1, 500, 0);
  shares.close("a", 500, 0, 100);
  BOOST_TEST(shares.use_of("a", 1, 100) < 0.02);
}

BOOST_AUTO_TEST_CASE(number_of_remembered_accounts_is_bounded)
{
  account_shares shares;
  for (std::size_t i = 0; i < 3 * account_shares::ACCOUNTS_MAX; ++i) {
    const std::string account = "account-" + std::to_string(i);
    const bool is_remembered = shares.open(account, 1, 100, 0);
    BOOST_TEST(is_remembered == (i < account_shares::ACCOUNTS_MAX));
    if (is_remembered) {
      shares.close(account, 100, 100, 0);
    }
  }
  BOOST_TEST(shares.size() == account_shares::ACCOUNTS_MAX);
  // They are forgotten some time after their last request.
  shares.open("late", 1, 100, 30'000);
  BOOST_TEST(shares.size() == 1U);
}

BOOST_AUTO_TEST_CASE(hot_account_is_not_felt_by_the_others)
{
  for (const std::size_t rank : { 0U, 3U, 20U }) {
    const server_simulation usual = simulate({ .hot = rank });
    const server_simulation hot = simulate({ .hot = rank, .hot_factor = 7.5 });
    BOOST_TEST_CONTEXT("rank " << rank << " usual " << usual.others.in_time_fraction() << " hot "
                               << hot.others.in_time_fraction())
    {
      BOOST_TEST(hot.others.in_time_fraction() > usual.others.in_time_fraction() - 0.03);
    }
    // It gets what the others leave free, so that it is not starved either.
    const double all = static_cast<double>(hot.hot.in_time + hot.others.in_time) /
                       (hot.hot.asked + hot.others.asked);
    BOOST_TEST(hot.hot.in_time_fraction() > all / 4);
  }
}

BOOST_AUTO_TEST_CASE(hot_account_is_felt_without_shares)
{
  // Shows that the load of the test above is one that an account can harm
  // others with.
  const server_simulation usual = simulate({ .has_shares = false });
  const server_simulation hot = simulate({ .hot_factor = 7.5, .has_shares = false });
  BOOST_TEST(hot.others.in_time_fraction() < usual.others.in_time_fraction() - 0.2);
}

BOOST_AUTO_TEST_CASE(account_whose_callers_repeat_at_once_is_not_felt_by_the_others)
{
  const server_simulation usual = simulate({ .hot = 1 });
  const server_simulation repeating = simulate({ .hot = 1, .hot_factor = 7.5, .hot_repeats = 3 });
  BOOST_TEST_CONTEXT("usual " << usual.others.in_time_fraction() << " repeating "
                              << repeating.others.in_time_fraction())
  {
    BOOST_TEST(repeating.others.in_time_fraction() > usual.others.in_time_fraction() - 0.03);
  }
}

BOOST_AUTO_TEST_CASE(share_that_nobody_wants_is_used)
{
  // A single account with a small weight may use the whole server.
  server_load load{ .usual = 0.001, .hot = 80 };
  load.hot_factor = 0.9 / (load.usual * usual_part(load.hot));
  const server_simulation alone = simulate(load);
  BOOST_TEST(alone.hot.in_time_fraction() > 0.85);
}

BOOST_AUTO_TEST_CASE(shares_cost_little_in_a_crest_of_all_accounts)
{
  const server_load crest{ .hot = ACCOUNTS, .crest_factor = 2 };
  server_load without = crest;
  without.has_shares = false;
  const double shared = simulate(crest).others.in_time_fraction();
  const double unshared = simulate(without).others.in_time_fraction();
  BOOST_TEST_CONTEXT("with " << shared << " without " << unshared)
  {
    BOOST_TEST(shared > unshared - 0.015);
  }
}

BOOST_AUTO_TEST_CASE(calls_of_running_requests_are_served_behind_a_burst_of_uploads)
{
  server_load load{ .usual = 0, .uploads = 2, .calls_per_s = 20 };
  const server_simulation marked = simulate(load);
  BOOST_TEST(marked.calls.in_time_fraction() > 0.99);
  load.are_calls_marked = false;
  const server_simulation unmarked = simulate(load);
  BOOST_TEST_CONTEXT("marked " << marked.calls.in_time_fraction() << " unmarked "
                               << unmarked.calls.in_time_fraction())
  {
    BOOST_TEST(unmarked.calls.in_time_fraction() < marked.calls.in_time_fraction());
  }
}

BOOST_AUTO_TEST_SUITE_END()
