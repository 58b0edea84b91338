#ifndef LIMPET_TESTS_QUOTA_QUOTA_WORLD_H_
#define LIMPET_TESTS_QUOTA_QUOTA_WORLD_H_

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "limpet/core/random.h"
#include "limpet/quota/quota_bucket.h"
#include "limpet/quota/quota_client.h"

namespace limpet {

/// Nodes that pass requests of one account, in virtual time with steps of 1 ms. Implementations
/// decide which requests pass.
class QuotaScheme {
 public:
  virtual ~QuotaScheme() = default;
  /// Called once per step before the requests of the step.
  virtual void Step(TimePoint now) = 0;
  /// `passed` receives the time at which the request passes, if it does.
  virtual void Request(TimePoint now, int node, std::vector<TimePoint>& passed) = 0;
};

/// Each node has a bucket with an equal share of the limit.
class EqualShares final : public QuotaScheme {
 public:
  EqualShares(AccountLimit limit, int nodes)
      : limit_(limit), levels_(static_cast<std::size_t>(nodes)) {}
  void Step(TimePoint /*now*/) override {
    const auto nodes = static_cast<double>(levels_.size());
    for (double& level : levels_) {
      level = std::min(level + limit_.requests_per_s / nodes / 1000,
                       std::max(1.0, limit_.burst / nodes));
    }
  }
  void Request(TimePoint now, int node, std::vector<TimePoint>& passed) override {
    double& level = levels_[static_cast<std::size_t>(node)];
    if (level >= 1) {
      level -= 1;
      passed.push_back(now);
    }
  }

 private:
  AccountLimit limit_;
  std::vector<double> levels_;
};

/// Each node has a bucket whose share follows the demand of the last second. Nodes know each
/// other's demand one second late, so shares overlap while demand moves.
class FollowingShares final : public QuotaScheme {
 public:
  FollowingShares(AccountLimit limit, int nodes)
      : limit_(limit),
        shares_(static_cast<std::size_t>(nodes), 1.0 / nodes),
        levels_(shares_.size()),
        demand_(shares_.size()) {}
  void Step(TimePoint now) override {
    if (now >= next_update_) {
      next_update_ = now + std::chrono::seconds(1);
      double total = 0;
      for (const double demand : demand_) {
        total += demand + 1;
      }
      for (std::size_t i = 0; i < shares_.size(); ++i) {
        shares_[i] = (demand_[i] + 1) / total;
        demand_[i] = 0;
      }
    }
    for (std::size_t i = 0; i < levels_.size(); ++i) {
      levels_[i] = std::min(levels_[i] + limit_.requests_per_s * shares_[i] / 1000,
                            std::max(1.0, limit_.burst * shares_[i]));
    }
  }
  void Request(TimePoint now, int node, std::vector<TimePoint>& passed) override {
    const auto i = static_cast<std::size_t>(node);
    demand_[i] += 1;
    if (levels_[i] >= 1) {
      levels_[i] -= 1;
      passed.push_back(now);
    }
  }

 private:
  AccountLimit limit_;
  std::vector<double> shares_;
  std::vector<double> levels_;
  std::vector<double> demand_;
  TimePoint next_update_{};
};

/// Tokens from one holder, with the classes of the product. Messages take 1 to 20 ms.
class HolderTokens final : public QuotaScheme {
 public:
  HolderTokens(AccountLimit limit, int nodes, QuotaOptions options, uint64_t seed, TimePoint now)
      : limit_(limit), options_(options), random_(seed) {
    for (int i = 0; i < nodes; ++i) {
      nodes_.push_back({});
      Restart(now - options.window, i);
    }
  }

