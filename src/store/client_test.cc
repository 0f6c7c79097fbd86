// Tests of messages, client, watcher and follower against a scripted server.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <atomic>
#include <condition_variable>

#include "src/store/scripted_server.h"
#include "tarragondale/store.h"

namespace tarragondale::store {
namespace {

using peer = scripted_server::peer;

constexpr char kEmptyTxn[] = R"({"header":{"revision":"7"},"succeeded":true})";
constexpr char kEmptyRange[] = R"({"header":{"revision":"7"}})";

std::string RowJson(const std::string& key,
                    const std::string& value,
                    int64_t revision) {
  return fmt::format(R"({{"key":"{}","value":"{}","mod_revision":"{}"}})",
                     Base64Encode(key), Base64Encode(value), revision);
}

std::string EventLine(const std::string& key, int64_t revision) {
  return fmt::format(
             R"({{"result":{{"header":{{"revision":"{0}"}},"events":[{{"kv":{1}}}]}}}})",
             revision, RowJson(key, "v", revision)) +
         "\n";
}

txn_request OnePut() {
  txn_request request;
  request.compares = {{"a", compare_target::kModRevision, 5}};
  request.success = {put_request{"a", "b", 0}, delete_request{"c", "d"}};
  request.failure = {range_request{"a", "", 1, 0}};
  return request;
}

// An endpoint that refuses connections: its listener is gone.
std::string Refusing() {
  return scripted_server([](auto&, auto&, peer&) { return false; }).address();
}

TEST(MessagesTest, JsonIsThatOfTheService) {
  EXPECT_EQ(
      EncodeTxn(OnePut()),
      R"({"compare":[{"key":"YQ==","mod_revision":"5","result":"EQUAL","target":"MOD"}],)"
      R"("failure":[{"request_range":{"key":"YQ==","limit":"1"}}],)"
      R"("success":[{"request_put":{"key":"YQ==","value":"Yg=="}},)"
      R"({"request_delete_range":{"key":"Yw==","range_end":"ZA=="}}]})");
  EXPECT_EQ(EncodeWatch({"a", "b", 3}),
            R"({"create_request":{"key":"YQ==","range_end":"Yg==",)"
            R"("start_revision":"3"}})");
  for (const char* text :
       {R"({"header":{"revision":"9"},"responses":[{"response_put":{}},
            {"response_range":{"kvs":[{"key":"YQ==","mod_revision":"4"}]}}]})",
        R"({"header":{"revision":9},"responses":[{"responsePut":{}},
            {"responseRange":{"kvs":[{"key":"YQ==","modRevision":"4"}]}}]})"}) {
    const auto answer = DecodeTxnAnswer(text);
    ASSERT_TRUE(answer) << answer.error().reason;
    EXPECT_EQ(answer->revision, 9);
    EXPECT_FALSE(answer->succeeded);
    EXPECT_EQ(answer->answers[1].rows[0], (key_value{"a", "", 0, 4, 0, 0}));
  }
  EXPECT_EQ(DecodeLeaseAnswer(
                R"({"result":{"header":{"revision":"1"},"ID":"3","TTL":"5"}})")
                ->ttl_s,
            5);
  EXPECT_EQ(PrefixEnd("a\xFF"), "b");
}

// Guards against an exception for any bytes from the network.
TEST(MessagesTest, DamagedAnswersNeverThrow) {
  EXPECT_TRUE(rc::check([](size_t place, char byte) {
    std::string text = EventLine("k", 5);
    text[place % text.size()] = byte;
    DecodeWatchMessage(text);
    DecodeTxnAnswer(text.substr(place % text.size()));
    DecodeRangeAnswer(text);
  }));
}

TEST(ClientTest, TriesEndpointsInOrder) {
  scripted_server server([](auto& path, auto&, peer& client) {
    client.Answer(path == "/v3/kv/range" ? kEmptyRange : kEmptyTxn);
    return true;
  });
  client store({{Refusing(), server.address()}, seconds(30)});
  EXPECT_EQ(store.Range({"a", "", 0, 0})->revision, 7);
  EXPECT_TRUE(store.Txn(OnePut())->succeeded);
}

// Guards against a write that is reported as lost although it never left.
TEST(ClientTest, RefusedConnectionMeansNotRun) {
  client store({{Refusing(), Refusing()}, seconds(30)});
  EXPECT_EQ(store.Txn(OnePut()).error().code, result_code::kStoreUnavailable);
  EXPECT_EQ(store.GrantLease(5).error().code, result_code::kStoreUnavailable);
}

