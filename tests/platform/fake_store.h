#ifndef LIMPET_TESTS_PLATFORM_FAKE_STORE_H_
#define LIMPET_TESTS_PLATFORM_FAKE_STORE_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "decision/group_model.h"
#include "edge/loop_thread.h"
#include "limpet/net/clock.h"
#include "net/base64.h"
#include "net/loopback.h"

namespace limpet::platform {

/// In-memory server with the API of the platform's store for keyed topics. Reads wait for the next
/// record for as long as they ask for.
class FakeStore {
 public:
  explicit FakeStore(edge::LoopThread& loop)
      : loop_(loop),
        server_(loop, {"127.0.0.1", FreePort()}, [this](const edge::HttpSessionPtr& s) {
          Serve(s);
        }) {}

  PeerAddress address() const { return {"127.0.0.1", server_.port()}; }
  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    loop_.Run([&] { Append(topic, key, value); });
  }
  /// Returns the newest value of a key; empty if there is none.
  std::string Newest(const std::string& topic, const std::string& key) {
    return loop_.Run([&] {
      std::string value;
      for (const Record& record : topics_[topic]) {
        value = record.key == key ? record.value : value;
      }
      return value;
    });
  }
  /// While `down` is true, all calls get 503.
  void SetDown(bool down) {
    loop_.Run([&] { down_ = down; });
  }
  /// While `silent` is true, responses are lost. A connection on which a response was lost stays
  /// open and returns nothing further.
  void SetSilent(bool silent) {
    loop_.Run([&] { silent_ = silent; });
  }
  /// Loses the responses of all open connections, also of those that have no pending call.
  void SilenceConnections() {
    loop_.Run([&] {
      silenced_.insert(sessions_.begin(), sessions_.end());
      waiting_reads_.clear();
    });
  }
  /// The store restores a copy of itself without its last `lost` records: it closes all waiting
  /// reads without records and begins the next epoch. Requires `SetEpoch`.
  void Restore(const std::string& topic, std::size_t lost) {
    loop_.Run([&] {
      auto& records = topics_[topic];
      records.resize(records.size() - std::min(lost, records.size()));
      epoch_ = epoch_.value_or(0) + 1;
      for (const WaitingRead& waiting : std::exchange(waiting_reads_, {})) {
        SendRecords(waiting);
      }
    });
  }
  /// All responses have the header with the epoch from now on.
  void SetEpoch(int epoch) {
    loop_.Run([&] { epoch_ = epoch; });
  }
  int calls(const std::string& path) {
    return loop_.Run([&] { return calls_[path]; });
  }

 private:
  struct Record {
    std::string key;
    std::string value;
  };
  struct WaitingRead {
    edge::HttpSessionPtr session;
    std::string topic;
    std::size_t from = 0;
    std::shared_ptr<edge::Timer> timer;
  };

