// A thread with a Qt event loop that runs functions posted to it.
#pragma once
#include <QObject>
#include <QThread>
#include <functional>

namespace shallotfield {

/** Runs functions on its own thread, in the order in which they were posted. */
class worker_thread
{
public:
  worker_thread()
  {
    context_.moveToThread(&thread_);
    thread_.start();
  }

  /** Stops the event loop and joins the thread. Functions that are still queued may be dropped. */
  ~worker_thread()
  {
    thread_.quit();
    thread_.wait();
  }

  worker_thread(const worker_thread&) = delete;
  worker_thread& operator=(const worker_thread&) = delete;

  /** Queues a function and returns at once. Thread-safe. */
  void post(std::function<void()> work)
  {
    QMetaObject::invokeMethod(&context_, std::move(work), Qt::QueuedConnection);
  }

  /** Runs a function and waits until it has returned. Deadlocks if called on the thread itself. */
  void run_and_wait(const std::function<void()>& work)
  {
    QMetaObject::invokeMethod(&context_, work, Qt::BlockingQueuedConnection);
  }

private:
  QObject context_; ///< Receiver of the queued functions; lives on the thread.
  QThread thread_;  ///< Runs the event loop.
};

} // namespace shallotfield
