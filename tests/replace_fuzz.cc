// Hosts with a disk that are replaced by others for good, planned and unplanned, with faults
// meanwhile, each as soon as the settings allow it after the one before: a quorum of the
// hosts that are left decides, and nothing that was acknowledged is lost.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "doc_register.h"

namespace
{

const int64_t SEC = 1000000;
const int64_t MSEC = 1000;
// Longest time from the end of the faults until there are as many voters as there should be.
const int64_t SETTLE_MAX_US = 20 * SEC;
// The same after a host without faults beside it was told to stop: it is not waited for.
const int64_t PLANNED_SETTLE_MAX_US = 3 * SEC;
const int VOTERS = 3;
const int ROUNDS_MAX = 6; // more than all first voters
const int SUCCESSORS_MAX = 2;
const int LEARNERS = 2;

enum Disturbance {
	NONE,
	LOSSY,
	PAUSE,
	CRASH,
	ISOLATE,
	FULL_DISK,
	DISTURBANCES
};

// One host is replaced by one that starts as it goes; or two by two that had their time
// before, one of the two after the other or both at once.
struct Round {
	bool is_pair;
	bool is_planned; // the host is told to stop; else its process is killed
	bool is_leader;	 // that is replaced
	bool is_settled; // the voters settle before the next round
	uint32_t pick;	 // of the others
	int disturbance; // of another host
	int64_t gap_us;	 // between the hosts of a pair
	int64_t late_us; // beyond the time that has to pass
};

void showValue(const Round &r, std::ostream &os)
{
	os << "round(" << r.is_pair << r.is_planned << r.is_leader
	   << r.is_settled << "," << r.pick << "," << r.disturbance << ","
	   << r.gap_us << "," << r.late_us << ")";
}

} // namespace

namespace rc
{
template <>
struct Arbitrary<Round> {
	static Gen<Round> arbitrary()
	{
		return gen::build<Round>(
			gen::set(&Round::is_pair), gen::set(&Round::is_planned),
			gen::set(&Round::is_leader),
			gen::set(&Round::is_settled),
			gen::set(&Round::pick, gen::inRange(0u, 60u)),
			gen::set(&Round::disturbance,
				 gen::inRange(0, (int)DISTURBANCES)),
			gen::set(&Round::gap_us,
				 gen::inRange<int64_t>(0, 4 * SEC)),
			gen::set(&Round::late_us,
				 gen::inRange<int64_t>(0, 1 * SEC)));
	}
};
} // namespace rc

namespace
{

class Replacements
{
      public:
	explicit Replacements(const Net::Options &o) : net(o)
	{
		for (host_id_t id = 1; id <= VOTERS; id++)
			add(id);
		for (int i = 0; i < LEARNERS; i++)
			net.start(*net.daemons[net.daemons.size() - 1 - i]);
		settle(SETTLE_MAX_US);
	}

	void run(const Round &r)
	{
		int n = r.is_pair ? 2 : 1;

		for (int i = 0; i < n; i++)
			add(newest + 1);
		if (r.is_pair)
			wait(r);
		submit();
		for (int i = 0; i < n; i++) {
			host_id_t old = pick(r);

			if (i == 0)
				disturb(disturbance(r), pick_another(r, old));
			retire(old, r.is_planned);
			if (i + 1 < n)
				net.run(r.gap_us);
		}
		submit();
		if (disturbance(r) != NONE)
			net.run(r.gap_us);
		end_disturbances();
		if (r.is_settled)
			settle(r.is_planned && disturbance(r) == NONE
				       ? PLANNED_SETTLE_MAX_US
				       : SETTLE_MAX_US);
		wait(r);
	}

	void end()
	{
		settle(SETTLE_MAX_US);
	}

	// All that are left agree, and hold each change that was acknowledged.
	void check_end()
	{
		net.run(3 * SEC);
		for (auto &d : net.daemons)
			for (auto &c : net.changes)
				if (d->st && c.second.done &&
				    c.second.out.status == CHANGE_DECIDED &&
				    !holds(*d, c.second))
					net.add_violation(
						"host " +
						std::to_string(d->id) +
						" lacks " + c.second.id);
	}

	Net net;

      private:
	// Beside a host whose successor begins only now no other may be lost.
	static int disturbance(const Round &r)
	{
		return r.is_pair || r.disturbance == LOSSY ? r.disturbance
							   : NONE;
	}

	// Hosts that have come, or come back, count as lost until then.
	void wait(const Round &r)
	{
		net.run(net.options.catch_up_us + r.late_us);
	}

	static bool holds(const Daemon &d, const Change &c)
	{
		const change_row_t *row =
			d.tables ? decided_change_by_revision(d.tables,
							      c.out.revision)
				 : nullptr;

		return row && text(row->name) == c.id;
	}

