// A thread with an event loop, to which work is handed by queued messages.
#pragma once
#include <QObject>
#include <QThread>
#include <functional>

namespace shallotfield {

/** Runs functions on a thread of its own, in the order in which they were posted. */
class worker_thread
{
public:
  /** Starts the thread. */
  worker_thread()
  {
    context_.moveToThread(&thread_);
    thread_.start();
  }

  /** Ends the event loop and waits for the thread. */
  ~worker_thread()
  {
    thread_.quit();
    thread_.wait();
  }

  worker_thread(const worker_thread&) = delete;
  worker_thread& operator=(const worker_thread&) = delete;

  /** Hands work to the thread. @param work What to run there. */
  void post(std::function<void()> work)
  {
    QMetaObject::invokeMethod(&context_, std::move(work), Qt::QueuedConnection);
  }

  /** Runs work on the thread and waits for its end. @param work What to run there. */
  void run(const std::function<void()>& work)
  {
    QMetaObject::invokeMethod(&context_, work, Qt::BlockingQueuedConnection);
  }

private:
  QObject context_; ///< Lives on the thread.
  QThread thread_;  ///< The thread.
};

} // namespace shallotfield
