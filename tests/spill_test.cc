// Spillover between failure domains: runners with real queues, and callers whose demand
// peaks in one domain after the other, in virtual time.
#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "counter.h"
#include "dispatch_world.h"

using namespace dispatch_world;

namespace
{

constexpr int64_t TICK_US = 5 * MS;
constexpr size_t DOMAINS = 4;

struct Load {
	std::string service;
	double per_s; // in each domain
	uint32_t tokens_in, events;
	int64_t objective_us;
	double swing = 0;
};

struct Runner {
	std::string id, zone, service;
	uint32_t slots;
	bool gone = false;
	bool has_model = true;
	int64_t prefilled_us = 0;	// when the last prompt is prefilled
	std::multiset<int64_t> ends_us; // plain: of requests that run
};

struct Result {
	size_t asked = 0, on_time = 0, refused = 0, left = 0, tokens_left = 0;
};

str_t view(const std::string &s)
{
	return str_n(s.data(), s.size());
}

ProtobufCBinaryData bytes(const std::string &s)
{
	return {s.size(), (uint8_t *)s.data()};
}

std::string zone_name(size_t i)
{
	return "zone-" + std::to_string(i);
}

class Domains
{
      public:
	Domains(size_t engines, size_t plain) : rng(1)
	{
		log_set_level(LOG_ERR);
		manifest = manifest_new();
		service_t *s = manifest_add_service(manifest);
		s->name = str_copy(STR("llm"));
		s->engine = true;
		s->slots = 16;
		s->kv_tokens = 71000;
		s->adapter_slots = 10;
		s->loads_per_s = 20;
		service_add_model(s)->name = str_copy(STR("base"));
		manifest_add_service(manifest)->name = str_copy(STR("app"));
		tables = decided_new();
		for (size_t z = 0; z < DOMAINS; z++) {
			for (size_t i = 0; i < engines; i++)
				add_runner(z, "llm", i, 16);
			for (size_t i = 0; i < plain; i++)
				add_runner(z, "app", i, 6);
		}
		take_over();
	}
	~Domains()
	{
		dispatch_free(d);
		manifest_unref(manifest);
		decided_unref(tables);
	}
	// A dispatcher that knows nothing; 0: the leader, else one of n isolated.
	void take_over(size_t n = 0)
	{
		static const dispatch_ops_t ops = {
			on_send,
			[](void *, str_t, str_t, const runner_order_t *) {},
			[](void *, str_t, str_t) {},
			[](void *, str_t, str_t) {}};
		dispatch_cfg_t cfg = {1,   STR("host-1"), 0,
				      0.2, 200,		  10000 * MS};

		if (d)
			dispatch_free(d);
		d = dispatch_new(&cfg, &ops, this);
		if (n)
			dispatch_begin_isolated(d, n, now);
		else
			dispatch_begin(d, ++term, true, now);
		dispatch_set_tables(d, manifest, tables);
		send_list();
	}
	Result run(int64_t us, const std::vector<Load> &loads)
	{
		int64_t end = now + us;

		result = {};
		while (now < end) {
			now += TICK_US;
			while (!events.empty() &&
			       events.begin()->first <= now) {
				auto fn = events.begin()->second;

				events.erase(events.begin());
				fn();
			}
			if (now % (500 * MS) == 0)
				send_list();
			for (auto &l : loads)
				for (size_t z = 0; z < DOMAINS; z++)
					arrive(l, z);
			dispatch_set_lease(d, now + 1000 * MS);
			dispatch_tick(d, now);
		}
		return result;
	}
	void burst(const Load &l, size_t z, size_t n)
	{
		while (n--)
			ask(l, z);
	}
	double share(const std::string &service, size_t from, size_t to)
	{
		return spill_share(d->spill, view(service),
				   view(zone_name(from)), view(zone_name(to)));
	}
	double share(const std::string &service, size_t from)
	{
		double sum = 0;

		for (size_t z = 0; z < DOMAINS; z++)
			sum += share(service, from, z);
		return sum;
	}

