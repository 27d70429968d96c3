// Histories of faults against the real state cores. The oracle is the plain
// list of changes that were acknowledged.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "state_net.h"

enum StepKind {
	PROPOSE,
	RACE,
	RESEND,
	BURST,
	TAKE,
	ANSWER,
	CRASH,
	CRASH_AT_SYNC,
	FAIL_SYNC,
	RESTART,
	WIPE,
	WIPE_AFTER_ACK,
	RESTART_ALL,
	ISOLATE,
	SPLIT,
	ONE_WAY,
	HEAL,
	PAUSE,
	LEAVE,
	LOSSY,
	RUN_SHORT,
	RUN_LONG,
	STEP_KINDS
};

struct Step {
	int kind;
	uint32_t a, b;
};

static const char *const step_names[] = {
	"propose",   "race",	       "resend",	"burst",     "take",
	"answer",    "crash",	       "crash_at_sync", "fail_sync", "restart",
	"wipe",	     "wipe_after_ack", "restart_all",	"isolate",   "split",
	"one_way",   "heal",	       "pause",		"leave",     "lossy",
	"run_short", "run_long",
};

static void showValue(const Step &s, std::ostream &os)
{
	os << step_names[s.kind] << "(" << s.a << "," << s.b << ")";
}

namespace rc
{
template <>
struct Arbitrary<Step> {
	static Gen<Step> arbitrary()
	{
		return gen::build<Step>(
			gen::set(&Step::kind, gen::inRange(0, (int)STEP_KINDS)),
			gen::set(&Step::a, gen::inRange(0u, 60u)),
			gen::set(&Step::b, gen::inRange(0u, 60u)));
	}
};
} // namespace rc

static constexpr int64_t SEC = 1000000;
// From the end of all faults until everything is in force everywhere.
static constexpr int64_t RECOVER_US = 20 * SEC;
// From the proposal of a change until it is in force everywhere, no faults.
static constexpr int64_t IN_FORCE_US = 2 * SEC;

class History
{
      public:
	explicit History(const Net::Options &o) : net(o)
	{
		net.on_change = [this](Daemon &) { check_owners(); };
		net.on_event = [this] { check_fresh(); };
		net.on_outcome = [this](const Change &c) {
			if (c.out.status == CHANGE_DECIDED)
				acknowledge(c.id, c.out.revision);
		};
		net.start_all();
		net.run_until(10 * SEC, [&] { return net.leader(); });
		set_up();
	}

	void run(const std::vector<Step> &steps)
	{
		for (auto &s : steps) {
			step(s);
			if (!net.problems.empty())
				return;
		}
		recover();
		if (net.problems.empty())
			compare();
	}

	Net net;

      private:
	void set_up()
	{
		ChangeBuilder b("hosts", 0);
		for (auto &d : net.daemons)
			b.host("host" + std::to_string(d->id),
			       7000 + 2 * (int)d->id);
		for (int i = 0; i < 5; i++)
			b.target("t" + std::to_string(i), 9000 + i);
		uint64_t tag = net.propose(1, "hosts", b.pack());
		net.run_until(10 * SEC, [&] { return net.changes[tag].done; });
		if (net.changes[tag].out.status != CHANGE_DECIDED)
			net.problem("set-up was not decided");
		net.run(3 * SEC);
	}

	Daemon &any(uint32_t n)
	{
		return *net.daemons[n % net.daemons.size()];
	}

	Daemon &voter(uint32_t n)
	{
		return *net.daemons[n % (uint32_t)net.opt.voters];
	}

	void propose(Daemon &d, uint64_t base)
	{
		std::string id = "c" + std::to_string(next_id++);
		packed[id] = ChangeBuilder(id, base)
				     .publish("adapter-" + id, 1)
				     .pack();
		submit(d, id);
	}

	void submit(Daemon &d, const std::string &id)
	{
		if (d.st && !d.paused)
			net.propose(d.id, id, packed[id]);
	}

	uint64_t newest() const
	{
		uint64_t r = 0;
		for (auto &d : net.daemons)
			r = std::max(r, d->revision());
		return r;
	}

	static bool status_has(Daemon &d, const char *what)
	{
		buf_t b = {};
		bool has = false;

		if (d.st) {
			state_status(d.st, &b);
			has = strstr(b.p, what) != nullptr;
		}
		buf_free(&b);
		return has;
	}

