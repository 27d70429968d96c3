// Tests of the decided tables: look-ups, rows shared between versions of the
// tables, serialization.
#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "change_util.h"

static adapter_t adapter(const std::string &name, uint32_t id = 0)
{
	static const uint32_t versions[] = {1, 3, 7};
	adapter_t a = {};

	a.id = id;
	a.name = view(name);
	a.base = str_c("llama");
	a.current_version = 3;
	a.versions = versions;
	a.n_versions = 3;
	return a;
}

static uint32_t put(decided_t *d, const std::string &name, uint32_t id = 0)
{
	adapter_t a = adapter(name, id);
	return decided_put_adapter(d, &a);
}

TEST(Decided, FindsRowsByNameAndIdAfterManyEdits)
{
	decided_t *d = decided_new();
	std::map<uint32_t, std::string> expected;
	uint64_t random = 1;

	for (int i = 0; i < 4000; i++) {
		random = random * 6364136223846793005ull +
			 1442695040888963407ull;
		std::string name = "a" + std::to_string((random >> 33) % 700);
		const adapter_t *a = decided_adapter_by_name(d, view(name));
		if (a && (random >> 60) < 8) {
			expected.erase(a->id);
			ASSERT_TRUE(decided_del_adapter(d, a->id));
		} else {
			uint32_t old_id = a ? a->id : 0;
			uint32_t id = put(d, name);
			ASSERT_EQ(old_id ? old_id : id, id);
			expected[id] = name;
		}
	}
	ASSERT_EQ(expected.size(), decided_adapter_count(d));
	size_t pos = 0;
	for (auto &entry : expected) {
		const adapter_t *a = decided_adapter_by_id(d, entry.first);
		ASSERT_NE(nullptr, a);
		EXPECT_EQ(entry.second, text(a->name));
		EXPECT_EQ(a, decided_adapter_by_name(d, view(entry.second)));
		EXPECT_EQ(a, decided_adapter_at(d, pos++));
	}
	EXPECT_EQ(nullptr, decided_adapter_by_name(d, str_c("none")));
	EXPECT_EQ(nullptr, decided_adapter_by_id(d, 0));
	EXPECT_EQ(nullptr, decided_adapter_by_id(d, 1u << 30));
	decided_unref(d);
}

TEST(Decided, EditsLeaveEarlierVersionsUnchanged)
{
	decided_t *d = decided_new();

	for (int i = 0; i < 300; i++)
		put(d, "a" + std::to_string(i));
	decided_t *old = decided_ref(d);
	const adapter_t *row = decided_adapter_by_name(old, str_c("a42"));
	d = decided_unshare(d);
	ASSERT_NE(old, d);
	std::string name = "a42";
	adapter_t a = adapter(name);
	a.current_version = 7;
	decided_put_adapter(d, &a);
	decided_del_adapter(d, decided_adapter_by_name(d, str_c("a7"))->id);
	put(d, "new");
	EXPECT_EQ(7u,
		  decided_adapter_by_name(d, str_c("a42"))->current_version);
	EXPECT_EQ(nullptr, decided_adapter_by_name(d, str_c("a7")));
	EXPECT_EQ(300u, decided_adapter_count(d));
	EXPECT_EQ(300u, decided_adapter_count(old));
	EXPECT_EQ(row, decided_adapter_by_name(old, str_c("a42")));
	EXPECT_EQ(3u, row->current_version);
	EXPECT_NE(nullptr, decided_adapter_by_name(old, str_c("a7")));
	EXPECT_EQ(nullptr, decided_adapter_by_name(old, str_c("new")));
	decided_unref(d);
	EXPECT_EQ("a42", text(row->name));
	decided_unref(old);
}

TEST(Decided, RefusesARowWhoseNameIsTaken)
{
	decided_t *d = decided_new();
	uint32_t a = put(d, "a");
	uint32_t b = put(d, "b");

	EXPECT_EQ(0u, put(d, "a", b));
	EXPECT_EQ(a, put(d, "renamed", a));
	EXPECT_EQ(nullptr, decided_adapter_by_name(d, str_c("a")));
	EXPECT_EQ(a, decided_adapter_by_name(d, str_c("renamed"))->id);
	decided_unref(d);
}

