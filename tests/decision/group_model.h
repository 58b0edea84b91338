#ifndef LIMPET_TESTS_DECISION_GROUP_MODEL_H_
#define LIMPET_TESTS_DECISION_GROUP_MODEL_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "limpet/decision/decision_lease.h"

namespace limpet {

/// A consumer group of the store. A partition passes to another member when its member joined with
/// a generation in which it was not listed any more, left, or sent nothing for the TTL, and at any
/// time when the store reassigns all of them.
class GroupModel {
 public:
  explicit GroupModel(int partitions, std::optional<int64_t> epoch = std::nullopt)
      : epoch_(epoch), partitions_(static_cast<std::size_t>(partitions)) {}

  GroupAssignment Join(TimePoint now, const GroupJoin& join) {
    RemoveSilent(now);
    const bool is_new = !members_.contains(join.member);
    members_[join.member] = {now, join.ttl};
    if (is_new) {
      Rebalance();
    }
    GroupAssignment assignment{generation_, join.ttl, {}, epoch_};
    for (std::size_t i = 0; i < partitions_.size(); ++i) {
      Partition& partition = partitions_[i];
      if (partition.owner == join.member && partition.next != join.member &&
          join.generation >= partition.moved_in) {
        partition.owner.clear();
      }
      if (partition.next == join.member && partition.owner.empty()) {
        partition.owner = join.member;
      }
      if (partition.next == join.member && partition.owner == join.member) {
        assignment.partitions.push_back(static_cast<int>(i));
      }
    }
    return assignment;
  }
  void Leave(TimePoint now, const std::string& member) {
    RemoveSilent(now);
    if (Remove(member)) {
      Rebalance();
    }
  }
  /// Moves every partition to the next member.
  void RotateAll() {
    ++rotation_;
    Rebalance();
  }
  /// Moves partitions to other members at once, without waiting for any request. With `exchange`,
  /// pairs of partitions exchange their members, so that two members get one from each other.
  void ReassignAll(bool exchange = false) {
    if (members_.empty()) {
      return;
    }
    ++generation_;
    std::vector<std::string> names;
    for (const auto& [name, member] : members_) {
      names.push_back(name);
    }
    std::vector<std::string> next;
    for (std::size_t i = 0; i < partitions_.size(); ++i) {
      const auto found = std::ranges::find(names, partitions_[i].next);
      const auto at = static_cast<std::size_t>(found - names.begin()) % names.size();
      next.push_back(exchange ? partitions_[partitions_.size() - 1 - i].next
                              : names[(at + 1) % names.size()]);
    }
    for (std::size_t i = 0; i < partitions_.size(); ++i) {
      partitions_[i] = {next[i], next[i], generation_};
    }
  }
  int64_t generation() const { return generation_; }
  /// Continues in the state of an earlier copy, in a new epoch if the store has epochs.
  void RestoreFrom(const GroupModel& copy) {
    const auto epoch = epoch_;
    *this = copy;
    if (epoch) {
      epoch_ = *epoch + 1;
    }
  }

 private:
  struct Member {
    TimePoint seen_at{};
    Duration ttl{0};
  };
  struct Partition {
    std::string owner;
    std::string next;
    int64_t moved_in = 0;
  };

  bool Remove(const std::string& member) {
    for (Partition& partition : partitions_) {
      if (partition.owner == member) {
        partition.owner.clear();
      }
    }
    return members_.erase(member) > 0;
  }
  void RemoveSilent(TimePoint now) {
    std::vector<std::string> silent;
    for (const auto& [name, member] : members_) {
      if (now >= member.seen_at + member.ttl) {
        silent.push_back(name);
      }
    }
    for (const std::string& name : silent) {
      Remove(name);
    }
    if (!silent.empty()) {
      Rebalance();
    }
  }
  void Rebalance() {
    ++generation_;
    std::vector<std::string> names;
    for (const auto& [name, member] : members_) {
      names.push_back(name);
    }
    for (std::size_t i = 0; i < partitions_.size(); ++i) {
      const std::string next = names.empty() ? "" : names[(i + rotation_) % names.size()];
      if (next != partitions_[i].next) {
        partitions_[i].next = next;
        partitions_[i].moved_in = generation_;
      }
    }
  }

  std::optional<int64_t> epoch_;
  int64_t generation_ = 0;
  std::size_t rotation_ = 0;
  std::map<std::string, Member> members_;
  std::vector<Partition> partitions_;
};

}  // namespace limpet

#endif  // LIMPET_TESTS_DECISION_GROUP_MODEL_H_