	std::map<size_t, double> weight; // of a domain's demand; else 1
	int64_t path_us = 3 * MS;	 // there and back
	int64_t work_us = 50 * MS;	 // of a plain request
	std::vector<Runner> runners;
	dispatch_t *d = nullptr;
	int64_t now = 1000 * MS;
	Result of_domain[DOMAINS];

      private:
	struct Request {
		Load load;
		size_t zone;
		int64_t asked_us;
	};

	void add_runner(size_t z, const std::string &service, size_t i,
			uint32_t slots)
	{
		Runner r;

		r.zone = zone_name(z);
		r.service = service;
		r.id = service + "-" + r.zone + "-" + std::to_string(i);
		r.slots = slots;
		runners.push_back(r);
	}
	Runner *find(const std::string &id)
	{
		for (auto &r : runners)
			if (r.id == id)
				return &r;
		return nullptr;
	}
	void at(int64_t us, std::function<void()> fn)
	{
		events.emplace(now + us, fn);
	}
	double random()
	{
		return std::uniform_real_distribution<>(0, 1)(rng);
	}
	void info_of(const Runner &r, runner_info_t *info)
	{
		*info = {};
		info->id = str_copy(view(r.id));
		info->service = str_copy(view(r.service));
		info->addr = str_copy(view(r.id));
		info->zone = str_copy(view(r.zone));
		info->start_time_ms = 1;
		info->slots = r.slots;
		if (r.service != "llm")
			return;
		info->models_known = true;
		if (!r.has_model)
			return;
		info->models =
			(runner_model_t *)xcalloc(1, sizeof(runner_model_t));
		info->models[0].name = str_copy(STR("base"));
		info->models[0].version = 1;
		info->n_models = 1;
	}
	void send_list()
	{
		runner_list_t list = {};

		list.rows = (runner_info_t *)xcalloc(runners.size() + 1,
						     sizeof(runner_info_t));
		for (auto &r : runners)
			if (!r.gone)
				info_of(r, &list.rows[list.n++]);
		dispatch_set_runners(d, &list, now);
		runner_list_free(&list);
	}
	void arrive(const Load &l, size_t z)
	{
		// The callers of one domain peak a quarter of 13 s after the next.
		double phase =
			(double)z / DOMAINS + (double)now / (13000.0 * MS);
		double per_s = l.per_s * (weight.count(z) ? weight[z] : 1) *
			       (1 + l.swing * sin(2 * M_PI * phase));

		if (random() < per_s * TICK_US / USEC_PER_SEC)
			ask(l, z);
	}
	void ask(const Load &l, size_t z)
	{
		Dispatch__Ask a = DISPATCH__ASK__INIT;
		Dispatch__Msg msg = DISPATCH__MSG__INIT;
		std::string zone = zone_name(z);
		Request q = {l, z, now};

		a.id = ++next_id;
		a.service = bytes(l.service);
		if (l.service == "llm")
			a.model = {4, (uint8_t *)"base"};
		a.tokens_in = l.tokens_in;
		a.tokens_out = l.events * 4;
		a.target_us = l.objective_us;
		a.left_us = l.objective_us * 4;
		a.zone = bytes(zone);
		msg.body_case = DISPATCH__MSG__BODY_ASK;
		msg.ask = &a;
		requests[a.id] = q;
		result.asked++;
		of_domain[z].asked++;
		dispatch_recv(d, (host_id_t)(1 + z), &msg, now);
	}
	static void on_send(void *ctx, host_id_t, const Dispatch__Msg *msg)
	{
		Domains *w = (Domains *)ctx;

		if (msg->body_case == DISPATCH__MSG__BODY_REFUSAL)
			w->result.refused++;
		if (msg->body_case == DISPATCH__MSG__BODY_GRANT)
			w->begin(msg->grant->id,
				 std::string((char *)msg->grant->runner.data,
					     msg->grant->runner.len));
	}
	void begin(uint64_t id, const std::string &runner)
	{
		Request &q = requests[id];
		Runner *r = find(runner);
		bool leaves = r->zone != zone_name(q.zone);
		int64_t path = 1 * MS + (leaves ? path_us : 0);
		int64_t first_us, end_us;

		if (leaves) {
			result.left++;
			of_domain[q.zone].left++;
			result.tokens_left +=
				q.load.tokens_in + q.load.events * 4;
		}
		if (r->service == "llm") {
			r->prefilled_us =
				std::max(r->prefilled_us, now) +
				(int64_t)(q.load.tokens_in / 19.2) * MS;
			first_us = r->prefilled_us - now + 15 * MS;
			end_us = first_us + q.load.events * 12 * MS;
		} else {
			auto &run = r->ends_us;
			int64_t from = now;

			while (!run.empty() && *run.begin() <= now)
				run.erase(run.begin());
			if (run.size() >= r->slots) {
				auto it = run.end();

				std::advance(it, -(long)r->slots);
				from = *it;
			}
			end_us = first_us =
				from - now +
				(int64_t)((double)work_us * (0.5 + random()));
			run.insert(now + end_us);
		}
		at(first_us + path, [=]() { started(id, first_us + path); });
		at(end_us + path, [=]() { done(id); });
	}
	void started(uint64_t id, int64_t waited_us)
	{
		Dispatch__Started m = DISPATCH__STARTED__INIT;
		Dispatch__Msg msg = DISPATCH__MSG__INIT;
		const Request &q = requests[id];

		if (now - q.asked_us <= q.load.objective_us) {
			result.on_time++;
			of_domain[q.zone].on_time++;
		}
		m.id = id;
		m.waited_us = waited_us;
		msg.body_case = DISPATCH__MSG__BODY_STARTED;
		msg.started = &m;
		dispatch_recv(d, (host_id_t)(1 + q.zone), &msg, now);
	}
	void done(uint64_t id)
	{
		Dispatch__Done m = DISPATCH__DONE__INIT;
		Dispatch__Msg msg = DISPATCH__MSG__INIT;

		m.id = id;
		m.outcome = PLACE_ANSWERED;
		msg.body_case = DISPATCH__MSG__BODY_DONE;
		msg.done = &m;
		dispatch_recv(d, (host_id_t)(1 + requests[id].zone), &msg, now);
		requests.erase(id);
	}

