// Implements the detection and rejection of requests that crash servers.
#include "crash_policy.h"

#include <QCryptographicHash>
#include <QtEndian>
#include <boost/functional/hash.hpp>

namespace shallotfield {

/** Time for which a request is rejected once REJECTED_FROM_CRASHES crashes speak against it. */
static constexpr mono_ms REJECTION_MS = 600'000;

/** Time from the loss of a connection in which the crash of the server must show. */
static constexpr mono_ms LOST_SUSPECT_MS = 3000;

/** The same for requests that the proxy itself broke off. A server that crashes on a request does
 * so soon, whether or not somebody still waits for it. */
static constexpr mono_ms ABANDONED_SUSPECT_MS = 300;

/** Number of requests that are suspected at the same time. */
static constexpr std::size_t SUSPECTS_MAX = 64;

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
  return { digest_texts({ request.method, request.target, request.body }),
           digest_texts({ request.method, request.target, request.body, request.caller_service }) };
}

/** Returns what is known of the digest of a request with more crashes. */
static crash_suspect
find_suspect(const crash_view& suspects, const request_digests& request)
{
  crash_suspect result;
  for (const request_digest& digest : { request.any_caller, request.exact }) {
    const auto found = suspects.find(digest);
    if (found != suspects.end() && found->second.crashes > result.crashes) {
      result = found->second;
    }
  }
  return result;
}

std::size_t
count_crashes(const crash_view& suspects, const request_digests& request)
{
  return find_suspect(suspects, request).crashes;
}

std::int64_t
rejection_ms(const crash_view& suspects, const request_digests& request, mono_ms now)
{
  const crash_suspect suspect = find_suspect(suspects, request);
  if (suspect.crashes < REJECTED_FROM_CRASHES) {
    return 0;
  }
  const mono_ms until =
    suspect.last_crash_at + (REJECTION_MS << (suspect.crashes - REJECTED_FROM_CRASHES));
  return std::max<mono_ms>(until - now, 0);
}

bool
may_retry_suspect(const crash_view& suspects, const request_digests& request)
{
  return count_crashes(suspects, request) + 1 < REJECTED_FROM_CRASHES;
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
  boost::hash_combine(key, hash(request.method));
  boost::hash_combine(key, hash(request.target));
  boost::hash_combine(key, hash(request.body));
  std::size_t exact = key;
  boost::hash_combine(exact, hash(request.caller_service));
  return { key, exact };
}

void
crash_detector::add_suspect(const request_identity& request, mono_ms until)
{
  if (is_leaving_) {
    return;
  }
  const survival_keys keys = survival_keys_of(request);
  suspects_.push_back({ digest_request(request), keys.any_caller, keys.exact, until });
  if (suspects_.size() > SUSPECTS_MAX) {
    suspects_.pop_front();
  }
}

void
crash_detector::report(std::vector<crash_effect>& effects, mono_ms now)
{
  report_crash crash;
  const auto add = [&](const request_digest& digest, std::uint64_t key) {
    if (!survivals_.has_survived(key, now)) {
      crash.requests.push_back(digest);
    }
  };
  for (const suspect& item : suspects_) {
    if (now <= item.until) {
      add(item.digests.any_caller, item.any_caller_key);
      add(item.digests.exact, item.exact_key);
    }
  }
  suspects_.clear();
  if (crash.requests.empty()) {
    return;
  }
  // All connections end at the same crash, but not all at the same moment.
  if (crash_ == 0) {
    std::uniform_int_distribution<std::uint64_t> draw(1, UINT64_MAX);
    crash_ = draw(random_);
  }
  crash.crash = crash_;
  effects.emplace_back(std::move(crash));
}

std::vector<crash_effect>
crash_detector::handle(const crash_event& event, const crash_view& suspects, mono_ms now)
{
  std::vector<crash_effect> effects;
  std::visit(
    overloaded{
      [&](const request_survived& item) {
        crash_ = 0;
        const survival_keys keys = survival_keys_of(item.request);
        survivals_.record(keys.any_caller, now);
        survivals_.record(keys.exact, now);
        if (suspects.empty()) {
          return;
        }
        const request_digests digests = digest_request(item.request);
        for (const request_digest& digest : { digests.any_caller, digests.exact }) {
          if (suspects.contains(digest)) {
            effects.emplace_back(acquit_request{ digest });
          }
        }
      },
      [&](const request_lost& item) {
        add_suspect(item.request, now + LOST_SUSPECT_MS);
        if (!is_leaving_) {
          effects.emplace_back(probe_server_port{});
        }
      },
      [&](const request_abandoned& item) { add_suspect(item.request, now + ABANDONED_SUSPECT_MS); },
      [&](const connection_failed&) {
        if (!suspects_.empty()) {
          effects.emplace_back(probe_server_port{});
        }
      },
      [&](const server_port_closed&) { report(effects, now); },
      [&](const server_started& item) {
        if (item.is_new_incarnation) {
          report(effects, now);
        }
        crash_ = 0;
        is_leaving_ = false;
      },
      [&](const server_leaving&) {
        is_leaving_ = true;
        suspects_.clear();
      },
    },
    event);
  return effects;
}

} // namespace shallotfield
