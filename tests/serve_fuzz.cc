// Random histories of requests and faults over several real serving cores. The
// faults are at engines, links, claims, leases and daemons. The fake engines
// and the plain maps of serve_world.h check the invariants of serving.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "log.h"
#include "serve_world.h"

using world::Engine;
using world::MS;
using world::SEC;
using world::World;

namespace
{

enum Act {
	SUBMIT_ONE,
	SUBMIT_SEVERAL,
	SUBMIT_SAME_ADAPTER,
	CALL_SERVICE,
	REPEAT_CALL,
	CANCEL_REQUEST,
	RECONNECT_CALLER,
	WAIT_SHORT,
	WAIT_LONG,
	TOGGLE_ENGINE_DOWN,
	TOGGLE_ENGINE_SILENT,
	TOGGLE_ENGINE_REFUSING,
	RESTART_ENGINE,
	TOGGLE_ENGINE_LEAVING,
	FAIL_LOADS,
	BREAK_STREAMS,
	KILL_DAEMON,
	REVIVE_DAEMON,
	CUT_LINK,
	RESTORE_LINK,
	ISOLATE_DAEMON,
	REJOIN_DAEMON,
	FAIL_CLAIMS,
	TOGGLE_TARGET_DRAIN,
	PUBLISH_TABLES,
	MOVE_TARGET,
	ACT_COUNT
};

// An act, and two numbers that select the hosts, targets, adapters or counts
// that it applies to.
using Step = std::tuple<int, int, int>;

constexpr int HOSTS = 4;
constexpr int TARGETS = 4;
constexpr int ADAPTERS = 12;

struct History {
	World w;
	std::vector<uint64_t> handles;
	int tags = 0, keys = 0;

	explicit History(bool checks_fence)
	{
		log_set_level(LOG_EMERG);
		for (host_id_t h = 1; h <= HOSTS; h++)
			w.add_host(h, "z" + std::to_string(h % 3));
		for (target_id_t t = 1; t <= TARGETS; t++)
			w.add_target(t, t, checks_fence, false, 3, 4);
		w.add_target(10, 1, checks_fence, true, 0, 4);
		w.add_target(11, 2, checks_fence, true, 0, 4);
		w.add_org(1);
		for (int i = 0; i < ADAPTERS; i++)
			w.add_adapter("a" + std::to_string(i), 2);
		w.start();
		w.run(SEC);
	}

	// A daemon that is alive, the first from number a on; 0: none.
	host_id_t entry(int a)
	{
		for (int i = 0; i < HOSTS; i++) {
			host_id_t h = (host_id_t)((a + i) % HOSTS + 1);
			if (w.daemons[h].alive)
				return h;
		}
		return 0;
	}

	Engine &engine(int a)
	{
		return w.engines[(target_id_t)(a % TARGETS + 1)];
	}

	void ask(int a, int b)
	{
		host_id_t h = entry(a);
		std::string model = "a" + std::to_string(b % ADAPTERS) + "@" +
				    std::to_string(1 + b / ADAPTERS % 2);

		if (h)
			handles.push_back(w.submit_completion(
				h, model, "req" + std::to_string(tags++)));
	}

	void call(int a, int key)
	{
		host_id_t h = entry(a);
		std::string name = std::to_string(key);

		if (h)
			handles.push_back(
				w.submit_call(h, "call" + name, "key" + name));
	}

	void cancel(int a)
	{
		if (handles.empty())
			return;
		uint64_t h = handles[(size_t)a % handles.size()];
		world::Reply &r = w.replies[h];

		if (r.ended_at || r.cancelled)
			return;
		r.cancelled = true;
		serve_cancel(w.daemons[r.entry].s, h);
	}

	// A caller whose entry daemon was lost resumes through another daemon.
	void reconnect(int a)
	{
		if (handles.empty() || !entry(a))
			return;
		world::Reply &r =
			w.replies[handles[(size_t)a % handles.size()]];

		if (!r.repeatable || r.data.empty() || r.done)
			return;
		serve_req_t q = w.request(r.expected_adapter, r.tag);

		q.resume_offset = r.resume_offset + r.data.size();
		handles.push_back(w.submit(entry(a), q, r.expected_adapter));
	}

	// An isolated daemon is alive but has no links and renews no lease.
	void set_isolated(host_id_t h, bool isolated)
	{
		world::Daemon &d = w.daemons[h];

		if (!d.alive || d.renews == !isolated)
			return;
		d.renews = !isolated;
		for (host_id_t x = 1; x <= HOSTS; x++)
			if (x != h)
				w.link(h, x, !isolated);
		if (isolated && w.leader == h)
			w.elect();
		if (isolated)
			w.move_after_lease(h);
	}

	void toggle_target_drain(int a)
	{
		target_id_t id = (target_id_t)(a % TARGETS + 1);
		Engine &e = w.engines[id];
		bool drains = e.leaving_since < 0;

		if (e.leaving)
			return;
		e.leaving_since = drains ? w.now() : -1;
		w.edit_target(id, [&](target_t *t) {
			t->state = drains ? TARGET_DRAINING : TARGET_ACTIVE;
		});
		w.publish();
	}

