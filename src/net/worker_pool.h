#ifndef LIMPET_SRC_NET_WORKER_POOL_H_
#define LIMPET_SRC_NET_WORKER_POOL_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace limpet {

/// Thread pool for blocking work. A thread is started only when all others are busy and the limit
/// is not reached; otherwise work waits in a queue.
class WorkerPool {
 public:
  explicit WorkerPool(int max_threads) : max_threads_(static_cast<std::size_t>(max_threads)) {}
  ~WorkerPool() { Stop(); }
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  void Post(std::function<void()> work);
  /// Finishes all queued work and joins the threads.
  void Stop();

 private:
  void Run();

  const std::size_t max_threads_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> work_;
  std::vector<std::thread> threads_;
  std::size_t idle_ = 0;
  bool stopping_ = false;
};

}  // namespace limpet

#endif  // LIMPET_SRC_NET_WORKER_POOL_H_