	// Whether losing one more disk now leaves every decided entry on a
	// quorum: all repairs are over, as the leader and the repaired say.
	bool may_wipe()
	{
		Daemon *l = net.leader();
		if (!l || !status_has(*l, "\"members_settled\":true"))
			return false;
		for (host_id_t w : wiped)
			if (!status_has(net.at(w), "\"votes\":true"))
				return false;
		return count_voters(*l) == net.opt.voters;
	}

	int count_voters(Daemon &l)
	{
		buf_t b = {};
		int n = 1;

		state_status(l.st, &b);
		for (const char *at = strstr(b.p, "\"voters\":["); *at != ']';
		     at++)
			n += *at == ',';
		buf_free(&b);
		return n;
	}

	void step(const Step &s)
	{
		Daemon &d = any(s.a);
		Daemon &v = voter(s.a);
		Daemon &e = any(s.b);

		switch (s.kind) {
		case PROPOSE:
			propose(d, d.revision());
			break;
		case RACE:
			propose(d, newest());
			propose(e, newest());
			break;
		case RESEND:
			if (next_id)
				submit(d, "c" + std::to_string(s.b % next_id));
			break;
		case BURST:
			for (uint32_t i = 0; i < s.b; i++) {
				propose(d, newest());
				net.run(5000);
			}
			break;
		case TAKE:
			if (d.st && !d.paused) {
				std::string h = "h" + std::to_string(next_id++);
				packed[h] = "";
				takes[net.claim(d.id, CLAIM_OP_TAKE, key(s.b),
						h)] = key(s.b);
			}
			break;
		case ANSWER:
			for (auto &c : net.claims)
				if (c.second.outcome == CLAIM_GRANTED &&
				    c.second.op == CLAIM_OP_TAKE && d.st &&
				    !d.paused) {
					net.claim(d.id, CLAIM_OP_ANSWER,
						  c.second.key,
						  c.second.holder);
					break;
				}
			break;
		case CRASH:
			net.stop(d);
			break;
		case CRASH_AT_SYNC:
			arm_crash(v, (int)(s.b % 8));
			break;
		case FAIL_SYNC:
			if (v.st)
				v.disk->on_sync = [] { return false; };
			break;
		case RESTART:
			restart(d);
			break;
		case WIPE:
			if (may_wipe()) {
				wiped.insert(v.id);
				net.wipe(v);
				net.start(v);
			}
			break;
		case WIPE_AFTER_ACK:
			if (may_wipe())
				wipe_after_ack(v, d);
			break;
		case RESTART_ALL:
			for (auto &x : net.daemons)
				net.stop(*x);
			for (auto &x : net.daemons)
				restart(*x);
			break;
		case ISOLATE:
			net.isolate(d.id, true);
			break;
		case SPLIT:
			for (auto &x : net.daemons)
				for (auto &y : net.daemons)
					if (side(x->id, s) != side(y->id, s))
						net.block(x->id, y->id, true);
			break;
		case ONE_WAY:
			net.block(d.id, e.id, true);
			break;
		case HEAL:
			net.heal();
			break;
		case PAUSE:
			d.paused = d.st && !d.paused;
			break;
		case LEAVE:
			if (d.st && !d.paused && !d.voter) {
				state_leave(d.st);
				net.run(200000);
				net.stop(d);
			}
			break;
		case LOSSY:
			net.opt.loss = (s.a % 4) * 0.1;
			net.opt.dup = (s.b % 4) * 0.1;
			net.opt.jitter_us = 500 + (s.b % 5) * 20000;
			break;
		case RUN_SHORT:
			net.run((int64_t)s.a * 10000);
			break;
		case RUN_LONG:
			net.run((int64_t)(s.a + 1) * 100000);
			break;
		}
		net.run((int64_t)(s.b % 10) * 10000);
	}

	// The disk goes in the very moment in which a change is acknowledged.
	void wipe_after_ack(Daemon &v, Daemon &at)
	{
		if (!at.st || at.paused)
			return;
		propose(at, newest());
		uint64_t tag = net.changes.rbegin()->first;

		if (!net.run_until(2 * SEC,
				   [&] { return net.changes[tag].done; }) ||
		    !may_wipe())
			return;
		wiped.insert(v.id);
		net.wipe(v);
		net.start(v);
	}

	static bool side(host_id_t id, const Step &s)
	{
		return (s.a + s.b * 7) >> (id % 6) & 1;
	}

	static std::string key(uint32_t n)
	{
		return "k" + std::to_string(n % 5);
	}

	void arm_crash(Daemon &v, int after)
	{
		if (!v.st)
			return;
		auto left = std::make_shared<int>(after);
		v.disk->on_sync = [&v, left] {
			if ((*left)-- > 0)
				return true;
			v.dying = true;
			return false;
		};
	}

