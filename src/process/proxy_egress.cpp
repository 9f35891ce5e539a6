// The traffic thread of a proxy: messages to other proxies, and the pacing of responses to
// downloads.
#include "proxy_traffic_base.h"

namespace shallotfield {

void
proxy_traffic::send_to_session(session_id id, const traffic_message& message)
{
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) {
    return;
  }
  peer_session& session = found->second;
  if (session.sent_bytes == 0) {
    session.stream->send(message);
    return;
  }
  // Part of a frame was sent, so the message follows it, ahead of the frames that are paced.
  const auto position = std::find_if(session.held_frames.begin() + 1,
                                     session.held_frames.end(),
                                     [](const held_frame& item) { return item.is_paced; });
  session.held_frames.insert(position, { 0, encode_traffic_parts(message), false });
}

void
proxy_traffic::send_bulk_to_session(session_id id, const call_full_response& message)
{
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) {
    return;
  }
  encoded_traffic bytes = encode_traffic_parts(message);
  bulk_pacer_.add(id, bytes.size());
  found->second.held_frames.push_back({ message.id, std::move(bytes), true });
  if (!is_bulk_scheduled_) {
    send_due_bulk();
  }
}

void
proxy_traffic::drop_held_response(session_id id, call_id call)
{
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) {
    return;
  }
  peer_session& session = found->second;
  const auto is_dropped = [call](const held_frame& item) {
    return item.is_paced && item.call == call;
  };
  const auto frame =
    std::find_if(session.held_frames.begin(), session.held_frames.end(), is_dropped);
  const bool was_begun = frame == session.held_frames.begin() && session.sent_bytes > 0;
  if (frame != session.held_frames.end() && !was_begun) {
    bulk_pacer_.cancel(id, frame->bytes.size());
    session.held_frames.erase(frame);
  }
}

void
proxy_traffic::send_due_bulk()
{
  is_bulk_scheduled_ = false;
  const mono_ms now = read_clocks().mono;
  for (const paced_piece& piece : bulk_pacer_.take(now)) {
    const auto found = sessions_.find(piece.connection);
    if (found != sessions_.end()) {
      advance_held_frames(found->second, piece.bytes);
    }
  }
  if (bulk_pacer_.has_waiting()) {
    is_bulk_scheduled_ = true;
    timers_.schedule(bulk_pacer_.delay_ms(now), [this] { send_due_bulk(); });
  }
}

void
proxy_traffic::advance_held_frames(peer_session& session, std::size_t bytes)
{
  while (bytes > 0 && !session.held_frames.empty()) {
    const encoded_traffic& frame = session.held_frames.front().bytes;
    const std::size_t count = std::min(bytes, frame.size() - session.sent_bytes);
    const std::string_view front =
      std::string_view(frame.front).substr(std::min(session.sent_bytes, frame.front.size()), count);
    session.stream->send_part(front);
    const std::size_t body_at =
      std::max(session.sent_bytes, frame.front.size()) - frame.front.size();
    session.stream->send_part(frame.payload.view().substr(body_at, count - front.size()));
    session.sent_bytes += count;
    bytes -= count;
    if (session.sent_bytes < frame.size()) {
      return;
    }
    session.held_frames.pop_front();
    session.sent_bytes = 0;
    while (!session.held_frames.empty() && !session.held_frames.front().is_paced) {
      session.stream->send_frame(session.held_frames.front().bytes);
      session.held_frames.pop_front();
    }
  }
}

load_report
proxy_traffic::current_load() const
{
  load_report report = slots_.report();
  report.bulk_wait_ms =
    static_cast<std::uint32_t>(std::min<std::int64_t>(bulk_pacer_.backlog_ms(), UINT32_MAX));
  return report;
}

} // namespace shallotfield
