// The serving core under the virtual clock: one focused test a behaviour.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "counter.h"
#include "log.h"
#include "serve_world.h"

using world::MS;
using world::Reply;
using world::SEC;
using world::World;

namespace
{

// Three daemons that own one runner each, and adapters a0..a9.
std::unique_ptr<World> small_world(bool checks_fence = true)
{
	auto w = std::make_unique<World>();

	log_set_level(LOG_ERR);
	for (host_id_t h = 1; h <= 3; h++)
		w->add_host(h, "z" + std::to_string(h));
	for (target_id_t t = 1; t <= 3; t++)
		w->add_target(t, t, checks_fence);
	w->add_target(10, 1, true, true);
	w->add_org(1);
	w->add_org(2);
	for (int i = 0; i < 10; i++)
		w->add_adapter("a" + std::to_string(i));
	return w;
}

std::unique_ptr<World> started(bool checks_fence = true)
{
	auto w = small_world(checks_fence);

	w->start();
	w->run(SEC);
	return w;
}

void expect_kept(World &w)
{
	w.check_end();
	for (auto &b : w.broken)
		ADD_FAILURE() << b;
}

TEST(Serve, RunsColdAndWarmRequestsThroughAnyEntry)
{
	auto w = started();
	std::vector<uint64_t> handles;

	for (host_id_t entry = 1; entry <= 3; entry++)
		handles.push_back(
			w->ask(entry, "a1", "cold" + std::to_string(entry)));
	w->run(3 * SEC);
	handles.push_back(w->ask(1, "a1@1", "warm"));
	w->run(3 * SEC);
	for (uint64_t h : handles) {
		Reply &r = w->replies[h];

		EXPECT_TRUE(r.done) << reason_info(r.reason)->name;
		EXPECT_EQ("a1@1", r.adapter);
	}
	EXPECT_EQ(0, w->replies[handles[3]].stall);
	EXPECT_GE(w->replies[handles[0]].stall, 300 * MS);
	EXPECT_EQ(1u, w->engines[1].loads + w->engines[2].loads +
			      w->engines[3].loads);
	expect_kept(*w);
}

TEST(Serve, RefusesWhatIsNotDecided)
{
	auto w = started();
	uint64_t a = w->ask(1, "nothing", "r1");
	uint64_t b = w->ask(1, "a1@7", "r2");
	uint64_t c = w->ask(1, "a1@x", "r3");

	w->run(SEC);
	EXPECT_EQ(REASON_UNKNOWN_ADAPTER, w->replies[a].reason);
	EXPECT_EQ(REASON_UNKNOWN_VERSION, w->replies[b].reason);
	EXPECT_EQ(REASON_BAD_REQUEST, w->replies[c].reason);
	EXPECT_EQ(RUN_NO, w->replies[a].run);
	expect_kept(*w);
}

TEST(Serve, CancelledRequestGetsNoReplyAndFreesItsPlace)
{
	auto w = started();
	uint64_t h = w->ask(1, "a1", "r1");

	w->run(400 * MS);
	w->replies[h].cancelled = true;
	serve_cancel(w->daemons[1].s, h);
	w->run(SEC);
	for (auto &e : w->engines)
		EXPECT_EQ(0u, e.second.running(""));
	expect_kept(*w);
}

TEST(Serve, AddressesNameTheOwnerFirstThenOtherZones)
{
	auto w = started();
	serve_addr_t v[4];
	decided_t *d = nullptr;
	buf_t json = {};
	uint64_t h = w->ask(2, "a1", "r1");
	size_t n;

	w->run(3 * SEC);
	n = serve_addresses(w->daemons[2].s, STR("a1"), v, 4, &d);
	ASSERT_EQ(3u, n);
	EXPECT_EQ(w->replies[h].owner, v[0].host);
	EXPECT_NE(v[1].host, v[2].host);
	decided_unref(d);
	serve_drain(w->daemons[v[0].host].s);
	n = serve_addresses(w->daemons[v[0].host].s, STR("a1"), v, 4, &d);
	EXPECT_EQ(2u, n);
	decided_unref(d);
	serve_explain(w->daemons[2].s, STR("a1"), &json);
	EXPECT_NE(nullptr, strstr(json.p, "\"resident\":true")) << json.p;
	buf_reset(&json);
	serve_status(w->daemons[2].s, &json);
	EXPECT_NE(nullptr, strstr(json.p, "\"state\":\"active\"")) << json.p;
	buf_free(&json);
	expect_kept(*w);
}

} // namespace