TEST(Decided, FindsOrganisationsByToken)
{
	decided_t *d = decided_new();
	uint8_t hash[TOKEN_HASH_BYTES];
	org_t o = {};

	token_hash(str_c("secret"), hash);
	o.name = str_c("council");
	o.token_hash = str_n((char *)hash, sizeof(hash));
	uint32_t id = decided_put_org(d, &o);
	ASSERT_NE(nullptr, decided_org_by_token(d, str_c("secret")));
	EXPECT_EQ(id, decided_org_by_token(d, str_c("secret"))->id);
	EXPECT_EQ(nullptr, decided_org_by_token(d, str_c("other")));
	EXPECT_EQ(nullptr, decided_org_by_token(d, str_n(nullptr, 0)));
	token_hash(str_c("rotated"), hash);
	decided_put_org(d, &o);
	EXPECT_EQ(nullptr, decided_org_by_token(d, str_c("secret")));
	EXPECT_NE(nullptr, decided_org_by_token(d, str_c("rotated")));
	decided_unref(d);
}

TEST(Decided, AdapterHasOnlyTheVersionsItLists)
{
	adapter_t a = adapter("a");

	for (uint32_t v : {1u, 3u, 7u})
		EXPECT_TRUE(adapter_has_version(&a, v));
	for (uint32_t v : {0u, 2u, 8u, UINT32_MAX})
		EXPECT_FALSE(adapter_has_version(&a, v));
}

// For runs under SAN=thread and SAN=address: versions of the tables share rows,
// and several threads release their references to these versions concurrently.
TEST(Decided, ReadersOnOtherThreadsSeeOneVersionThroughout)
{
	decided_t *current = decided_new();
	std::mutex lock;
	std::atomic<bool> stop{false};
	std::atomic<int> mixed_reads{0};
	std::vector<std::thread> readers;

	for (int i = 0; i < 200; i++)
		put(current, "a" + std::to_string(i));
	auto read = [&] {
		while (!stop) {
			lock.lock();
			decided_t *d = decided_ref(current);
			lock.unlock();
			uint32_t expected =
				decided_adapter_at(d, 0)->current_version;
			for (size_t i = 0; i < decided_adapter_count(d); i++)
				if (decided_adapter_at(d, i)->current_version !=
				    expected)
					mixed_reads++;
			decided_unref(d);
		}
	};
	for (int i = 0; i < 3; i++)
		readers.emplace_back(read);
	for (uint32_t v = 0; v < 300; v++) {
		decided_t *next = decided_unshare(decided_ref(current));
		for (int i = 0; i < 200; i++) {
			std::string name = "a" + std::to_string(i);
			adapter_t a = adapter(name);
			a.current_version = v;
			decided_put_adapter(next, &a);
		}
		lock.lock();
		std::swap(current, next);
		lock.unlock();
		decided_unref(next);
	}
	stop = true;
	for (auto &reader : readers)
		reader.join();
	EXPECT_EQ(0, mixed_reads);
	decided_unref(current);
}

TEST(Decided, SavedTablesLoadUnchanged)
{
	machine_t *m = machine_new();
	machine_t *copy = machine_new();
	ChangeBuilder change("c1", 0);

	for (int i = 0; i < 600; i++)
		change.publish("a" + std::to_string(i), 2);
	change.host("h1", 9000).target("t1", 9100).org(true, "council");
	ASSERT_EQ(CHANGE_DECIDED, apply_change(m, change.pack()).status);
	std::string bytes = save(m);
	ASSERT_EQ(0, machine_load(copy, view(bytes)));
	EXPECT_EQ(bytes, save(copy));
	EXPECT_EQ(machine_index(m), machine_index(copy));
	// An id is not reused after its row was deleted, nor after a load.
	for (auto *machine : {m, copy})
		apply_change(machine,
			     ChangeBuilder("c2", 1)
				     .named(DK__OP__OP_ADAPTER_DEL, "a599")
				     .publish("next")
				     .pack());
	EXPECT_EQ(save(m), save(copy));
	EXPECT_EQ(601u, decided_adapter_by_name(Tables(m), str_c("next"))->id);
	machine_free(m);
	machine_free(copy);
}