// Guards against a write that is sent to a second endpoint, or reported as not
// run, after the first may have run it.
TEST(ClientTest, WriteWithoutAnswerIsLostAndSentOnce) {
  std::atomic<int> seen{0};
  const std::vector<scripted_server::script> faults = {
      [&](auto&, auto&, peer&) { return ++seen, false; },
      [&](auto&, auto&, peer& client) {
        ++seen;
        client.Hang();
        return false;
      },
      [&](auto&, auto&, peer& client) {
        ++seen;
        client.Answer("{\"header\":");
        return true;
      },
      [&](auto&, auto&, peer& client) {
        ++seen;
        client.Raw("SMTP ready\r\n\r\n");
        return true;
      },
      [&](auto&, auto&, peer& client) {
        ++seen;
        client.Answer("{}", 503);
        return true;
      }};
  for (const auto& fault : faults) {
    seen = 0;
    scripted_server first(fault);
    scripted_server second([&](auto&, auto&, peer& client) {
      client.Answer(kEmptyTxn);
      return ++seen, true;
    });
    // Long enough that a busy machine does not time out on connecting; one of
    // the faults waits for the whole of it.
    client store({{first.address(), second.address()}, seconds(3)});
    EXPECT_EQ(store.Txn(OnePut()).error().code, result_code::kStoreAnswerLost);
    EXPECT_EQ(seen, 1);
  }
}

// A read has no effect, so every fault but a refusal leads to the next one.
TEST(ClientTest, ReadWithoutAnswerGoesToTheNextEndpoint) {
  scripted_server silent([](auto&, auto&, peer& client) {
    client.Hang();
    return false;
  });
  scripted_server good([](auto&, auto&, peer& client) {
    client.Answer(kEmptyRange);
    return true;
  });
  client store({{silent.address(), good.address()}, seconds(4)});
  EXPECT_TRUE(store.Range({"a", "", 0, 0}));
}

TEST(ClientTest, RequestThatTheServiceRefusesIsNotRun) {
  scripted_server server([](auto&, auto&, peer& client) {
    client.Answer(R"({"error":"too many operations","code":3})", 400);
    return true;
  });
  client store({{server.address()}, seconds(30)});
  const failure refused = store.Txn(OnePut()).error();
  EXPECT_EQ(refused.code, result_code::kStoreUnavailable);
  EXPECT_NE(refused.reason.find("too many operations"), std::string::npos);
}

// Guards against a write on an idle connection that the service has closed.
TEST(ClientTest, ClosedIdleConnectionIsReplaced) {
  std::atomic<int> requests{0};
  std::binary_semaphore closed{0};
  scripted_server server([&](auto&, auto&, peer& client) {
    client.Answer(kEmptyTxn);
    if (++requests == 1) {
      client.Raw("x");  // Stands for any unread byte or end of file.
      closed.release();
    }
    return true;
  });
  client store({{server.address()}, seconds(30)});
  EXPECT_TRUE(store.Txn(OnePut()));
  closed.acquire();
  EXPECT_TRUE(store.Txn(OnePut()));
}

TEST(ClientTest, StopEndsACallAtOnce) {
  std::binary_semaphore called{0};
  scripted_server server([&](auto&, auto&, peer& client) {
    called.release();
    client.Hang();
    return false;
  });
  client store({{server.address()}, seconds(3600)});
  std::thread caller([&] { EXPECT_FALSE(store.Txn(OnePut())); });
  called.acquire();
  store.Stop();
  caller.join();
  EXPECT_FALSE(store.Range({"a", "", 0, 0}));
}

TEST(ClientTest, EndedLeaseIsToldFromAFault) {
  scripted_server server([](auto& path, auto&, peer& client) {
    client.Answer(path == "/v3/lease/grant"
                      ? R"({"header":{"revision":"1"},"ID":"9","TTL":"5"})"
                      : R"({"result":{"header":{"revision":"1"},"ID":"9"}})");
    return true;
  });
  client store({{server.address()}, seconds(30)});
  EXPECT_EQ(store.GrantLease(5)->id, 9);
  EXPECT_EQ(store.KeepLeaseAlive(9).error().code, result_code::kRowNotFound);
}