	// The platform's list shows the change a second later.
	void toggle_leaving(Engine &e)
	{
		if (e.leaving_since >= 0 && !e.leaving)
			return;
		e.leaving = !e.leaving;
		e.leaving_since = e.leaving ? w.now() : -1;
		w.after(SEC, [this, &e] { w.list_leaving(e.id, e.leaving); });
	}

	void step(const Step &s)
	{
		int a = std::get<1>(s), b = std::get<2>(s);

		switch (std::get<0>(s)) {
		case SUBMIT_ONE:
			ask(a, b);
			break;
		case SUBMIT_SEVERAL:
			for (int i = 0; i < 6; i++)
				ask(a + i, b + i * i);
			break;
		case SUBMIT_SAME_ADAPTER:
			for (int i = 0; i < 6; i++)
				ask(a + i, b);
			break;
		case CALL_SERVICE:
			call(a, keys++);
			break;
		case REPEAT_CALL:
			call(a, keys ? b % keys : keys++);
			break;
		case CANCEL_REQUEST:
			cancel(a);
			break;
		case RECONNECT_CALLER:
			reconnect(a);
			break;
		case WAIT_SHORT:
			w.run((1 + b % 20) * 10 * MS);
			break;
		case WAIT_LONG:
			w.run((1 + b % 5) * 500 * MS);
			break;
		case TOGGLE_ENGINE_DOWN:
			engine(a).down = !engine(a).down;
			break;
		case TOGGLE_ENGINE_SILENT:
			engine(a).silent = !engine(a).silent;
			break;
		case TOGGLE_ENGINE_REFUSING:
			engine(a).refusing = !engine(a).refusing;
			break;
		case RESTART_ENGINE:
			w.restart_engine(engine(a).id);
			break;
		case TOGGLE_ENGINE_LEAVING:
			toggle_leaving(engine(a));
			break;
		case FAIL_LOADS:
			engine(a).loads_to_fail += b % 3 + 1;
			break;
		case BREAK_STREAMS:
			engine(a).streams_to_break += b % 4 + 1;
			break;
		case KILL_DAEMON:
			if (w.daemons[(host_id_t)(a % HOSTS + 1)].renews)
				w.kill((host_id_t)(a % HOSTS + 1));
			break;
		case REVIVE_DAEMON:
			w.revive((host_id_t)(a % HOSTS + 1));
			break;
		case CUT_LINK:
		case RESTORE_LINK: {
			host_id_t x = (host_id_t)(a % HOSTS + 1);
			host_id_t y = (host_id_t)(b % HOSTS + 1);

			if (x != y)
				w.link(x, y, std::get<0>(s) == RESTORE_LINK);
			break;
		}
		case ISOLATE_DAEMON:
			set_isolated((host_id_t)(a % HOSTS + 1), true);
			break;
		case REJOIN_DAEMON:
			set_isolated((host_id_t)(a % HOSTS + 1), false);
			break;
		case FAIL_CLAIMS:
			w.claim_faults = b % 5;
			break;
		case TOGGLE_TARGET_DRAIN:
			toggle_target_drain(a);
			break;
		case PUBLISH_TABLES:
			w.publish();
			break;
		case MOVE_TARGET: {
			target_id_t t = (target_id_t)(a % TARGETS + 1);
			host_id_t h = (host_id_t)(b % HOSTS + 1);

			if (w.daemons[h].alive && w.daemons[h].renews &&
			    w.daemons[w.owner_of(t)].alive &&
			    w.daemons[w.owner_of(t)].renews)
				w.assign(t, h);
			break;
		}
		}
	}

	// Runs until every request must have ended, then checks the outcome.
	void settle()
	{
		w.run(16 * SEC);
		w.check_final_replies();
	}
};

void check_random_history(bool checks_fence)
{
	auto number = rc::gen::inRange(0, 64);
	auto act = rc::gen::weightedOneOf<int>(
		{{6, rc::gen::inRange<int>(SUBMIT_ONE, WAIT_LONG + 1)},
		 {3, rc::gen::element<int>(SUBMIT_ONE, SUBMIT_SEVERAL,
					   SUBMIT_SAME_ADAPTER, WAIT_SHORT)},
		 {3, rc::gen::inRange<int>(TOGGLE_ENGINE_DOWN, ACT_COUNT)}});
	auto steps = *rc::gen::container<std::vector<Step>>(
		rc::gen::tuple(act, number, number));
	History h(checks_fence);

	for (auto &s : steps)
		h.step(s);
	h.settle();
	for (auto &b : h.w.violations)
		RC_LOG() << b << std::endl;
	RC_ASSERT(h.w.violations.empty());
}

RC_GTEST_PROP(ServeFuzz, KeepsServingInvariantsWithFencing, ())
{
	check_random_history(true);
}

RC_GTEST_PROP(ServeFuzz, KeepsServingInvariantsWithoutFencing, ())
{
	check_random_history(false);
}

} // namespace
