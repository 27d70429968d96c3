// What is learnt of a runner's speed, and the pauses of streams at model runners
// that prefill prompts in chunks between decoding steps.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "dispatch_int.h"
#include "event_gaps.h"
#include "log.h"
}

namespace
{

constexpr int64_t MS = USEC_PER_MSEC;
constexpr int64_t PAUSE_MAX = 300 * MS;
constexpr int64_t OBJECTIVE = 1000 * MS;
constexpr host_id_t ENTRY = 7;
constexpr uint32_t CHUNK = 4096;
// A few adapters are popular, and most are rare: the first of N_ADAPTERS gets about
// 1 / (HOT * log(N_ADAPTERS / HOT)) of the requests.
constexpr double N_ADAPTERS = 100;
constexpr double HOT = 10;

struct Stream {
	uint64_t id;
	uint32_t prompt, output;
	std::string adapter;
	int64_t asked_us, sent_us = 0, first_us = 0;
	uint32_t prefix = 0; // id of the shared part
	uint32_t left = 0;   // of the prompt, to be prefilled
	uint32_t produced = 0;
	event_gaps_t gaps = {};
	bool refused = false, done = false, queued = false;
	bool new_entry = false; // its entry sends the new fields
	size_t runner = 0;
};

struct Engine {
	std::string id;
	double speed;
	double slow = 1; // factor on all times
	std::deque<uint64_t> prompts;
	std::set<uint64_t> decoding;
	std::set<std::string> adapters;
	std::set<std::pair<std::string, uint32_t>> prefixes;
	int64_t step_end_us = 0; // 0: idle
	std::vector<uint64_t> step_prefilled;
	std::set<uint64_t> step_decoded;
	uint64_t seq = 0;
	size_t n_requests = 0;
};

// A dispatcher with model runners of several speeds, and an entry.
class World
{
      public:
	// new_share: of the requests, those that come from newer entries.
	World(const std::vector<double> &speeds, double new_share,
	      uint64_t seed = 1, double noise = 0.08)
	    : new_share(new_share), noise(noise), rng(seed), step_rng(seed)
	{
		static const dispatch_ops_t ops = {on_send, on_order, on_report,
						   [](void *, str_t, str_t) {}};
		dispatch_cfg_t cfg = {ENTRY, STR("host-1"),    0, 0.2,
				      64,    10 * USEC_PER_SEC};

		log_set_level(LOG_ERR);
		for (double s : speeds)
			add_engine(s);
		for (size_t i = 0; i < engines.size() * 9; i++)
			engines[rng() % engines.size()].adapters.insert(
				"a" + std::to_string(i));
		manifest = manifest_new();
		service_t *s = manifest_add_service(manifest);
		s->name = str_copy(STR("llm"));
		s->engine = true;
		s->slots = 16;
		s->kv_tokens = 71000;
		s->adapter_slots = 10;
		s->loads_per_s = 3;
		model_spec_t *m = service_add_model(s);
		m->name = str_copy(STR("base"));
		m->load_us = 1000 * MS;
		d = dispatch_new(&cfg, &ops, this);
		dispatch_begin(d, 1, true, now);
		tables = decided_new();
		dispatch_set_tables(d, manifest, tables);
		run(100, 0);
	}
	~World()
	{
		dispatch_free(d);
		manifest_unref(manifest);
		decided_unref(tables);
	}
	void add_engine(double speed)
	{
		Engine e;

		e.id = "i-" + std::to_string(engines.size());
		e.speed = speed;
		engines.push_back(e);
	}
	// Another dispatcher takes over; the entry names the places in use.
	void take_over()
	{
		dispatch_begin(d, 2, true, now);
		dispatch_set_tables(d, manifest, tables);
		send_list();
		for (auto &i : streams) {
			if (!i.second.queued || i.second.done)
				continue;
			Dispatch__Held m = DISPATCH__HELD__INIT;
			Dispatch__Msg msg = DISPATCH__MSG__INIT;

			m.id = i.first;
			m.runner = bytes(engines[i.second.runner].id.c_str());
			msg.body_case = DISPATCH__MSG__BODY_HELD;
			msg.held = &m;
			dispatch_recv(d, ENTRY, &msg, now);
		}
	}
	// Callers send per_s requests a second for ms milliseconds.
	void run(int64_t ms, double per_s)
	{
		for (int64_t end = now + ms * MS; now < end;) {
			now += MS;
			for (auto it = later.begin();
			     it != later.end() && it->first <= now;
			     it = later.erase(it))
				it->second();
			for (auto &e : engines)
				while (e.step_end_us && e.step_end_us <= now)
					end_step(e);
			if (now % (500 * MS) == 0)
				send_list();
			if (uniform() < per_s / 1000)
				ask_any();
			dispatch_set_lease(d, now + 1000 * MS);
			dispatch_tick(d, now);
		}
	}
	uint64_t ask(uint32_t prompt, uint32_t output,
		     const std::string &adapter = "", uint32_t priority = 0,
		     uint32_t prefix = 0)
	{
		Dispatch__Ask a = DISPATCH__ASK__INIT;
		Dispatch__Msg msg = DISPATCH__MSG__INIT;
		Dispatch__PromptPart part = DISPATCH__PROMPT_PART__INIT;
		Dispatch__PromptPart *parts[] = {&part};
		uint64_t id = ++n_asked;

		streams[id] = {id, prompt, output, adapter, now};
		streams[id].prefix = prefix;
		a.id = id;
		a.service = bytes("llm");
		a.model = bytes("base");
		a.zone = bytes("zone-a");
		a.adapter = {adapter.size(), (uint8_t *)adapter.data()};
		a.tokens_in = prompt;
		a.tokens_out = output;
		a.priority = priority;
		a.target_us = OBJECTIVE;
		a.left_us = 15 * USEC_PER_SEC;
		part.id = prefix;
		part.tokens = 350;
		a.parts = parts;
		a.n_parts = prefix != 0;
		streams[id].new_entry =
			(double)(id * 7919 % 100) < new_share * 100;
		if (streams[id].new_entry) {
			a.event_gap_us = PAUSE_MAX;
			a.tokens_out_hint = output;
		}
		msg.body_case = DISPATCH__MSG__BODY_ASK;
		msg.ask = &a;
		dispatch_recv(d, ENTRY, &msg, now);
		return id;
	}
	const runner_speed_t *speed(size_t i)
	{
		return runner_speed_find(
			fleet_find(d, str_c(engines[i].id.c_str())),
			copy_key(STR("base"), str_n(NULL, 0)));
	}
	// Of the streams asked for since from_us.
	struct Result {
		double n = 0, paused = 0, late = 0, refused = 0, on_time = 0;
		int64_t first_median_ms = 0;
	};
	Result result(int64_t from_us)
	{
		Result r;
		std::vector<int64_t> first;

		for (auto &i : streams) {
			const Stream &s = i.second;

			if (s.asked_us < from_us || !(s.done || s.refused))
				continue;
			bool late = s.first_us - s.asked_us > OBJECTIVE;
			bool paused = s.gaps.longest_us > PAUSE_MAX;

			r.n++;
			r.refused += s.refused;
			r.paused += !s.refused && paused;
			r.late += !s.refused && late;
			r.on_time += !s.refused && !late && !paused;
			if (!s.refused)
				first.push_back(s.first_us - s.asked_us);
		}
		std::sort(first.begin(), first.end());
		if (!first.empty())
			r.first_median_ms = first[first.size() / 2] / MS;
		return r;
	}

