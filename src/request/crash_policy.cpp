// Implements the detection and rejection of requests that crash servers.
#include "crash_policy.h"

#include <QCryptographicHash>
#include <QtEndian>
#include <boost/functional/hash.hpp>

namespace shallotfield {

/** Time from the latest crash, or from the end of a trial, until the next trial, by the number of
 * failed trials or of late crashes. */
static constexpr std::array<mono_ms, FAILED_TRIALS_MAX> TRIAL_PAUSES_MS = { 1000, 30'000, 600'000 };

/** Number of trials with a crash from which on the next one waits even if other servers crashed
 * too. A server is lost at each of them if the request does crash servers. */
static constexpr std::size_t QUICK_TRIALS_MAX = 6;
static constexpr mono_ms SLOW_TRIAL_PAUSE_MS = 60'000;

/** Time after which a trial whose end is unknown counts as failed. */
static constexpr mono_ms TRIAL_MAX_MS = 10'000;

/** Retry-after time while a trial is under way. */
static constexpr std::int64_t OPEN_TRIAL_RETRY_MS = 1000;

/** Servers that are back within this time of each other crashed together. */
static constexpr mono_ms TOGETHER_MS = 500;

/** Number of other servers, and divisor of all of them, from which on a crash was one of many. */
static constexpr std::size_t MANY_SERVERS_MIN = 2;
static constexpr std::size_t MANY_SERVERS_DIVISOR = 2;

/** Time from the loss of a connection in which a crash is ascribed to its request in any case. */
static constexpr mono_ms LOST_SUSPECT_MS = 3000;

/** The same for requests that the proxy itself broke off. A server that crashes on a request does
 * so soon, whether or not somebody still waits for it. */
static constexpr mono_ms ABANDONED_SUSPECT_MS = 300;

/** The same for both if the server has answered nothing since. */
static constexpr mono_ms SILENT_SUSPECT_MS = 30'000;

/** Number of requests that are suspected at the same time. */
static constexpr std::size_t LOST_MAX = 64;

/** Time for which the completion of a request shows that it doesn't crash servers. */
static constexpr mono_ms SURVIVAL_MS = 10'000;

/** Returns the digest of several texts, which is the same on all machines. */
static request_digest
digest_texts(std::initializer_list<std::string_view> texts)
{
  QCryptographicHash hash(QCryptographicHash::Blake2b_160);
  for (const std::string_view text : texts) {
    // The length keeps the borders between the texts.
    const auto length = qToBigEndian(static_cast<quint64>(text.size()));
    hash.addData(QByteArrayView(reinterpret_cast<const char*>(&length), sizeof length));
    hash.addData(QByteArrayView(text.data(), static_cast<qsizetype>(text.size())));
  }
  const QByteArray bytes = hash.result();
  return { qFromBigEndian<quint64>(bytes.constData()),
           qFromBigEndian<quint64>(bytes.constData() + sizeof(quint64)) };
}

request_digests
digest_request(const request_identity& request)
{
  const std::string host = normalise_host(request.host);
  return { digest_texts({ request.method, host, request.target, request.body }),
           digest_texts({ request.method,
                          host,
                          request.target,
                          request.body,
                          request.caller_service,
                          request.service }) };
}

namespace {

/** What is known of a request by one of its digests. */
struct found_suspect
{
  request_digest request;
  crash_suspect known;
};

} // namespace

/** Returns what is known of the digest of a request with more crashes. */
static found_suspect
find_suspect(const crash_view& suspects, const request_digests& request)
{
  found_suspect result;
  for (const request_digest& digest : { request.any_caller, request.exact }) {
    const auto found = suspects.find(digest);
    if (found != suspects.end() && found->second.crashes > result.known.crashes) {
      result = { digest, found->second };
    }
  }
  return result;
}

std::size_t
count_crashes(const crash_view& suspects, const request_digests& request)
{
  return find_suspect(suspects, request).known.crashes;
}

/** Returns the time of the next trial, or no value if there is none. */
static std::optional<mono_ms>
next_trial_at(const crash_suspect& suspect)
{
  const bool is_open = suspect.open_trial_at != 0;
  // A trial that told nothing reached a server all the same, so only the first one is free.
  const std::size_t failed =
    std::max(suspect.failed_trials + (is_open ? 1 : 0), suspect.late_crashes) +
    (suspect.ended_trials > 1 ? suspect.ended_trials - 1 : 0);
  if (failed >= FAILED_TRIALS_MAX) {
    return std::nullopt;
  }
  const mono_ms pause = suspect.crashed_trials >= QUICK_TRIALS_MAX
                          ? std::max(TRIAL_PAUSES_MS.at(failed), SLOW_TRIAL_PAUSE_MS)
                          : TRIAL_PAUSES_MS.at(failed);
  return pause + (is_open ? suspect.open_trial_at + TRIAL_MAX_MS : suspect.last_crash_at);
}

suspect_decision
decide_suspect(const crash_view& suspects, const request_digests& request, mono_ms now)
{
  const auto [digest, known] = find_suspect(suspects, request);
  if (known.crashes < REJECTED_FROM_CRASHES) {
    return suspect_may_run{};
  }
  const std::optional<mono_ms> trial_at = next_trial_at(known);
  if (!trial_at) {
    return suspect_rejected{ TRIAL_PAUSES_MS.back() };
  }
  if (now >= *trial_at) {
    return suspect_trial_due{ digest, known.latest_trial };
  }
  const bool is_under_way = known.open_trial_at != 0 && now < known.open_trial_at + TRIAL_MAX_MS;
  return suspect_rejected{ is_under_way ? std::min(OPEN_TRIAL_RETRY_MS, *trial_at - now)
                                        : *trial_at - now };
}

std::int64_t
rejection_ms(const crash_view& suspects, const request_digests& request, mono_ms now)
{
  const suspect_decision decision = decide_suspect(suspects, request, now);
  const auto* rejected = std::get_if<suspect_rejected>(&decision);
  return rejected == nullptr ? 0 : rejected->retry_after_ms;
}

bool
may_retry_suspect(const crash_view& suspects, const request_digests& request)
{
  return count_crashes(suspects, request) + 1 < REJECTED_FROM_CRASHES;
}

std::vector<crash_record>
make_crash_records(const report_crash& report)
{
  std::vector<crash_record> records;
  for (const crash_suspicion& item : report.requests) {
    records.push_back(
      { item.request,
        report.crash,
        item.lost_at,
        item.is_on_trial ? crash_finding::suspected_on_trial : crash_finding::suspected });
  }
  return records;
}

crash_record
make_trial_record(const report_trial& report)
{
  return { report.request,
           report.trial,
           report.began_at,
           report.has_ended ? crash_finding::trial_ended : crash_finding::trial_open };
}

crash_record
make_withdrawal_record(const withdraw_crash& withdrawal)
{
  return { withdrawal.request, withdrawal.crash, withdrawal.lost_at, crash_finding::acquitted };
}

void
survival_memory::record(std::uint64_t key, mono_ms now)
{
  slots_[key % SLOTS] = { key, now };
}

bool
survival_memory::has_survived(std::uint64_t key, mono_ms now) const
{
  const slot& item = slots_[key % SLOTS];
  return item.key == key && item.at != 0 && now - item.at <= SURVIVAL_MS;
}

void
survival_memory::forget(std::uint64_t key)
{
  slot& item = slots_[key % SLOTS];
  if (item.key == key) {
    item = {};
  }
}

namespace {

/** The keys of a request in the survival memory, which need not be the same on other machines. */
struct survival_keys
{
  std::uint64_t any_caller = 0;
  std::uint64_t exact = 0;
};

} // namespace

static survival_keys
survival_keys_of(const request_identity& request)
{
  const std::hash<std::string_view> hash;
  std::size_t key = 0;
  for (const std::string_view text :
       { request.method, request.host, request.target, request.body }) {
    boost::hash_combine(key, hash(text));
  }
  std::size_t exact = key;
  boost::hash_combine(exact, hash(request.caller_service));
  boost::hash_combine(exact, hash(request.service));
  return { key, exact };
}

std::uint64_t
crash_detector::draw_id()
{
  std::uniform_int_distribution<std::uint64_t> draw(1, UINT64_MAX);
  return draw(random_);
}

void
crash_detector::on(const request_queued& event, const crash_view& suspects, mono_ms now)
{
  if (trial_ && trial_->ticket == event.ticket) {
    return;
  }
  const suspect_decision decision = decide_suspect(suspects, digest_request(event.request), now);
  std::visit(overloaded{
               [](const suspect_may_run&) {},
               [&](const suspect_rejected& item) {
                 effects_.emplace_back(reject_suspect{ event.ticket, item.retry_after_ms });
               },
               [&](const suspect_trial_due& item) {
                 const bool is_occupied = trial_ && now - trial_->queued_at < TRIAL_MAX_MS;
                 if (!event.is_trial_server || is_occupied) {
                   effects_.emplace_back(reject_suspect{ event.ticket, OPEN_TRIAL_RETRY_MS });
                   return;
                 }
                 trial_ = trial{ event.ticket, item.request, now };
               },
             },
             decision);
}

void
crash_detector::on(const request_survived& event, const crash_view& suspects, mono_ms now)
{
  end_crash();
  last_alive_at_ = std::max(last_alive_at_, event.started_at);
  const bool is_on_trial = trial_ && trial_->ticket == event.ticket;
  withdraw_losses(event.started_at);
  if (is_on_trial) {
    end_trial();
  }
  if (!event.has_succeeded) {
    return;
  }
  const survival_keys keys = survival_keys_of(event.request);
  survivals_.record(keys.any_caller, now);
  survivals_.record(keys.exact, now);
  if (suspects.empty()) {
    return;
  }
  const request_digests digests = digest_request(event.request);
  for (const request_digest& digest : { digests.any_caller, digests.exact }) {
    if (suspects.contains(digest)) {
      effects_.emplace_back(acquit_request{ digest });
    }
  }
}

void
crash_detector::add_lost(const request_lost& event, mono_ms suspected_ms, mono_ms now)
{
  const survival_keys keys = survival_keys_of(event.request);
  lost_.push_back({ digest_request(event.request),
                    keys.any_caller,
                    keys.exact,
                    event.started_at == 0 ? 0 : now - event.started_at,
                    trial_ && event.ticket != 0 && trial_->ticket == event.ticket,
                    false,
                    now,
                    now + suspected_ms });
  if (lost_.size() > LOST_MAX) {
    lost_.pop_front();
  }
}

void
crash_detector::report_loss(const crash_view& suspects, mono_ms now)
{
  lost_request& item = lost_.back();
  report_crash loss;
  loss.proof = crash_proof::lost_suspect;
  const auto add = [&](const request_digest& digest, std::uint64_t key) {
    if (suspects.contains(digest) && !cleared_.contains(key) &&
        !survivals_.has_survived(key, now)) {
      loss.requests.push_back({ digest, item.is_on_trial, item.at_work_ms, item.lost_at });
    }
  };
  add(item.digests.any_caller, item.any_caller_key);
  add(item.digests.exact, item.exact_key);
  if (loss.requests.empty()) {
    return;
  }
  // As long as nothing shows that the server runs, all losses may be due to the same crash.
  if (loss_ == 0) {
    loss_ = crash_ != 0 ? crash_ : draw_id();
  }
  loss.crash = loss_;
  item.is_reported = true;
  effects_.emplace_back(std::move(loss));
}

void
crash_detector::withdraw_losses(mono_ms alive_at)
{
  bool has_trial_ended = false;
  bool is_open = false;
  for (lost_request& item : lost_) {
    if (item.lost_at >= alive_at) {
      is_open = is_open || item.is_reported;
      continue;
    }
    has_trial_ended = has_trial_ended || item.is_on_trial;
    if (item.is_reported) {
      item.is_reported = false;
      effects_.emplace_back(withdraw_crash{ item.digests.any_caller, loss_, item.lost_at });
      effects_.emplace_back(withdraw_crash{ item.digests.exact, loss_, item.lost_at });
    }
  }
  if (!is_open) {
    loss_ = 0;
  }
  if (has_trial_ended) {
    end_trial();
  }
}

void
crash_detector::end_trial()
{
  if (!trial_) {
    return;
  }
  if (trial_->id != 0) {
    effects_.emplace_back(report_trial{ trial_->request, trial_->id, trial_->began_at, true });
  }
  for (lost_request& item : lost_) {
    item.is_on_trial = false;
  }
  trial_.reset();
}

void
crash_detector::end_crash()
{
  crash_ = 0;
  // A request that was completed before this crash is not cleared of the next one by that.
  for (const std::uint64_t key : cleared_) {
    survivals_.forget(key);
  }
  cleared_.clear();
}

void
crash_detector::report(crash_proof proof, mono_ms now)
{
  report_crash crash;
  crash.proof = proof;
  const auto add = [&](const request_digest& digest, std::uint64_t key, const lost_request& item) {
    if (cleared_.contains(key) || survivals_.has_survived(key, now)) {
      cleared_.insert(key);
      ++crash.cleared;
    } else {
      crash.requests.push_back({ digest, item.is_on_trial, item.at_work_ms, item.lost_at });
    }
  };
  for (const lost_request& item : lost_) {
    const bool is_silent_since =
      last_alive_at_ <= item.lost_at && now <= item.lost_at + SILENT_SUSPECT_MS;
    if (now <= item.until || is_silent_since) {
      add(item.digests.any_caller, item.any_caller_key, item);
      add(item.digests.exact, item.exact_key, item);
    }
  }
  const bool has_trial_crashed =
    std::any_of(lost_.begin(), lost_.end(), [](const auto& item) { return item.is_on_trial; });
  lost_.clear();
  if (has_trial_crashed) {
    trial_.reset();
  }
  if (crash.requests.empty() && crash.cleared == 0) {
    return;
  }
  // All connections end at the same crash, but not all at the same moment.
  if (crash_ == 0) {
    crash_ = loss_ != 0 ? loss_ : draw_id();
  }
  loss_ = 0;
  crash.crash = crash_;
  effects_.emplace_back(std::move(crash));
}

std::vector<crash_effect>
crash_detector::handle(const crash_event& event, const crash_view& suspects, mono_ms now)
{
  effects_.clear();
  std::visit(
    overloaded{
      [&](const request_queued& item) { on(item, suspects, now); },
      [&](const request_sent& item) {
        if (trial_ && trial_->ticket == item.ticket) {
          trial_->id = draw_id();
          trial_->began_at = now;
          effects_.emplace_back(report_trial{ trial_->request, trial_->id, now, false });
        }
      },
      [&](const request_survived& item) { on(item, suspects, now); },
      [&](const request_lost& item) {
        if (!is_leaving_) {
          add_lost(item, LOST_SUSPECT_MS, now);
          report_loss(suspects, now);
          effects_.emplace_back(probe_server_port{});
        }
      },
      [&](const request_abandoned& item) {
        if (!is_leaving_) {
          add_lost({ item.request, item.ticket, item.started_at }, ABANDONED_SUSPECT_MS, now);
          report_loss(suspects, now);
        }
      },
      [&](const request_inconclusive& item) {
        if (trial_ && trial_->ticket == item.ticket) {
          end_trial();
        }
      },
      [&](const connection_failed&) {
        if (!lost_.empty()) {
          effects_.emplace_back(probe_server_port{});
        }
      },
      [&](const server_port_closed&) {
        if (!is_leaving_) {
          report(crash_proof::port_closed, now);
        }
      },
      [&](const server_silent&) {
        if (!is_leaving_) {
          report(crash_proof::silence, now);
        }
      },
      [&](const server_started& item) {
        if (item.is_new_incarnation && !is_leaving_) {
          report(crash_proof::new_incarnation, now);
        }
        end_crash();
        is_leaving_ = false;
      },
      [&](const server_leaving&) {
        is_leaving_ = true;
        lost_.clear();
        end_trial();
      },
    },
    event);
  return std::move(effects_);
}

std::vector<crash_record>
trial_review::handle(const review_event& event, mono_ms now)
{
  std::vector<crash_record> changed;
  std::visit(
    overloaded{
      [&](const trial_crashed& item) {
        records_ = item.records;
        back_at_ = 0;
      },
      [&](const server_replaced& item) {
        if (item.is_local) {
          back_at_ = now;
        } else {
          replaced_at_[item.node] = now;
        }
      },
      [&](const review_tick& item) {
        std::erase_if(replaced_at_, [now](const auto& replaced) {
          return now - replaced.second > 2 * TOGETHER_MS;
        });
        if (records_.empty() || back_at_ == 0 || now - back_at_ < TOGETHER_MS) {
          return;
        }
        const auto together = static_cast<std::size_t>(
          std::count_if(replaced_at_.begin(), replaced_at_.end(), [this](const auto& replaced) {
            return std::abs(replaced.second - back_at_) <= TOGETHER_MS;
          }));
        if (together >= MANY_SERVERS_MIN && together * MANY_SERVERS_DIVISOR >= item.other_servers) {
          changed = records_;
          for (crash_record& record : changed) {
            record.finding = crash_finding::suspected_together;
          }
        }
        records_.clear();
      },
    },
    event);
  return changed;
}

} // namespace shallotfield