  static std::string EncodeNumber(std::size_t value, int width) {
    std::string bytes;
    for (int shift = 8 * (width - 1); shift >= 0; shift -= 8) {
      bytes.push_back(static_cast<char>((value >> shift) & 0xff));
    }
    return bytes;
  }
  static std::string FindParameter(const std::string& query, const std::string& name) {
    const std::size_t start = ("&" + query).find("&" + name + "=");
    if (start == std::string::npos) {
      return "";
    }
    const std::string rest = query.substr(start + name.size() + 1);
    return rest.substr(0, rest.find('&'));
  }
  void Append(const std::string& topic, const std::string& key, const std::string& value) {
    topics_[topic].push_back({key, value});
    for (const WaitingRead& waiting : std::exchange(waiting_reads_, {})) {
      RespondToRead(waiting);
    }
  }
  /// Appends the records of the body of an append.
  void AppendRecords(const std::string& topic, std::string_view body) {
    while (!body.empty()) {
      std::size_t size = 0;
      for (int i = 0; i < 4; ++i) {
        size = size << 8 | static_cast<unsigned char>(body.at(static_cast<std::size_t>(i)));
      }
      const std::string record(body.substr(4, size));
      body.remove_prefix(4 + size);
      const auto key_size = static_cast<unsigned char>(record.at(0));
      Append(topic, record.substr(1, key_size), record.substr(1 + key_size));
    }
  }
  void StartRead(WaitingRead read, std::chrono::milliseconds wait) {
    read.timer = std::make_shared<edge::Timer>(loop_.executor(), wait);
    read.timer->async_wait([this, session = read.session](edge::ErrorCode error) {
      const auto found = std::ranges::find(waiting_reads_, session, &WaitingRead::session);
      if (!error && found != waiting_reads_.end()) {
        const WaitingRead expired = *found;
        waiting_reads_.erase(found);
        SendRecords(expired);
      }
    });
    RespondToRead(read);
  }
  void RespondToRead(const WaitingRead& waiting) {
    if (waiting.from >= topics_[waiting.topic].size()) {
      waiting_reads_.push_back(waiting);
    } else {
      SendRecords(waiting);
    }
  }
  void SendRecords(const WaitingRead& waiting) {
    waiting.timer->cancel();
    const auto& records = topics_[waiting.topic];
    std::string bytes = EncodeNumber(records.size(), 8) + EncodeNumber(0, 8);
    for (std::size_t i = waiting.from; i < records.size(); ++i) {
      const auto& [key, value] = records[i];
      bytes += EncodeNumber(1 + key.size() + value.size(), 4) + EncodeNumber(key.size(), 1) + key +
               value;
    }
    Respond(waiting.session, TextResponse(200, bytes));
  }
  void Respond(const edge::HttpSessionPtr& session, HttpResponse response) {
    if (silent_) {
      silenced_.insert(session);
    }
    if (epoch_) {
      response.headers.push_back(MakeHeader("Store-Era", std::to_string(*epoch_)));
    }
    if (!silenced_.contains(session)) {
      session->Respond(std::move(response));
    }
  }
  std::string Join(const nlohmann::json& join) {
    const Duration ttl = std::chrono::milliseconds(join.at("ttl_ms").get<int>());
    const GroupAssignment assignment =
        group_.Join(MonotonicNow(), {join.at("member"), join.at("generation"), ttl});
    nlohmann::json reply = {{"generation", assignment.generation},
                            {"ttl_ms", join.at("ttl_ms")},
                            {"parts", nlohmann::json::array()}};
    for (const int partition : assignment.partitions) {
      reply["parts"].push_back({join.at("topics").at(0), partition, 0});
    }
    return reply.dump();
  }
  void Serve(const edge::HttpSessionPtr& session) {
    const HttpRequest& request = session->request();
    ++calls_[request.path];
    sessions_.insert(session);
    if (down_) {
      session->Respond(TextResponse(503, "down"));
      return;
    }
    if (silent_) {
      silenced_.insert(session);
    }
    if (silenced_.contains(session)) {
      return;
    }
    const std::string topic = FindParameter(request.query, "topic");
    if (request.path == "/log-append") {
      const std::string at = FindParameter(request.query, "at");
      if (!at.empty() && std::stoul(at) != topics_[topic].size()) {
        Respond(session, JsonResponse(412, R"({"end":0})"));
        return;
      }
      const std::string body = request.body;
      Respond(session, JsonResponse(200, R"({"offset":0,"end":1})"));
      AppendRecords(topic, body);
    } else if (request.path == "/log-newest") {
      std::map<std::string, std::size_t> newest;
      for (std::size_t i = 0; i < topics_[topic].size(); ++i) {
        newest[topics_[topic][i].key] = i;
      }
      nlohmann::json page = {
          {"items", nlohmann::json::array()}, {"more", false}, {"end", topics_[topic].size()}};
      for (const auto& [key, offset] : newest) {
        const std::string value = EncodeBase64(topics_[topic][offset].value);
        page["items"].push_back({{"key", key}, {"value", value}, {"offset", offset}});
      }
      Respond(session, JsonResponse(200, page.dump()));
    } else if (request.path == "/log-join") {
      Respond(session, JsonResponse(200, Join(nlohmann::json::parse(request.body))));
    } else if (request.path == "/log-leave") {
      const auto leave = nlohmann::json::parse(request.body);
      group_.Leave(MonotonicNow(), leave.at("member"));
      Respond(session, JsonResponse(200, "{}"));
    } else if (request.path == "/log-read") {
      StartRead({session, topic, std::stoul(FindParameter(request.query, "from")), nullptr},
                std::chrono::milliseconds(std::stoi(FindParameter(request.query, "wait_ms"))));
    } else {
      session->Respond(TextResponse(404, "unknown call"));
    }
  }

  edge::LoopThread& loop_;
  bool down_ = false;
  bool silent_ = false;
  std::optional<int> epoch_;
  /// All sessions so far, and those on which a response was lost.
  std::set<edge::HttpSessionPtr> sessions_;
  std::set<edge::HttpSessionPtr> silenced_;
  std::map<std::string, int> calls_;
  std::map<std::string, std::vector<Record>> topics_;
  std::vector<WaitingRead> waiting_reads_;
  GroupModel group_{32};
  edge::TestServer server_;
};

}  // namespace limpet::platform

#endif  // LIMPET_TESTS_PLATFORM_FAKE_STORE_H_
