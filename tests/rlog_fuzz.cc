// The replicated log alone, with its messages in any order: each step delivers,
// repeats or drops any message in flight, advances one host's clock, proposes a
// record, lets a host crash at a coming sync, or restarts it. The oracle is the
// first record that any host applied at each index: all hosts must apply the
// same there, and no term may have two leaders.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>

#include "fuzz_disk.h"
#include "rlog.h"

namespace
{

constexpr int64_t HEARTBEAT_US = 100;
constexpr int64_t ELECTION_US = 1000;

struct Message {
	host_id_t from, to;
	std::string bytes;
};

struct Applied {
	uint64_t term;
	uint32_t kind;
	std::string data;
	bool operator==(const Applied &o) const
	{
		return term == o.term && kind == o.kind && data == o.data;
	}
};

class World;

struct Host {
	World *world;
	host_id_t id;
	std::unique_ptr<FuzzDisk> disk;
	rlog_t *log = nullptr;
	int64_t now_us = 1000000;
	bool crashing = false; // a sync failed: it stops after the call
	uint64_t applied = 0;
};

class World
{
      public:
	World(size_t n, uint64_t seed, uint64_t snapshot_entries)
	    : rng(seed), snapshot_entries_(snapshot_entries)
	{
		for (size_t i = 1; i <= n; i++) {
			auto h = std::make_unique<Host>();
			h->world = this;
			h->id = (host_id_t)i;
			h->disk = std::make_unique<FuzzDisk>(rng() | 1);
			hosts.push_back(std::move(h));
		}
		for (auto &h : hosts)
			start(*h);
	}

	~World()
	{
		for (auto &h : hosts)
			rlog_free(h->log);
	}

	void start(Host &h)
	{
		static const rlog_ops_t ops = {on_send,	   on_apply,
					       on_save,	   on_load,
					       on_changed, on_voter_allowed};
		std::vector<host_id_t> ids;
		rlog_cfg_t cfg = {};
		wal_err_t err = {};

		for (auto &x : hosts)
			ids.push_back(x->id);
		cfg.self = h.id;
		cfg.voters = ids.data();
		cfg.n_voters = ids.size();
		cfg.seed = rng();
		cfg.heartbeat_us = HEARTBEAT_US;
		cfg.election_us = ELECTION_US;
		cfg.snapshot_entries = snapshot_entries_;
		h.crashing = false;
		h.applied = 0;
		h.disk->on_sync = nullptr;
		h.log = rlog_new(&cfg, &ops, &h, h.disk->open(), h.now_us,
				 &err);
		if (!h.log)
			add_violation("a log does not load");
	}

	void stop(Host &h)
	{
		rlog_free(h.log);
		h.log = nullptr;
		h.disk->crash(rng);
	}

	void restart(Host &h)
	{
		if (h.log)
			stop(h);
		start(h);
	}

	// Lets the host crash at a sync, after so many that succeed.
	void crash_at_sync(Host &h, int after)
	{
		auto left = std::make_shared<int>(after);

		h.disk->on_sync = [&h, left] {
			if ((*left)-- > 0)
				return true;
			h.crashing = true;
			return false;
		};
	}

	void tick(Host &h, int64_t us)
	{
		h.now_us += us;
		if (h.log)
			rlog_tick(h.log, h.now_us);
		after_call(h);
	}

	void propose(Host &h)
	{
		std::string data = "r" + std::to_string(next_value_++);

		if (!h.log || !rlog_is_leader(h.log))
			return;
		rlog_propose(h.log, ENTRY_CLAIM, view(data));
		rlog_flush(h.log, h.now_us);
		after_call(h);
	}

	void deliver(size_t i, bool repeat)
	{
		if (in_flight.empty())
			return;
		i %= in_flight.size();
		Message p = in_flight[i];
		if (!repeat) {
			in_flight[i] = in_flight.back();
			in_flight.pop_back();
		}
		Host &h = *hosts[p.to - 1];
		if (!h.log)
			return;
		Peer__Msg *m =
			peer__msg__unpack(nullptr, p.bytes.size(),
					  (const uint8_t *)p.bytes.data());
		rlog_recv(h.log, p.from, m, h.now_us);
		peer__msg__free_unpacked(m, nullptr);
		after_call(h);
	}

	void drop(size_t i)
	{
		if (in_flight.empty())
			return;
		in_flight[i % in_flight.size()] = in_flight.back();
		in_flight.pop_back();
	}

	// Restarts what has failed and delivers all messages in order and at
	// once. Returns true once every host has applied the same records, or a
	// check has failed; false where that takes too long.
	bool settle()
	{
		for (auto &h : hosts)
			if (!h->log || rlog_role(h->log) == RLOG_FAILED ||
			    h->disk->on_sync)
				restart(*h);
		in_flight.clear();
		for (int round = 0; round < 2000; round++) {
			for (auto &h : hosts)
				tick(*h, HEARTBEAT_US / 2);
			for (size_t n = in_flight.size(); n; n--) {
				Message first = in_flight.front();
				in_flight.erase(in_flight.begin());
				in_flight.push_back(first);
				deliver(in_flight.size() - 1, false);
			}
			if (round % 40 == 0)
				for (auto &h : hosts)
					propose(*h);
			uint64_t last_applied =
				first_applied.empty()
					? 0
					: first_applied.rbegin()->first;
			bool settled = round > 100;
			for (auto &h : hosts)
				settled &= h->applied == last_applied;
			if (settled || !violations.empty())
				return true;
		}
		return false;
	}

