/*
 * In-memory store for tests with real ordering and conditional appends.
 * Results are delivered on demand. Injects the faults of the platform: a lost
 * result, an append that is executed later, an outage.
 */
#ifndef EDGE_TEST_FAKE_STORE_H
#define EDGE_TEST_FAKE_STORE_H

#include <algorithm>
#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "edge/store.h"

class FakeStore {
  public:
    struct Record {
        std::string key;
        std::string value;
        bool removed = false;
    };

    // The store as one daemon sees it, so that a fault can be injected for a
    // single daemon.
    struct Client {
        struct ag_store base;
        FakeStore *store;
        bool down = false;        // every call fails without effect
        int pages = 0;            // pages of listings requested
        int calls = 0;            // made by this daemon
        int64_t longest_wait = 0; // of its reads, in microseconds
        bool lose_next = false;   // lose the next append's result
        bool late_next = false;   // hold the next append until RunLate()
    };

    Client *
    AddClient()
    {
        auto *client = new Client();
        client->base.ops = &ops_;
        client->store = this;
        clients_.push_back(client);
        return client;
    }

    ~FakeStore()
    {
        for (auto *client : clients_) {
            delete client;
        }
    }

    // Delivers the results that are pending now.
    void
    AnswerOnce()
    {
        auto answers = std::move(answers_);
        answers_.clear();
        for (auto &answer : answers) {
            answer();
        }
    }

    // Delivers all pending results, and those of the calls that follow from
    // them.
    void
    Answer()
    {
        while (!answers_.empty()) {
            auto answers = std::move(answers_);
            answers_.clear();
            for (auto &answer : answers) {
                answer();
            }
        }
    }

    // Executes appends that were held back, if their condition still holds.
    void
    RunLate()
    {
        auto late = std::move(late_);
        late_.clear();
        for (auto &append : late) {
            append();
        }
    }

    int64_t
    Put(enum ag_topic topic, const std::string &key, const std::string &value)
    {
        topics_[topic].push_back({key, value, false});
        return static_cast<int64_t>(topics_[topic].size()) - 1;
    }

    void
    Remove(enum ag_topic topic, const std::string &key)
    {
        topics_[topic].push_back({key, "", true});
    }

    // Drops the history; the newest record of each key stays.
    void
    DropHistory(enum ag_topic topic)
    {
        first_[topic] = static_cast<int64_t>(topics_[topic].size());
    }

    std::vector<Record> &
    Topic(enum ag_topic topic)
    {
        return topics_[topic];
    }

    size_t page = 1000; // records in each page of a listing

  private:
    static Client *
    Cast(struct ag_store *store)
    {
        return reinterpret_cast<Client *>(store);
    }

    void
    Fail(ag_fn fn, void *arg, enum ag_status status)
    {
        answers_.push_back([fn, arg, status] {
            struct ag_result result = {};
            result.status = status;
            fn(arg, &result);
        });
    }

    static struct ag_record
    View(const Record &record, int64_t offset)
    {
        struct ag_record view = {};
        view.offset = offset;
        view.key = record.key.data();
        view.key_len = record.key.size();
        view.value = record.removed ? nullptr : record.value.data();
        view.len = record.value.size();
        return view;
    }

    static void
    Read(struct ag_store *base, enum ag_topic topic, int64_t from,
         int64_t wait_usec, ag_fn fn, void *arg)
    {
        Client *client = Cast(base);
        client->calls++;
        client->longest_wait = std::max(client->longest_wait, wait_usec);
        FakeStore *store = client->store;
        if (client->down) {
            store->Fail(fn, arg, AG_UNAVAILABLE);
            return;
        }
        store->answers_.push_back([store, topic, from, fn, arg] {
            struct ag_result result = {};
            auto &records = store->topics_[topic];
            if (from < store->first_[topic]) {
                result.status = AG_EXPIRED;
                result.offset = store->first_[topic];
                fn(arg, &result);
                return;
            }
            std::vector<struct ag_record> views;
            for (size_t i = static_cast<size_t>(from); i < records.size();
                 i++) {
                views.push_back(View(records[i], static_cast<int64_t>(i)));
            }
            result.end = static_cast<int64_t>(records.size());
            result.records = views.data();
            result.count = views.size();
            fn(arg, &result);
        });
    }

    static void
    Newest(struct ag_store *base, enum ag_topic topic, const char *after,
           ag_fn fn, void *arg)
    {
        Client *client = Cast(base);
        client->calls++;
        client->pages += topic == AG_ENDPOINTS;
        FakeStore *store = client->store;
        if (client->down) {
            store->Fail(fn, arg, AG_UNAVAILABLE);
            return;
        }
        std::string after_key = after == nullptr ? "" : after;
        store->answers_.push_back([store, topic, after_key, fn, arg] {
            auto &records = store->topics_[topic];
            std::map<std::string, size_t> last;
            for (size_t i = 0; i < records.size(); i++) {
                last[records[i].key] = i;
            }
            std::vector<struct ag_record> views;
            struct ag_result result = {};
            for (auto &entry : last) {
                if (entry.first <= after_key && !after_key.empty()) {
                    continue;
                }
                if (views.size() == store->page) {
                    result.more = true;
                    break;
                }
                if (!records[entry.second].removed) {
                    views.push_back(View(records[entry.second],
                                         static_cast<int64_t>(entry.second)));
                }
            }
            result.end = static_cast<int64_t>(records.size());
            result.records = views.data();
            result.count = views.size();
            fn(arg, &result);
        });
    }

    static void
    Append(struct ag_store *base, enum ag_topic topic, int64_t at,
           const char *key, const void *value, size_t len, ag_fn fn, void *arg)
    {
        Client *client = Cast(base);
        FakeStore *store = client->store;
        if (client->down) {
            store->Fail(fn, arg, AG_UNAVAILABLE);
            return;
        }
        Record record = {key == nullptr ? "" : key,
                         std::string(static_cast<const char *>(value), len),
                         false};
        auto run = [store, topic, at, record](struct ag_result *result) {
            auto &records = store->topics_[topic];
            auto end = static_cast<int64_t>(records.size());
            result->end = end;
            if (at >= 0 && at != end) {
                result->status = AG_CONFLICT;
                return;
            }
            records.push_back(record);
            result->offset = end;
            result->end = end + 1;
        };
        if (client->late_next) {
            client->late_next = false;
            store->late_.push_back([run] {
                struct ag_result ignored = {};
                run(&ignored);
            });
            store->Fail(fn, arg, AG_UNKNOWN);
            return;
        }
        struct ag_result result = {};
        run(&result);
        if (client->lose_next) {
            client->lose_next = false;
            store->Fail(fn, arg, AG_UNKNOWN);
            return;
        }
        store->answers_.push_back([fn, arg, result] { fn(arg, &result); });
    }

    static constexpr struct ag_ops ops_ = {Read, Newest, Append};
    std::map<int, std::vector<Record>> topics_;
    std::map<int, int64_t> first_;
    std::vector<std::function<void()>> answers_;
    std::vector<std::function<void()>> late_;
    std::vector<Client *> clients_;
};

#endif