	// The first voters are told of each other, a new host of all hosts with a disk.
	void add(host_id_t id)
	{
		present.push_back(id);
		newest = id;
		net.options.seeds = present;
		if (id <= VOTERS)
			net.options.seeds = {1, 2, 3};
		net.start(net.at(id));
	}

	host_id_t pick(const Round &r)
	{
		Daemon *l = net.leader();

		return r.is_leader && l ? l->id
					: present[r.pick % present.size()];
	}

	host_id_t pick_another(const Round &r, host_id_t old)
	{
		std::vector<host_id_t> others;

		for (host_id_t id : present)
			if (id != old)
				others.push_back(id);
		return others[r.pick / present.size() % others.size()];
	}

	void disturb(int kind, host_id_t id)
	{
		Daemon &d = net.at(id);

		if (kind == LOSSY) {
			net.options.loss_rate = 0.2;
			net.options.duplicate_rate = 0.2;
			net.options.jitter_us = 40 * MSEC;
		}
		d.paused = kind == PAUSE && d.st;
		if (kind == CRASH)
			net.stop(d);
		if (kind == ISOLATE)
			net.isolate(id, true);
		if (kind == FULL_DISK)
			d.disk->full = true;
	}

	void end_disturbances()
	{
		net.options.loss_rate = net.options.duplicate_rate = 0;
		net.options.jitter_us = 500;
		net.heal();
		for (host_id_t id : present) {
			Daemon &d = net.at(id);

			d.paused = false;
			d.disk->full = false;
			if (!d.st)
				net.start(d);
		}
	}

	void retire(host_id_t id, bool is_planned)
	{
		Daemon &d = net.at(id);

		if (is_planned && d.st && !d.paused) {
			state_leave(d.st, d.lease_status.term);
			net.run(1200 * MSEC);
		}
		net.stop(d);
		present.erase(std::find(present.begin(), present.end(), id));
	}

	void submit()
	{
		std::string id = "c" + std::to_string(next_change++);
		host_id_t at = net.daemons.back()->id;
		uint64_t base = net.at(at).revision();

		net.propose(
			at, id,
			ChangeBuilder(id, base).publish("a-" + id, 1).pack());
	}

	// No fewer voters than there should be, and none of them is gone.
	bool is_settled()
	{
		Daemon *l = net.leader();
		std::vector<host_id_t> voters;

		if (!l || !Net::status_has(*l, "\"members_settled\":true"))
			return false;
		voters = Net::voters_of(*l);
		for (host_id_t id : voters)
			if (std::count(present.begin(), present.end(), id) != 1)
				return false;
		return voters.size() >= VOTERS;
	}

	bool all_agree()
	{
		uint64_t newest = 0;

		for (auto &d : net.daemons)
			newest = std::max(newest, d->revision());
		for (auto &d : net.daemons)
			if (d->st && d->revision() < newest)
				return false;
		return true;
	}

	void settle(int64_t max_us)
	{
		uint64_t tag;

		if (!net.run_until(max_us, [&] { return is_settled(); }))
			net.add_violation("the voters did not settle");
		net.run(1 * SEC);
		if (!net.run_until(SETTLE_MAX_US, [&] { return all_agree(); }))
			net.add_violation("a host lags behind");
		submit();
		tag = net.changes.rbegin()->first;
		if (!net.run_until(SETTLE_MAX_US,
				   [&] { return net.changes[tag].done; }) ||
		    net.changes[tag].out.status != CHANGE_DECIDED)
			net.add_violation("a change was not decided");
	}

	std::vector<host_id_t> present; // with a disk
	host_id_t newest = 0;
	int next_change = 0;
};

RC_GTEST_PROP(ReplaceFuzz, AQuorumIsLeftWhicheverHostsAreReplaced, ())
{
	Net::Options o;
	auto rounds = *rc::gen::resize(
		ROUNDS_MAX, rc::gen::arbitrary<std::vector<Round>>());

	o.seed = *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
	o.voters = VOTERS;
	o.spare_voters = ROUNDS_MAX * SUCCESSORS_MAX;
	o.catch_up_us = *rc::gen::element(2 * SEC, 4 * SEC, 8 * SEC);
	o.auto_voters = VOTERS;
	o.learners = LEARNERS;
	o.snapshot_entries = *rc::gen::element(4u, 8u, 64u);
	o.reopen_disks = true;
	Replacements r(o);

	for (size_t i = 0;
	     i < rounds.size() && i < ROUNDS_MAX && r.net.violations.empty();
	     i++)
		r.run(rounds[i]);
	if (r.net.violations.empty())
		r.end();
	if (r.net.violations.empty())
		r.check_end();
	for (auto &v : r.net.violations)
		RC_LOG() << v << std::endl;
	RC_ASSERT(r.net.violations.empty());
}

} // namespace