	void restart(Daemon &d)
	{
		if (d.disk)
			d.disk->on_sync = nullptr;
		net.stop(d);
		net.start(d);
	}

	void acknowledge(const std::string &id, uint64_t revision)
	{
		auto at = acked.emplace(revision, id);
		if (at.first->second != id)
			net.problem("revision " + std::to_string(revision) +
				    " is " + at.first->second + " and " + id);
		auto rev = revision_of.emplace(id, revision);
		if (rev.first->second != revision)
			net.problem("change " + id + " has two revisions");
		uint64_t top =
			ack_times.empty() ? 0 : ack_times.rbegin()->second;
		ack_times[net.now_us] = std::max(top, revision);
	}

	// A fresh daemon has in force what was acknowledged a bound ago.
	void check_fresh()
	{
		int64_t bound =
			net.max_staleness_us +
			net.max_staleness_us * net.opt.drift_ppm / 1000000 + 2;
		auto it = ack_times.upper_bound(net.now_us - bound);

		if (it == ack_times.begin())
			return;
		uint64_t must = (--it)->second;
		for (auto &d : net.daemons)
			if (net.fresh(*d) && d->revision() < must)
				net.problem("daemon " + std::to_string(d->id) +
					    " is fresh without revision " +
					    std::to_string(must));
	}

	// At most one daemon within its lease takes itself for the owner.
	void check_owners()
	{
		std::map<target_id_t, host_id_t> owner;

		for (auto &d : net.daemons) {
			if (!net.leased(*d) || !d->tables)
				continue;
			for (size_t i = 0; i < decided_target_count(d->tables);
			     i++) {
				const target_t *t =
					decided_target_at(d->tables, i);
				if (t->owner != d->id)
					continue;
				auto at = owner.emplace(t->id, d->id);
				if (!at.second)
					net.problem("target " +
						    std::to_string(t->id) +
						    " has owners " +
						    std::to_string(
							    at.first->second) +
						    " and " +
						    std::to_string(d->id));
			}
		}
	}

	bool all_settled()
	{
		Daemon *l = net.leader();
		uint64_t top = l ? l->index() : 0;

		if (!l)
			return false;
		for (auto &d : net.daemons)
			if (!net.fresh(*d) || !net.leased(*d) ||
			    d->index() != top)
				return false;
		for (size_t i = 0; i < decided_target_count(l->tables); i++)
			if (!decided_target_at(l->tables, i)->owner)
				return false;
		for (auto &c : net.changes)
			if (!c.second.done)
				return false;
		for (auto &c : net.claims)
			if (!c.second.done)
				return false;
		return true;
	}

	void recover()
	{
		net.heal();
		net.opt.loss = net.opt.dup = 0;
		net.opt.jitter_us = 500;
		for (auto &d : net.daemons) {
			d->paused = false;
			if (d->disk)
				d->disk->on_sync = nullptr;
			buf_t b = {};
			if (d->st)
				state_status(d->st, &b);
			if (!d->st || strstr(b.p, "\"failed\"") ||
			    d->lease_status.lease_until_us == INT64_MIN)
				restart(*d);
			buf_free(&b);
		}
		if (!net.run_until(RECOVER_US, [&] { return all_settled(); })) {
			net.problem("not settled after the faults");
			for (auto &d : net.daemons) {
				buf_t b = {};
				if (d->st)
					state_status(d->st, &b);
				notes += std::string(b.p ? b.p : "") + "\n";
				buf_free(&b);
			}
			return;
		}
		int64_t start = net.now_us;
		propose(*net.daemons.back(), newest());
		uint64_t want = newest() + 1;
		bool ok = net.run_until(IN_FORCE_US, [&] {
			for (auto &d : net.daemons)
				if (d->revision() < want)
					return false;
			return true;
		});
		if (!ok)
			net.problem("not in force within " +
				    std::to_string(net.now_us - start) + " us");
		net.run(3 * SEC);
		ok = net.run_until(3 * SEC, [&] {
			for (auto &d : net.daemons)
				if (d->index() != net.daemons[0]->index())
					return false;
			return true;
		});
		if (!ok)
			net.problem("positions stay apart");
	}