  /// A node that is cut off exchanges no messages.
  void SetCut(int node, bool cut) { At(node).cut = cut; }
  void Restart(TimePoint now, int node) {
    Node& restarted = At(node);
    restarted.client = std::make_unique<QuotaClient>(
        options_, now, [this](const std::string& /*account*/) { return announced_; });
    restarted.client->set_nodes(static_cast<int>(nodes_.size()));
    restarted.holder = std::make_unique<QuotaHolder>(
        options_,
        [this, node](const std::string& /*account*/) {
          return holder_ == node ? std::optional(held_since_) : std::nullopt;
        },
        [this](const std::string& /*account*/) { return std::optional(limit_); },
        [](const std::string& /*account*/) { return std::nullopt; });
    ++restarted.process;
  }
  /// The lease passes to another node, which decides after the takeover delay.
  void MoveHolder(TimePoint now, int node) {
    holder_ = node;
    held_since_ = now + std::chrono::seconds(1);
    announced_ = std::to_string(node);
  }
  /// No node holds the lease.
  void LoseHolder() { holder_ = -1; }
  void SetLimit(AccountLimit limit) { limit_ = limit; }
  void set_returned_share(double share) { returned_share_ = share; }

  void Step(TimePoint now) override {
    now_ = now;
    std::vector<Message> due;
    std::erase_if(messages_, [&](const Message& message) {
      if (message.due <= now) {
        due.push_back(message);
      }
      return message.due <= now;
    });
    for (const Message& message : due) {
      Deliver(message);
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if ((now.time_since_epoch().count() / 1000) % 5 == 0) {
        Send(static_cast<int>(i));
      }
      Apply(static_cast<int>(i), nodes_[i].client->Expire(now));
    }
  }
  void Request(TimePoint now, int node, std::vector<TimePoint>& passed) override {
    now_ = now;
    passed_ = &passed;
    const int64_t request = next_request_++;
    if (const auto decision = At(node).client->Admit(now, "shop", limit_, request)) {
      Apply(node, {*decision});
    }
  }

 private:
  struct Node {
    std::unique_ptr<QuotaClient> client;
    std::unique_ptr<QuotaHolder> holder;
    bool cut = false;
    int process = 0;
  };
  struct Message {
    TimePoint due{};
    int node = 0;
    int process = 0;
    int holder = 0;
    wire::QuotaRequest request;
    std::optional<wire::QuotaReply> reply;
  };

  Node& At(int node) { return nodes_[static_cast<std::size_t>(node)]; }
  Duration Delay() { return std::chrono::milliseconds(1 + random_.NextBelow(20)); }
  void Send(int i) {
    for (auto& outgoing : At(i).client->TakeRequests(now_)) {
      Message message{now_ + Delay(),
                      i,
                      At(i).process,
                      std::stoi(outgoing.node),
                      std::move(outgoing.request),
                      {}};
      if (!At(i).cut && !At(message.holder).cut) {
        messages_.push_back(std::move(message));
      }
    }
  }
  void Deliver(const Message& message) {
    Node& node = At(message.node);
    Node& holder = At(message.holder);
    if (node.cut || holder.cut || node.process != message.process) {
      return;
    }
    if (message.reply) {
      Apply(message.node,
            node.client->OnReply(now_, std::to_string(message.holder), *message.reply));
      return;
    }
    Message reply = message;
    reply.reply = holder.holder->OnRequest(now_, message.request);
    reply.due = now_ + Delay();
    messages_.push_back(std::move(reply));
  }
  void Apply(int node, const std::vector<QuotaDecision>& decisions) {
    for (const QuotaDecision& decision : decisions) {
      if (decision.verdict != QuotaVerdict::kGranted) {
        continue;
      }
      if (decision.token_until != TimePoint{} && random_.NextFraction() < returned_share_) {
        At(node).client->Return(now_, "shop", decision.token_until);
      } else {
        passed_->push_back(now_);
      }
    }
  }

  AccountLimit limit_;
  QuotaOptions options_;
  Random random_;
  std::vector<Node> nodes_;
  int holder_ = -1;
  TimePoint held_since_{};
  std::string announced_;
  std::vector<Message> messages_;
  std::vector<TimePoint> none_;
  std::vector<TimePoint>* passed_ = &none_;
  TimePoint now_{};
  double returned_share_ = 0;
  int64_t next_request_ = 1;
};

/// Largest number of passes in any window of this length.
inline int MaxInWindow(std::vector<TimePoint> passed, Duration window) {
  std::ranges::sort(passed);
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < passed.size(); ++last) {
    while (passed[last] - passed[first] >= window) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return static_cast<int>(most);
}

}  // namespace limpet

#endif  // LIMPET_TESTS_QUOTA_QUOTA_WORLD_H_
