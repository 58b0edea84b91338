#include "net/worker_pool.h"

#include <utility>

namespace limpet {

void WorkerPool::Post(std::function<void()> work) {
  const std::lock_guard lock(mutex_);
  work_.push_back(std::move(work));
  if (idle_ < work_.size() && threads_.size() < max_threads_) {
    threads_.emplace_back([this] { Run(); });
  }
  wake_.notify_one();
}

void WorkerPool::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    wake_.notify_all();
  }
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void WorkerPool::Run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    ++idle_;
    wake_.wait(lock, [this] { return stopping_ || !work_.empty(); });
    --idle_;
    if (work_.empty()) {
      return;
    }
    const std::function<void()> work = std::move(work_.front());
    work_.pop_front();
    lock.unlock();
    work();
    lock.lock();
  }
}

}  // namespace limpet