	// The end: what every daemon has in force against the oracle.
	void compare()
	{
		decided_t *d = net.daemons[0]->tables;
		std::map<uint64_t, std::string> final;
		std::set<std::string> decided;
		std::map<std::string, int> certain, others;

		for (uint64_t r = 1; r <= decided_revision(d); r++) {
			const change_row_t *row = decided_change(d, r);
			final[r] = row ? text(row->name) : "";
			if (!decided.insert(final[r]).second)
				net.problem(final[r] + " was decided twice");
		}
		for (auto &a : acked)
			if (final[a.first] != a.second)
				net.problem("acknowledged change " + a.second +
					    " was lost");
		for (auto &c : net.changes) {
			const Outcome &o = c.second.out;
			if (o.status == CHANGE_NO_QUORUM)
				certain[c.second.id]++;
			else
				others[c.second.id]++;
			if (o.status == CHANGE_CONFLICT &&
			    decided.count(c.second.id))
				net.problem(c.second.id +
					    " was refused and decided");
		}
		for (auto &c : certain)
			if (!others[c.first] && decided.count(c.first))
				net.problem(c.first +
					    " was said not to be decided");
		buf_t a = {};
		decided_save(d, &a);
		for (auto &x : net.daemons) {
			buf_t b = {};
			decided_save(x->tables, &b);
			if (!str_eq(buf_str(&a), buf_str(&b)))
				net.problem("daemon " + std::to_string(x->id) +
					    " has other tables");
			buf_free(&b);
		}
		buf_free(&a);
		compare_claims();
	}

	void compare_claims()
	{
		std::map<std::string, std::set<std::string>> granted;
		std::map<std::string, int> maybe;

		for (auto &t : takes) {
			const ClaimDone &c = net.claims[t.first];
			if (c.outcome == CLAIM_GRANTED)
				granted[c.key].insert(c.holder);
			if (c.outcome != CLAIM_NOT_APPLIED)
				maybe[c.key]++;
		}
		for (auto &g : granted)
			if (g.second.size() > 1)
				net.problem("claim " + g.first +
					    " was granted to two holders");
		for (auto &t : takes) {
			std::string k = t.second;
			uint64_t tag =
				net.claim(1, CLAIM_OP_TAKE, k, "last-" + k);
			net.run_until(5 * SEC,
				      [&] { return net.claims[tag].done; });
			claim_outcome_t o = net.claims[tag].outcome;
			if (!maybe[k] && o != CLAIM_GRANTED)
				net.problem("claim " + k +
					    " was said not to be taken");
			if (granted.count(k) && o == CLAIM_GRANTED)
				net.problem("claim " + k + " was lost");
		}
	}

      public:
	std::string notes;

      private:
	std::map<std::string, std::string> packed;
	std::map<uint64_t, std::string> takes;
	std::map<uint64_t, std::string> acked; // by revision
	std::map<std::string, uint64_t> revision_of;
	std::map<int64_t, uint64_t> ack_times;
	std::set<host_id_t> wiped;
	uint64_t next_id = 0;
};

static void check_history(const Net::Options &o, const std::vector<Step> &steps)
{
	History h(o);

	h.run(steps);
	for (auto &p : h.net.problems)
		RC_LOG() << p << std::endl;
	if (!h.net.problems.empty())
		RC_LOG() << h.notes;
	RC_ASSERT(h.net.problems.empty());
}

RC_GTEST_PROP(StateFuzz, ThreeVoters, (std::vector<Step> steps))
{
	Net::Options o;

	o.seed = *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
	o.learners = *rc::gen::inRange(1, 5);
	o.drift_ppm = *rc::gen::element(0u, 10000u, 50000u);
	o.snapshot_entries = *rc::gen::element(8u, 64u, 1000u);
	check_history(o, steps);
}

RC_GTEST_PROP(StateFuzz, FiveVoters, (std::vector<Step> steps))
{
	Net::Options o;

	o.seed = *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
	o.voters = 5;
	o.learners = 1;
	o.snapshot_entries = *rc::gen::element(8u, 64u);
	check_history(o, steps);
}

// Hosts with a disk that join, and take the place of voters that stay away.
RC_GTEST_PROP(StateFuzz, SparesTakeOver, (std::vector<Step> steps))
{
	Net::Options o;

	o.seed = *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
	o.spares = *rc::gen::inRange(1, 3);
	o.auto_voters = 3;
	o.learners = 2;
	o.snapshot_entries = *rc::gen::element(8u, 64u);
	check_history(o, steps);
}

RC_GTEST_PROP(StateFuzz, OneVoter, (std::vector<Step> steps))
{
	Net::Options o;

	o.seed = *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
	o.voters = 1;
	// Its disk is the only copy.
	for (auto &s : steps)
		if (s.kind == WIPE || s.kind == WIPE_AFTER_ACK)
			s.kind = RESTART;
	check_history(o, steps);
}