// Collects what threads report; `Await` returns when a value was reported.
template <typename T>
class collector {
 public:
  void Add(T value) {
    const std::lock_guard lock(mutex_);
    values_.push_back(std::move(value));
    changed_.notify_all();
  }
  std::vector<T> Await(size_t count) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, seconds(60),
                      [&] { return values_.size() >= count; });
    return values_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<T> values_;
};

// Guards against events that are lost, doubled or reordered when the stream is
// cut within a line, repeats events or contains garbage.
TEST(WatcherTest, ResumesAfterTheLastRevision) {
  std::atomic<int> connection{0};
  collector<std::string> requests;
  scripted_server server([&](auto&, auto& body, peer& client) {
    requests.Add(body);
    client.StartStream();
    const int number = ++connection;
    if (number == 1) {
      client.Chunk(EventLine("a", 10) + EventLine("b", 11).substr(0, 30));
      return false;
    }
    if (number == 2) {
      client.Chunk(EventLine("old", 10) + EventLine("b", 11));
      client.Chunk("garbage\n");
      client.Hang();
    }
    client.Chunk(EventLine("c", 12));
    client.Chunk(EventLine("d", 12));
    client.Hang();
    return false;
  });
  collector<std::string> events;
  std::atomic<int> loads{0};
  watcher watch({{server.address()}, seconds(30)}, {"a", "z", 0},
                {[&] { return ++loads, 10; },
                 [&](const watch_message& message) {
                   for (const watch_event& each : message.events) {
                     events.Add(each.row.key);
                   }
                 },
                 {}});
  EXPECT_EQ(events.Await(4), (std::vector<std::string>{"a", "b", "c", "d"}));
  EXPECT_NE(requests.Await(3)[2].find(R"("start_revision":"12")"),
            std::string::npos);
  EXPECT_EQ(loads, 1);
  watch.Stop();
}

TEST(WatcherTest, CompactionLeadsToAFullLoad) {
  scripted_server server([&](auto&, auto& body, peer& client) {
    client.StartStream();
    if (body.find("\"10\"") != std::string::npos) {
      client.Chunk(R"({"result":{"header":{"revision":"99"},"canceled":true,)"
                   R"("compact_revision":"50"}})"
                   "\n");
    }
    client.Hang();
    return false;
  });
  collector<int64_t> loads;
  watcher watch(
      {{server.address()}, seconds(30)}, {"a", "z", 0},
      {[&]() -> std::optional<int64_t> {
         const auto count = static_cast<int64_t>(loads.Await(0).size());
         loads.Add(count);
         // The second load fails once.
         return count == 1 ? std::nullopt : std::optional<int64_t>(10 + count);
       },
       [](const watch_message&) {},
       {}});
  loads.Await(1);
  watch.Restart();
  EXPECT_GE(loads.Await(3).size(), 3U);
}

// Guards against a watch whose connection is open but silent for ever: the
// poll finds the new version.
TEST(FollowerTest, SilentWatchIsReplaced) {
  std::atomic<int> version{1};
  std::binary_semaphore watching{0};
  scripted_server server([&](auto& path, auto&, peer& client) {
    const std::string row =
        RowJson(kVersionKey, EncodeVersion({version, "op", "", "e"}), version);
    if (path == "/v3/watch") {
      client.StartStream();
      watching.release();
      client.Hang();
    } else if (path == "/v3/kv/txn") {
      client.Answer(fmt::format(
          R"({{"header":{{"revision":"{}"}},"succeeded":true,"responses":[
              {{"response_range":{{}}}},{{"response_range":{{}}}},
              {{"response_range":{{}}}},
              {{"response_range":{{"kvs":[{}]}}}}]}})",
          version.load(), row));
    } else {
      client.Answer(
          fmt::format(R"({{"header":{{"revision":"1"}},"kvs":[{}]}})", row));
    }
    return true;
  });
  collector<int64_t> versions;
  follower follow({{{server.address()}, seconds(30)}, milliseconds(5)},
                  {[&](const config::configuration_ptr& next) {
                     versions.Add(next->version);
                   },
                   {}});
  EXPECT_EQ(versions.Await(1), (std::vector<int64_t>{1}));
  watching.acquire();
  version = 2;
  EXPECT_EQ(versions.Await(2), (std::vector<int64_t>{1, 2}));
  EXPECT_EQ(follow.Newest()->version, 2);
  EXPECT_TRUE(follow.LastAnswer());
  follow.Stop();
}

}  // namespace
}  // namespace tarragondale::store