	std::vector<Engine> engines;
	std::map<uint64_t, Stream> streams;
	int64_t now = USEC_PER_SEC;
	size_t loads = 0;

      private:
	double new_share;
	double noise;
	std::mt19937_64 rng;	  // of the callers
	std::mt19937_64 step_rng; // of the runners
	dispatch_t *d;
	manifest_t *manifest;
	decided_t *tables;
	uint64_t n_asked = 0;
	std::multimap<int64_t, std::function<void()>> later;

	static ProtobufCBinaryData bytes(const char *s)
	{
		return {strlen(s), (uint8_t *)s};
	}
	double uniform()
	{
		return std::uniform_real_distribution<>(0, 1)(rng);
	}
	static double lognormal(std::mt19937_64 &rng, double mean, double sigma)
	{
		return std::lognormal_distribution<>(
			log(mean) - sigma * sigma / 2, sigma)(rng);
	}
	// Long and short prompts in the proportions of the plan's deployment B.
	void ask_any()
	{
		bool is_long = uniform() < 0.65;
		auto a = "a" +
			 std::to_string((size_t)(HOT * pow(N_ADAPTERS / HOT + 1,
							   uniform()) -
						 HOT));
		double prompt = is_long ? lognormal(rng, 1460, 0.5)
					: lognormal(rng, 646, 0.3);
		double output = is_long ? lognormal(rng, 172, 0.8)
					: lognormal(rng, 68, 0.5);

		ask((uint32_t)std::clamp(prompt, 400.0, 4000.0),
		    (uint32_t)std::clamp(output, 12.0, 1500.0), a, is_long,
		    1 + (uint32_t)(uniform() * 20));
	}
	runner_info_t info_of(const Engine &e)
	{
		runner_info_t info = {};

		info.id = str_copy(str_c(e.id.c_str()));
		info.service = str_copy(STR("llm"));
		info.addr = str_copy(STR("10.9.0.1:80"));
		info.zone = str_copy(STR("zone-a"));
		info.start_time_ms = 1;
		info.slots = 16;
		info.models_known = true;
		info.models =
			(runner_model_t *)xcalloc(1, sizeof(runner_model_t));
		info.models[0].name = str_copy(STR("base"));
		info.models[0].version = 1;
		info.n_models = 1;
		info.adapters = (runner_adapter_t *)xcalloc(
			e.adapters.size() + 1, sizeof(runner_adapter_t));
		for (auto &a : e.adapters) {
			runner_adapter_t *to =
				&info.adapters[info.n_adapters++];

			to->model = str_copy(STR("base"));
			to->adapter = str_copy(str_c(a.c_str()));
			to->version = 1;
		}
		info.seq_known = true;
		info.seq = e.seq;
		return info;
	}
	void send_list()
	{
		runner_list_t list = {};

		list.rows = (runner_info_t *)xcalloc(engines.size(),
						     sizeof(runner_info_t));
		for (auto &e : engines)
			list.rows[list.n++] = info_of(e);
		dispatch_set_runners(d, &list, now);
		runner_list_free(&list);
	}
	size_t index_of(str_t id)
	{
		return std::stoul(std::string(id.p + 2, id.n - 2));
	}
	void in(int64_t us, std::function<void()> fn)
	{
		later.emplace(now + us, fn);
	}
	static void on_order(void *ctx, str_t id, str_t,
			     const runner_order_t *o)
	{
		World *w = (World *)ctx;
		size_t at = w->index_of(id);
		std::string a(o->adapter.p, o->adapter.n);
		bool load = o->load;

		w->loads += load;
		w->in(MS, [=] {
			Engine &e = w->engines[at];

			e.seq++;
			if (!load)
				e.adapters.erase(a);
			dispatch_order_result(
				w->d, str_c(e.id.c_str()),
				load ? ORDER_ACCEPTED : ORDER_DONE, w->now);
		});
		if (load)
			w->in(240 * MS,
			      [=] { w->engines[at].adapters.insert(a); });
	}
	static void on_report(void *ctx, str_t id, str_t)
	{
		World *w = (World *)ctx;
		size_t at = w->index_of(id);

		w->in(2 * MS, [=] {
			runner_info_t info = w->info_of(w->engines[at]);

			dispatch_runner_report(w->d, info.id, &info, w->now);
			runner_info_free(&info);
		});
	}
	static void on_send(void *ctx, host_id_t, const Dispatch__Msg *msg)
	{
		World *w = (World *)ctx;

		if (msg->body_case == DISPATCH__MSG__BODY_REFUSAL)
			w->streams[msg->refusal->id].refused = true;
		if (msg->body_case != DISPATCH__MSG__BODY_GRANT)
			return;
		uint64_t id = msg->grant->id;
		size_t at = w->index_of(pb_str(msg->grant->runner));

		w->in(2 * MS, [=] { w->start(id, at); });
	}
	void start(uint64_t id, size_t at)
	{
		Stream &s = streams[id];
		Engine &e = engines[at];

		if (s.queued)
			return;
		s.queued = true;
		s.runner = at;
		s.sent_us = now - MS;
		s.left = s.prompt - (e.prefixes.count({s.adapter, s.prefix})
					     ? std::min(s.prompt, 350u)
					     : 0);
		if (s.prefix)
			e.prefixes.insert({s.adapter, s.prefix});
		e.n_requests++;
		e.prompts.push_back(id);
		if (!e.step_end_us)
			begin_step(e, now);
	}
	// Up to CHUNK prompt tokens, and a token of each running stream.
	void begin_step(Engine &e, int64_t at_us)
	{
		uint32_t chunk = 0;

		e.step_prefilled.clear();
		e.step_decoded = e.decoding;
		while (!e.prompts.empty() && chunk < CHUNK) {
			Stream &s = streams[e.prompts.front()];
			uint32_t n = std::min(s.left, CHUNK - chunk);

			s.left -= n;
			chunk += n;
			if (s.left)
				break;
			e.step_prefilled.push_back(s.id);
			e.prompts.pop_front();
		}
		if (!chunk && e.step_decoded.empty() &&
		    e.step_prefilled.empty()) {
			e.step_end_us = 0;
			return;
		}
		double us = (10500 + 60.0 * (double)e.decoding.size() +
			     chunk / 19.2 * 1000) *
			    lognormal(step_rng, 1, noise) * e.slow / e.speed;

		e.step_end_us = at_us + (int64_t)us;
	}
	void end_step(Engine &e)
	{
		int64_t at_us = e.step_end_us;

		for (uint64_t id : e.step_decoded)
			produce(e, streams[id], at_us);
		for (uint64_t id : e.step_prefilled) {
			e.decoding.insert(id);
			produce(e, streams[id], at_us);
		}
		begin_step(e, at_us);
	}
	void produce(Engine &e, Stream &s, int64_t at_us)
	{
		bool ends = ++s.produced >= s.output;

		if (s.produced % 4 && !ends)
			return;
		event_gaps_record(&s.gaps, at_us);
		if (!s.first_us) {
			s.first_us = at_us;
			in(2 * MS, [this, id = s.id] { tell_started(id); });
		}
		if (!ends)
			return;
		s.done = true;
		e.decoding.erase(s.id);
		in(3 * MS, [this, id = s.id] { tell_done(id); });
	}
	void tell_started(uint64_t id)
	{
		Dispatch__Started m = DISPATCH__STARTED__INIT;
		Dispatch__Msg msg = DISPATCH__MSG__INIT;

		m.id = id;
		m.waited_us = streams[id].first_us - streams[id].sent_us;
		msg.body_case = DISPATCH__MSG__BODY_STARTED;
		msg.started = &m;
		dispatch_recv(d, ENTRY, &msg, now);
	}
	void tell_done(uint64_t id)
	{
		Dispatch__Done m = DISPATCH__DONE__INIT;
		Dispatch__Msg msg = DISPATCH__MSG__INIT;
		const event_gaps_t &g = streams[id].gaps;

		m.id = id;
		m.outcome = PLACE_ANSWERED;
		m.pause_permille = (uint32_t)(g.longest_us * 1000 / PAUSE_MAX);
		if (streams[id].new_entry) {
			m.event_gap_us = event_gaps_median(&g);
			m.longest_pause_us = g.longest_us;
			m.pause_ago_us = now - g.longest_end_us;
		}
		msg.body_case = DISPATCH__MSG__BODY_DONE;
		msg.done = &m;
		dispatch_recv(d, ENTRY, &msg, now);
	}
};

const std::vector<double> MIXED = {0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6};

// Learns from a runner of this speed as its streams would show it, n requests.
void teach(runner_speed_t *s, double speed, int n, std::mt19937_64 &rng,
	   int64_t *now)
{
	auto noise = [&] {
		return std::uniform_real_distribution<>(0.9, 1.1)(rng);
	};

	for (int i = 0; i < n; i++) {
		double tokens = 300 + 900 * (i % 4);

		*now += 300 * MS;
		runner_speed_on_first(
			s, (int64_t)((45000 + tokens * 52) / speed * noise()),
			tokens, 0, *now);
		if (i % 2)
			runner_speed_on_gap(
				s, (int64_t)(42000 / speed * noise()), *now);
	}
}

// A day may bring a runner only some tens of requests.
TEST(RunnerSpeed, SpeedsFarFromThePriorAreLearntInAFewRequests)
{
	for (double speed : {0.1, 0.6, 1.0, 1.6, 8.0})
		for (uint64_t seed = 1; seed <= 20; seed++) {
			std::mt19937_64 rng(seed);
			runner_speed_t s;
			int64_t now = USEC_PER_SEC;

			runner_speed_init(&s, 1, now);
			teach(&s, speed, 8, rng, &now);
			EXPECT_NEAR(runner_speed_term(&s, SPEED_TOKEN, now) *
					    speed / 52,
				    1, 0.25)
				<< speed << " seed " << seed;
			EXPECT_NEAR(runner_speed_term(&s, SPEED_GAP, now) *
					    speed / 42000,
				    1, 0.2)
				<< speed << " seed " << seed;
		}
}

// A runner that is believed to be slow gets no large prompt, which alone could show
// that it has recovered: the estimate has to return by itself.
TEST(RunnerSpeed, ASlowPhaseIsFollowedAndForgotten)
{
	std::mt19937_64 rng(1);
	runner_speed_t s;
	int64_t now = USEC_PER_SEC;

	runner_speed_init(&s, 1, now);
	teach(&s, 1, 100, rng, &now);
	teach(&s, 0.2, 6, rng, &now);
	EXPECT_GT(runner_speed_term(&s, SPEED_TOKEN, now), 3 * 52);
	teach(&s, 0.2, 14, rng, &now);
	EXPECT_LT(runner_speed_term(&s, SPEED_TOKEN, now + 6 * USEC_PER_SEC),
		  2 * 52);
	teach(&s, 1, 8, rng, &now);
	EXPECT_LT(runner_speed_term(&s, SPEED_TOKEN, now), 1.4 * 52);
}

// Prompts that fit one by one make the streams pause too long where they are
// prefilled within the steps of one event.
TEST(RunnerSpeed, PromptsGrantedInTheLastMomentsCount)
{
	std::mt19937_64 rng(1);
	prefill_plan_t plan;
	prefills_t p = {};
	runner_speed_t s;
	int64_t now = USEC_PER_SEC;

	runner_speed_init(&s, 1, now);
	teach(&s, 1, 30, rng, &now);
	prefill_plan(&p, &s, 2000, PAUSE_MAX, 1, now, &plan);
	EXPECT_EQ(0, plan.wait_us);
	EXPECT_LT(plan.late_chance_now, 0.01);
	uint64_t one = prefills_add(&p, &s, 2000, now);
	uint64_t two = prefills_add(&p, &s, 2000, now);

	prefill_plan(&p, &s, 2000, PAUSE_MAX, 1, now, &plan);
	EXPECT_GT(plan.late_chance_now, 0.7);
	EXPECT_GT(plan.wait_us, 200 * MS);
	EXPECT_LT(plan.late_chance, 0.01);
	// Without streams that pause, no prompt has to wait.
	prefill_plan(&p, &s, 2000, 0, 1, now, &plan);
	EXPECT_EQ(0, plan.wait_us);
	now += 250 * MS;
	prefills_end(&p, &s, one, true, now);
	prefills_end(&p, &s, two, true, now);
	prefill_plan(&p, &s, 2000, PAUSE_MAX, 1, now + 60 * MS, &plan);
	EXPECT_EQ(0, plan.wait_us);
	EXPECT_EQ(4000, prefills_between(&p, 0, now));
}

// A runner that is behind gets no more prompts; but a message that was lost must not
// keep it from work for as long as its stream runs.
TEST(RunnerSpeed, APromptThatIsNotAnsweredIsForgottenInTime)
{
	int64_t now = USEC_PER_SEC;
	prefill_plan_t plan;
	prefills_t p = {};
	runner_speed_t s;

	runner_speed_init(&s, 1, now);
	prefills_add(&p, &s, 3000, now);
	prefill_plan(&p, &s, 3000, PAUSE_MAX, 1, now + 500 * MS, &plan);
	EXPECT_GT(plan.ahead_us, 100 * MS);
	EXPECT_GT(plan.wait_us, 100 * MS);
	prefill_plan(&p, &s, 1000, PAUSE_MAX, 1, now + 2500 * MS, &plan);
	EXPECT_EQ(0, plan.ahead_us);
	EXPECT_EQ(0, plan.wait_us);
}

TEST(RunnerSpeed, MedianGapIgnoresPausesAndSlowCallers)
{
	event_gaps_t g = {};
	int64_t now = USEC_PER_SEC;

	EXPECT_EQ(0, event_gaps_median(&g));
	for (int i = 0; i < 20; i++) {
		now += i % 5 == 4 ? 200 * MS : 40 * MS;
		if (i == 10)
			event_gaps_skip(&g);
		event_gaps_record(&g, i == 10 ? now += 2000 * MS : now);
	}
	EXPECT_EQ(40 * MS, event_gaps_median(&g));
	EXPECT_EQ(200 * MS, g.longest_us);
	EXPECT_EQ(USEC_PER_SEC + 360 * MS, g.longest_end_us);
}

struct Played {
	World::Result r;
	size_t loads = 0;
};

Played play(double new_share, double per_s)
{
	Played sum;

	for (uint64_t seed = 1; seed <= 4; seed++) {
		World w(MIXED, new_share, seed);

		w.run(3000, per_s);
		int64_t from = w.now;
		size_t loads = w.loads;

		w.run(30000, per_s);
		sum.loads += w.loads - loads;
		w.run(5000, 0);
		World::Result r = w.result(from);

		sum.r.n += r.n;
		sum.r.paused += r.paused;
		sum.r.late += r.late;
		sum.r.refused += r.refused;
		sum.r.on_time += r.on_time;
		sum.r.first_median_ms += r.first_median_ms / 4;
	}
	printf("%3.0f %% new entries, %2.0f/s: %5.0f streams, %.1f %% paused, "
	       "%.1f %% late, %.1f %% on time, first event %lld ms, %zu "
	       "loads\n",
	       new_share * 100, per_s, sum.r.n, sum.r.paused * 100 / sum.r.n,
	       sum.r.late * 100 / sum.r.n, sum.r.on_time * 100 / sum.r.n,
	       (long long)sum.r.first_median_ms, sum.loads);
	return sum;
}

// The load of deployment B, from a quiet day to a busy one, with entries that tell
// the allowed pause and the gaps, and with older ones, which are paced as before.
// More streams are on time, without more loads and without late first events. Where
// the older ones cause nearly as few pauses, they do so by more loads.
TEST(RunnerSpeed, FewerStreamsPauseThanWithEntriesThatTellLess)
{
	for (double per_s : {10.0, 20.0, 30.0, 40.0}) {
		Played before = play(0, per_s);
		Played after = play(1, per_s);

		if (per_s <= 20) {
			EXPECT_LE(after.r.paused, 0.75 * before.r.paused)
				<< per_s;
		}
		EXPECT_LE(after.r.paused, 0.03 * after.r.n) << per_s;
		EXPECT_GE(after.r.on_time, before.r.on_time) << per_s;
		EXPECT_LE(after.r.late, before.r.late) << per_s;
		EXPECT_LE((double)after.loads, 1.05 * (double)before.loads)
			<< per_s;
		EXPECT_LE((double)after.r.first_median_ms,
			  1.1 * (double)before.r.first_median_ms)
			<< per_s;
		EXPECT_GE(before.r.on_time, 0.9 * before.r.n) << per_s;
	}
}

// During an update of the daemons, entries of both versions use the same runners.
TEST(RunnerSpeed, EntriesOfBothVersionsAreServed)
{
	for (double per_s : {10.0, 30.0}) {
		Played p = play(0.5, per_s);

		EXPECT_GE(p.r.on_time, 0.95 * p.r.n) << per_s;
		EXPECT_LE(p.r.refused, 0.002 * p.r.n) << per_s;
	}
}

// A prompt that would make a slow runner's streams pause too long goes to a fast
// runner, or to one where no stream runs, while both kinds have places.
TEST(RunnerSpeed, LargePromptsGoWhereNoStreamPauses)
{
	auto asks = [](World &w, int n) {
		for (int i = 0; i < n; i++) {
			w.ask(i % 4 ? 700 : 3500, 120);
			w.run(70, 0);
		}
	};
	World w({0.6, 0.6, 1.6}, 1);

	asks(w, 40);
	int64_t from = w.now;
	size_t before = w.engines[0].n_requests + w.engines[1].n_requests;

	asks(w, 400);
	w.run(5000, 0);
	World::Result r = w.result(from);

	EXPECT_EQ(400, r.n);
	EXPECT_LE(r.paused, 8);
	EXPECT_GE(r.on_time, 392);
	EXPECT_GE(w.engines[0].n_requests + w.engines[1].n_requests - before,
		  20u);
}

// One of three runners is 5 times slower for 6 s. Its streams pause meanwhile, those
// of the others do not, and later it gets its share of the requests again.
TEST(RunnerSpeed, ARunnerThatRecoversGetsWorkAgain)
{
	for (double per_s : {2.0, 12.0}) {
		World w({1, 1, 1}, 1);
		auto asks = [&](int64_t ms) {
			for (int64_t t = 0; t < ms;
			     t += (int64_t)(1000 / per_s)) {
				w.ask(1100, 120);
				w.run((int64_t)(1000 / per_s), 0);
			}
		};

		asks(15000);
		w.engines[1].slow = 5;
		asks(1000);
		size_t before = w.engines[1].n_requests;

		asks(5000);
		EXPECT_LE(w.engines[1].n_requests - before,
			  (size_t)(5 * per_s / 3))
			<< per_s;
		w.engines[1].slow = 1;
		asks(4000);
		before = w.engines[1].n_requests;
		int64_t from = w.now;

		asks(15000);
		w.run(4000, 0);
		EXPECT_GE((double)(w.engines[1].n_requests - before),
			  15 * per_s / 3 * 0.6)
			<< per_s;
		EXPECT_EQ(w.result(from).on_time, w.result(from).n) << per_s;
	}
}

// Nothing is known of a new runner, and after a takeover of any: both are used from
// the beginning, and their streams do not pause for that.
TEST(RunnerSpeed, UnknownRunnersGetWork)
{
	World w({1, 1}, 1);

	for (int i = 0; i < 100; i++) {
		w.ask(1100, 120);
		w.run(80, 0);
	}
	w.add_engine(1);
	w.run(1000, 0);
	int64_t from = w.now;

	for (int i = 0; i < 200; i++) {
		w.ask(1100, 120);
		w.run(80, 0);
		if (i == 100)
			w.take_over();
	}
	w.run(5000, 0);
	EXPECT_GE(w.engines[2].n_requests, 20u);
	EXPECT_EQ(0, w.result(from).refused);
	EXPECT_LE(w.result(from).paused, 4);
}

} // namespace