	std::mt19937_64 rng;
	manifest_t *manifest;
	decided_t *tables;
	uint64_t term = 0, next_id = 0;
	Result result;
	std::map<uint64_t, Request> requests;
	std::multimap<int64_t, std::function<void()>> events;
};

// Requests for the model itself, and for a plain service.
Load model(double per_s, double swing = 0)
{
	return {"llm", per_s, 1460, 43, 1000 * MS, swing};
}
Load plain(double per_s, double swing = 0)
{
	return {"app", per_s, 0, 0, 300 * MS, swing};
}

// A fixed cost of crossing sent a third of the requests for the model away although
// their own domain would have answered them on time.
TEST(Spill, DomainsThatPeakOneAfterTheOtherKeepMostRequests)
{
	for (const Load &l : {model(36, 0.55), plain(90, 0.55)}) {
		Domains w(4, 1);
		double most = 0;

		w.run(13000 * MS, {l});
		Result r = w.run(39000 * MS, {l});
		EXPECT_GE((double)r.on_time, 0.995 * (double)r.asked);
		EXPECT_EQ(r.refused, 0u);
		EXPECT_GT(r.left, 0u);
		EXPECT_LT((double)r.left, 0.13 * (double)r.asked);
		for (int i = 0; i < 130; i++) {
			w.run(100 * MS, {l});
			for (size_t z = 0; z < DOMAINS; z++)
				most = std::max(most, w.share(l.service, z));
		}
		EXPECT_GT(most, 0);
		EXPECT_LE(most, 0.75 + 1e-9);
	}
}

// With places free everywhere no request pays for leaving.
TEST(Spill, LightLoadStaysAtHome)
{
	Domains w(4, 1);
	Result r = w.run(20000 * MS, {model(10), plain(20)});

	EXPECT_EQ(r.refused, 0u);
	EXPECT_LE(r.left, r.asked / 200);
}

// At a load whose wait is about the cost of crossing, a decision without hysteresis is
// reversed by its own effect several times a second.
TEST(Spill, ConstantLoadNearTheThresholdDoesNotFlap)
{
	for (double per_s : {44, 48, 52, 56, 60, 66}) {
		Domains w(4, 1);
		uint64_t before;

		w.weight = {{1, 0.3}, {2, 0.3}, {3, 0.3}};
		w.run(10000 * MS, {model(per_s), plain(per_s * 2)});
		before = counter_get(CTR_SPILL_OPENED) +
			 counter_get(CTR_SPILL_CLOSED);
		w.run(60000 * MS, {model(per_s), plain(per_s * 2)});
		EXPECT_LE(counter_get(CTR_SPILL_OPENED) +
				  counter_get(CTR_SPILL_CLOSED) - before,
			  24u)
			<< per_s;
	}
}

// A domain under load must not serve others before its own callers.
TEST(Spill, ALoadedDomainServesItsOwnCallersFirst)
{
	for (const Load &l : {model(40), plain(90)}) {
		Domains w(4, 1);

		w.weight = {{0, 4}};
		w.run(10000 * MS, {l});
		for (auto &o : w.of_domain)
			o = {};
		w.run(20000 * MS, {l});
		for (size_t z = 0; z < DOMAINS; z++) {
		}
		for (size_t z = 1; z < DOMAINS; z++)
			EXPECT_GE((double)w.of_domain[z].on_time,
				  0.97 * (double)w.of_domain[z].asked)
				<< z;
	}
}

// Its requests have nowhere else to go, and come home with its runners.
TEST(Spill, ADomainWithoutRunnersSendsAllAndTakesThemBack)
{
	Domains w(4, 1);
	std::vector<Load> loads = {model(10), plain(20)};

	w.run(5000 * MS, loads);
	for (auto &r : w.runners)
		r.gone = r.zone == "zone-0";
	w.run(1000 * MS, loads);
	w.run(10000 * MS, {model(30), plain(80)});
	EXPECT_GE((double)w.of_domain[0].on_time,
		  0.9 * (double)w.of_domain[0].asked);
	w.run(3000 * MS, loads);
	w.of_domain[0] = {};
	Result r = w.run(10000 * MS, loads);
	EXPECT_EQ(r.refused, 0u);
	EXPECT_EQ(w.of_domain[0].left, w.of_domain[0].asked);
	EXPECT_GE((double)w.of_domain[0].on_time,
		  0.98 * (double)w.of_domain[0].asked);
	for (auto &r : w.runners)
		r.gone = false;
	w.run(2000 * MS, loads);
	w.of_domain[0] = {};
	w.run(10000 * MS, loads);
	EXPECT_LE(w.of_domain[0].left, w.of_domain[0].asked / 50);
}

// Loaded domains keep places from requests that can be served at home, and not from
// those whose model no runner there has: these would be refused for as long as it lasts.
TEST(Spill, RequestsThatHomeCannotServeAreNotKeptAway)
{
	Domains w(4, 0);

	for (auto &r : w.runners)
		r.has_model = r.zone != "zone-0";
	w.run(1000 * MS, {});
	w.take_over();
	w.run(10000 * MS, {model(40)});
	for (auto &o : w.of_domain)
		o = {};
	w.run(20000 * MS, {model(40)});
	EXPECT_GE((double)w.of_domain[0].on_time / (double)w.of_domain[0].asked,
		  0.9 * (double)w.of_domain[1].on_time /
			  (double)w.of_domain[1].asked);
}

// A new dispatcher, and one that was paused, know nothing of the waits: old shares
// would send requests into domains that are loaded by now.
TEST(Spill, ATakeoverAndAPauseBeginAtHome)
{
	Domains w(4, 0);

	w.weight = {{0, 2.5}};
	w.run(8000 * MS, {model(30)});
	EXPECT_GT(w.share("llm", 0), 0);
	w.take_over();
	w.run(200 * MS, {model(30)});
	EXPECT_EQ(w.share("llm", 0), 0);
	w.run(8000 * MS, {model(30)});
	EXPECT_GT(w.share("llm", 0), 0);
	w.now += 10000 * MS;
	w.run(TICK_US, {});
	EXPECT_LE(w.share("llm", 0), 0.2);
}

// Isolated daemons know their own grants only, and each has a share of the places.
TEST(Spill, IsolatedDaemonsStayAtHomeUntilItIsFull)
{
	Domains w(4, 1);

	w.take_over(4);
	w.weight = {{1, 0}, {2, 0}, {3, 0}};
	Result light = w.run(10000 * MS, {model(6), plain(10)});
	Result heavy = w.run(10000 * MS, {model(30), plain(60)});
	EXPECT_LE(light.left, light.asked / 20);
	EXPECT_GT(heavy.left, heavy.asked / 10);
	EXPECT_GE((double)heavy.on_time, 0.95 * (double)heavy.asked);
}

// The shares are decided four times a second: a burst between two decisions must not
// wait for the next one.
TEST(Spill, RequestsThatWouldBeLateAtHomeLeaveAtOnce)
{
	Domains w(2, 1);
	uint64_t before = counter_get(CTR_SPILL_LEFT_HOME_FULL);

	w.run(2000 * MS, {});
	w.burst(model(0), 0, 60);
	w.burst(plain(0), 0, 60);
	EXPECT_EQ(w.share("llm", 0), 0);
	EXPECT_GT(counter_get(CTR_SPILL_LEFT_HOME_FULL), before + 30);
	EXPECT_LE(w.run(3000 * MS, {}).refused, 60u);
}

// Crossing is cheaper than any load, however the adapter's runner is loaded: a price for
// leaving that grows with the load would have a second copy loaded at home.
TEST(Spill, AnAdapterThatIsReadyElsewhereIsNotLoadedAtHome)
{
	World w(1, {}, fleet_of(2));
	uint64_t before = counter_get(CTR_SPILL_LEFT_ADAPTER);

	w.run(1000 * MS, 0);
	w.ask("x");
	w.run(3000 * MS, 0);
	std::string holder = w.runners[0].adapters.empty() ? "i-1" : "i-0";
	runner_t *r = fleet_find(w.d, view(holder));
	str_free(&r->zone);
	r->zone = str_copy(STR("zone-b"));
	for (int i = 0; i < 40; i++) {
		uint64_t id = w.ask("x", 800 * MS, 8000 * MS, 100);

		w.run(100 * MS, 0);
		EXPECT_EQ(w.requests[id].runner, holder);
	}
	EXPECT_EQ(w.loads, 1u);
	EXPECT_EQ(counter_get(CTR_SPILL_LEFT_ADAPTER) - before, 40u);
}

// A domain whose runners answer with errors is left, share or not.
TEST(Spill, FailingRunnersAtHomeAreLeft)
{
	World w(1, {}, fleet_of(2));
	runner_t *r;
	size_t n = 0;

	w.run(1000 * MS, 0);
	r = fleet_find(w.d, STR("i-1"));
	str_free(&r->zone);
	r->zone = str_copy(STR("zone-b"));
	w.runners[0].fails = true;
	for (int i = 0; i < 40; i++) {
		uint64_t id = w.ask("");

		w.run(100 * MS, 0);
		n += w.requests[id].runner == "i-1";
	}
	EXPECT_GE(n, 30u);
}

// A long way costs more than it saves: it has to be learnt, from answers that differ by
// much more than the way itself.
TEST(Spill, TheTimeThereAndBackIsLearnt)
{
	Domains w(4, 1);

	w.path_us = 40 * MS;
	w.weight = {{0, 2.5}};
	w.run(20000 * MS, {model(40), plain(80)});
	for (const char *s : {"llm", "app"}) {
		int64_t us = spill_path_us(w.d->spill, str_c(s), STR("zone-0"),
					   STR("zone-1"));
		EXPECT_GE(us, 25 * MS) << s;
		EXPECT_LE(us, 55 * MS) << s;
	}
}

} // namespace