	void add_violation(const std::string &what)
	{
		violations.push_back(what);
	}

	std::mt19937_64 rng;
	std::vector<std::unique_ptr<Host>> hosts;
	std::vector<Message> in_flight;
	std::map<uint64_t, Applied> first_applied;
	std::map<uint64_t, host_id_t> leaders; // by term
	std::vector<std::string> violations;

      private:
	static Host *self(void *ctx)
	{
		return static_cast<Host *>(ctx);
	}

	// Checks for a second leader, and ends a crash that began inside a
	// callback.
	void after_call(Host &h)
	{
		if (h.log && rlog_is_leader(h.log) && !h.crashing) {
			auto at = leaders.emplace(rlog_term(h.log), h.id);
			if (at.first->second != h.id)
				add_violation("two leaders in one term");
		}
		if (h.crashing)
			stop(h);
		h.crashing = false;
	}

	static void on_send(void *ctx, host_id_t to, const Peer__Msg *m)
	{
		Host *h = self(ctx);
		std::string bytes(peer__msg__get_packed_size(m), '\0');

		peer__msg__pack(m, (uint8_t *)&bytes[0]);
		if (!h->crashing && h->world->in_flight.size() < 300)
			h->world->in_flight.push_back({h->id, to, bytes});
	}

	static int on_apply(void *ctx, const wal_rec_t *rec)
	{
		Host *h = self(ctx);
		Applied a = {rec->term, rec->kind, text(rec->data)};

		if (h->crashing)
			return 0;
		if (rec->index != h->applied + 1)
			h->world->add_violation("a record was skipped");
		h->applied = rec->index;
		auto at = h->world->first_applied.emplace(rec->index, a);
		if (!(at.first->second == a))
			h->world->add_violation("index " +
						std::to_string(rec->index) +
						" has two different records");
		return 0;
	}

	static void on_save(void *ctx, buf_t *out)
	{
		buf_put(out, &self(ctx)->applied, sizeof(uint64_t));
	}

	static int on_load(void *ctx, uint64_t index, str_t bytes)
	{
		Host *h = self(ctx);
		uint64_t applied;

		memcpy(&applied, bytes.p, sizeof(applied));
		if (applied != index || index < h->applied)
			h->world->add_violation(
				"a snapshot has a wrong index or goes back");
		h->applied = index;
		return 0;
	}

	static void on_changed(void *)
	{
	}

	static bool on_voter_allowed(void *, host_id_t)
	{
		return true;
	}

	uint64_t snapshot_entries_;
	uint64_t next_value_ = 0;
};

struct Step {
	int kind;
	uint32_t a, b; // a picks the host; the meaning of b depends on kind
};

void showValue(const Step &s, std::ostream &os)
{
	os << s.kind << "(" << s.a << "," << s.b << ")";
}

void run_step(World &w, const Step &s)
{
	Host &h = *w.hosts[s.a % w.hosts.size()];

	if (s.kind < 30)
		w.deliver(s.b, false);
	else if (s.kind < 34)
		w.deliver(s.b, true);
	else if (s.kind < 42)
		w.drop(s.b);
	else if (s.kind < 58)
		w.tick(h, (int64_t)(s.b % 1500));
	else if (s.kind < 66)
		w.propose(h);
	else if (s.kind < 67 && h.log)
		w.crash_at_sync(h, (int)(s.b % 4));
	else if (s.kind < 70)
		w.restart(h);
}

} // namespace

namespace rc
{
template <>
struct Arbitrary<Step> {
	static Gen<Step> arbitrary()
	{
		return gen::build<Step>(
			gen::set(&Step::kind, gen::inRange(0, 70)),
			gen::set(&Step::a, gen::inRange(0u, 100u)),
			gen::set(&Step::b, gen::inRange(0u, 3000u)));
	}
};
} // namespace rc

RC_GTEST_PROP(RlogFuzz, HostsApplyTheSameRecordsInAnyOrderOfMessages, ())
{
	size_t n = *rc::gen::element<size_t>(3, 3, 5);
	uint64_t seed = *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
	World w(n, seed, *rc::gen::element<uint64_t>(4, 20, 1000));
	auto steps =
		*rc::gen::scale(8, rc::gen::arbitrary<std::vector<Step>>());

	w.settle();
	for (auto &s : steps) {
		run_step(w, s);
		if (!w.violations.empty())
			break;
	}
	bool settled = w.settle();
	for (auto &p : w.violations)
		RC_LOG() << p << std::endl;
	RC_ASSERT(w.violations.empty());
	RC_ASSERT(settled);
}
