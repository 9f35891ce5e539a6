// Divides the slots of a backend server between client accounts. The policy is made for an account
// whose callers send several times their usual, or repeat refused requests at once: the requests of
// the other accounts must not wait for them.
#pragma once
#include "connection/connection.h"

#include <unordered_map>

namespace shallotfield {

/** Number of share bands; the first is for requests of accounts that keep to their share. */
inline constexpr std::size_t SHARE_BANDS = 8;

/**
 * The use of one server by each account, and the bands that follow from it.
 *
 * The use of an account is the slot time of its requests, of which those in the past count less and
 * less. Requests that wait or run count with their expected time, so that each further request of a
 * burst adds to the use. The use is compared with the account's part of all use by weight: well
 * within it, a request has band 0, and each growth by half adds one. The band only decides the
 * order, so that slots which other accounts leave free are used. An account with no other open
 * request has band 0.
 */
class account_shares
{
public:
  /** Number of accounts that are remembered; the requests of further ones have band 0. */
  static constexpr std::size_t ACCOUNTS_MAX = 1024;

  /**
   * Returns the band of a further request.
   * @param weight Part of the account relative to the other accounts; above 0.
   * @param expected_ms Expected time of the request on a slot.
   * @param slots Number of slots of the server.
   */
  std::size_t band_of(const std::string& account,
                      double weight,
                      double expected_ms,
                      std::uint32_t slots,
                      mono_ms now) const;

  /** Adds an open request with its expected time on a slot. Returns false, and adds nothing, if
   * there is no room for a further account. */
  bool open(const std::string& account, double weight, double expected_ms, mono_ms now);

  /**
   * Removes an open request.
   * @param expected_ms The time with which it was added.
   * @param used_ms The time that it held a slot; 0 if it had none.
   */
  void close(const std::string& account, double expected_ms, double used_ms, mono_ms now);

  /** Returns the use of an account as a fraction of its part, or 0 if it is not remembered. */
  double use_of(const std::string& account, std::uint32_t slots, mono_ms now) const;

  /** Returns the number of accounts that are remembered. */
  std::size_t size() const { return accounts_.size(); }

private:
  /** The use of one account. */
  struct account_use
  {
    double weight = 1;          ///< Weight at its latest request.
    double used_ms = 0;         ///< Slot time, as it counted at updated_at.
    mono_ms updated_at = 0;     ///< When used_ms was computed.
    std::size_t open_count = 0; ///< Number of requests that wait or run.
  };

  /** Returns slot time as it counts some time later. */
  static double decayed(double used_ms, mono_ms from, mono_ms now);
  /** Returns the slot time that is due to a weight. */
  double due_ms(double weight, std::uint32_t slots, mono_ms now) const;
  /** Adds slot time, which may be negative, to an account and to the total. */
  void add(account_use& use, double slot_ms, mono_ms now);
  /** Removes the accounts without open requests whose use no longer counts. */
  void remove_unused(mono_ms now);

  std::unordered_map<std::string, account_use> accounts_; ///< Use by account.
  double total_weight_ = 0;                               ///< Sum of the weights in accounts_.
  double total_used_ms_ = 0;     ///< Slot time of all accounts, as it counted at total_updated_at_.
  mono_ms total_updated_at_ = 0; ///< When total_used_ms_ was computed.
  mono_ms cleaned_at_ = 0;       ///< When unused accounts were last removed.
};

} // namespace shallotfield
