// Single cases of the state core in a simulated network.
#include <gtest/gtest.h>

#include <algorithm>

#include "counter.h"
#include "doc_register.h"
#include "rlog_recover.h"

static std::string publish(const std::string &id, uint64_t base)
{
	return ChangeBuilder(id, base).publish("adapter-" + id, 1).pack();
}

static void expect_no_violations(const Net &net)
{
	for (auto &p : net.violations)
		ADD_FAILURE() << p;
}

static Outcome submit(Net &net, host_id_t at, const std::string &id,
		      const std::string &packed, int64_t max_us = 10000000)
{
	uint64_t tag = net.propose(at, id, packed);

	EXPECT_TRUE(net.run_until(max_us, [&] {
		return net.changes[tag].done;
	})) << id;
	return net.changes[tag].out;
}

static std::string hosts_change(Net &net, uint64_t base)
{
	ChangeBuilder b("hosts", base);

	for (auto &d : net.daemons)
		b.host("host" + std::to_string(d->id), 7000 + 2 * (int)d->id);
	return b.pack();
}

static bool all_have_revision(Net &net, uint64_t revision)
{
	for (auto &d : net.daemons)
		if (d->st && d->revision() < revision)
			return false;
	return true;
}

// All hosts start within 0.3 s; the process of one voter ends soon after and comes back,
// as one that starts no log.
static void start_with_a_loss(Net &net, host_id_t lost)
{
	int64_t end_us = net.now_us + (int64_t)(net.rng() % 1000000);

	for (auto &d : net.daemons) {
		net.start(*d);
		net.run((int64_t)(net.rng() % 60000));
	}
	if (net.now_us < end_us)
		net.run(end_us - net.now_us);
	net.stop(net.at(lost));
	if (net.rng() % 4 == 0)
		net.wipe(net.at(lost));
	net.run((int64_t)(net.rng() % 1000000));
	net.start(net.at(lost));
}

TEST(State, ALogComesAboutWhicheverVoterIsLostAsTheSystemStarts)
{
	for (uint64_t seed = 1; seed <= 300; seed++) {
		Net::Options o;
		o.seed = seed;
		o.auto_voters = 3;
		Net net(o);
		host_id_t lost = (host_id_t)(seed % 3 + 1);
		host_id_t cut = (host_id_t)(net.rng() % 3 + 1);

		net.isolate(cut, seed % 2);
		start_with_a_loss(net, lost);
		net.run((int64_t)(net.rng() % 2000000));
		net.isolate(cut, false);
		EXPECT_TRUE(
			net.run_until(10000000, [&] { return net.leader(); }))
			<< "seed " << seed;
		if (!net.leader())
			continue;
		EXPECT_EQ(CHANGE_DECIDED,
			  submit(net, 5, "a", publish("a", 0)).status)
			<< "seed " << seed;
		EXPECT_TRUE(net.run_until(
			10000000, [&] { return all_have_revision(net, 1); }))
			<< "seed " << seed;
		expect_no_violations(net);
	}
}

// As an operator stops a host for good: it leaves, and its process ends soon after.
static void retire(Net &net, host_id_t id)
{
	state_leave(net.at(id).st, 0);
	net.run(1200000);
	net.stop(net.at(id));
}

// Three voters, three more hosts with a disk and two learners, which choose the voters.
static Net::Options with_spares(uint64_t seed)
{
	Net::Options o;

	o.seed = seed;
	o.spare_voters = 3;
	o.auto_voters = 3;
	return o;
}

static void decide_first_change(Net &net)
{
	net.run_until(5000000, [&] { return net.leader(); });
	ASSERT_EQ(CHANGE_DECIDED, submit(net, 7, "a", publish("a", 0)).status);
	net.run(4000000);
}

TEST(State, VotersReplacedOneAfterTheOtherLeaveAQuorum)
{
	for (uint64_t seed = 1; seed <= 60; seed++) {
		Net net(with_spares(seed));
		std::vector<host_id_t> old = {1, 2, 3};

		net.start_all();
		decide_first_change(net);
		std::shuffle(old.begin(), old.end(), net.rng);
		for (size_t i = 0; i < 3; i++) {
			std::string id = "b" + std::to_string(i);

			retire(net, old[i]);
			net.run((int64_t)(net.rng() % 2500000));
			ASSERT_EQ(CHANGE_DECIDED,
				  submit(net, 7, id, publish(id, 1 + i)).status)
				<< "seed " << seed << ", lost " << i + 1;
		}
		EXPECT_TRUE(net.run_until(
			4000000, [&] { return all_have_revision(net, 4); }))
			<< "seed " << seed;
		expect_no_violations(net);
	}
}

// Three voters and two learners run; the spare hosts with a disk do not yet.
static void start_without_spares(Net &net)
{
	for (auto &d : net.daemons)
		if (d->id <= 3 || !d->voter)
			net.start(*d);
	decide_first_change(net);
}

TEST(State, SilentVotersReplacedOneCatchUpTimeApartLeaveAQuorum)
{
	for (uint64_t seed = 1; seed <= 90; seed++) {
		Net::Options o = with_spares(seed);
		o.catch_up_us = seed % 3 == 0 ? 2000000 : seed % 3 * 4000000;
		Net net(o);

		start_without_spares(net);
		for (host_id_t i = 1; i <= 3; i++) {
			net.stop(net.at(i));
			net.options.seeds = {i + 1, i + 2};
			net.start(net.at(3 + i));
			net.run(o.catch_up_us);
		}
		ASSERT_EQ(CHANGE_DECIDED,
			  submit(net, 7, "b", publish("b", 1)).status)
			<< "seed " << seed;
		expect_no_violations(net);
	}
}

static bool votes(Net &net, host_id_t id)
{
	std::vector<host_id_t> voters;

	if (net.leader())
		voters = Net::voters_of(*net.leader());
	return std::count(voters.begin(), voters.end(), id) > 0;
}

TEST(State, TheSilenceOfAVoterDoesNotBeginAnewWithALeader)
{
	for (uint64_t seed = 1; seed <= 30; seed++) {
		Net net(with_spares(seed));
		host_id_t lost;

		start_without_spares(net);
		net.start(net.at(4));
		lost = net.leader()->id % 3 + 1;
		net.stop(net.at(lost));
		net.run(net.voter_lost_us() - 400000);
		state_resign(net.leader()->st);
		EXPECT_TRUE(net.run_until(
			1000000,
			[&] { return votes(net, 4) && !votes(net, lost); }))
			<< "seed " << seed;
	}
}

TEST(State, AHostWhoseSeedsAreGoneFindsTheLeaderByTheHostsThatItKnows)
{
	Net::Options o;
	host_id_t old;

	o.spare_voters = 2;
	o.auto_voters = 3;
	Net net(o);
	for (host_id_t id = 1; id <= 5; id++)
		net.start(net.at(id));
	net.options.seeds = {1};
	net.start(net.at(7));
	net.run(6000000);
	EXPECT_TRUE(net.is_fresh(net.at(7)));
	net.isolate(7, true);
	old = net.leader()->id;
	net.stop(net.at(1));
	net.stop(net.at(old == 1 ? 2 : old));
	net.run(6000000);
	net.heal();
	EXPECT_TRUE(net.run_until(5000000,
				  [&] { return net.is_fresh(net.at(7)); }));
}

TEST(State, AHostSaysThatTheQuorumIsLostAndWhenItIsBack)
{
	uint64_t before = counter_get(CTR_QUORUM_LOSSES);
	Net::Options o;

	o.auto_voters = 3;
	Net net(o);
	net.start_all();
	net.run(3000000);
	net.stop(net.at(1));
	net.stop(net.at(2));
	net.run(9000000);
	EXPECT_EQ(before, counter_get(CTR_QUORUM_LOSSES));
	net.run(4000000);
	EXPECT_EQ(before + 1, counter_get(CTR_QUORUM_LOSSES));
	EXPECT_FALSE(Net::status_has(net.at(3), "\"leaderless_ms\":0"));
	net.start(net.at(1));
	EXPECT_TRUE(net.run_until(3000000, [&] { return net.leader(); }));
	EXPECT_TRUE(Net::status_has(net.at(3), "\"leaderless_ms\":0"));
}

TEST(State, OldVotersThatComeBackDecideNothingInALogThatWasRecovered)
{
	for (uint64_t seed = 1; seed <= 60; seed++) {
		Net::Options o;
		o.seed = seed;
		o.auto_voters = 3;
		Net net(o);
		wal_err_t err = {};
		wal_t *wal;
		uint64_t tag;

		net.start_all();
		net.run_until(5000000, [&] { return net.leader(); });
		ASSERT_EQ(CHANGE_DECIDED,
			  submit(net, 5, "a", publish("a", 0)).status);
		net.run(1000000);
		for (host_id_t id = 1; id <= 3; id++)
			net.stop(net.at(id));
		wal = net.at(3).disk->open();
		wal->recovered.host = 3;
		ASSERT_EQ(0, rlog_recover(wal, &err));
		net.start(net.at(3));
		EXPECT_EQ(CHANGE_DECIDED,
			  submit(net, 5, "b", publish("b", 1)).status);
		net.start(net.at(1));
		net.start(net.at(2));
		net.run((int64_t)(net.rng() % 400000));
		tag = net.propose(1, "c", publish("c", 1));
		net.run(8000000);
		EXPECT_TRUE(net.changes[tag].done);
		EXPECT_NE(CHANGE_DECIDED, net.changes[tag].out.status)
			<< "seed " << seed;
		EXPECT_TRUE(all_have_revision(net, 2)) << "seed " << seed;
		expect_no_violations(net);
	}
}

TEST(State, OneVoterDecidesAndKeepsItsLogOverARestart)
{
	Net::Options o;
	o.voters = 1;
	o.learners = 0;
	Net net(o);

	net.start_all();
	Outcome out = submit(net, 1, "a", publish("a", 0));
	EXPECT_EQ(CHANGE_DECIDED, out.status);
	EXPECT_EQ(1u, out.revision);
	net.stop(net.at(1));
	net.start(net.at(1));
	EXPECT_TRUE(net.run_until(5000000,
				  [&] { return net.is_fresh(net.at(1)); }));
	EXPECT_EQ(1u, net.at(1).revision());
	out = submit(net, 1, "a", publish("a", 0));
	EXPECT_EQ(CHANGE_DECIDED, out.status);
	EXPECT_TRUE(out.resent);
	expect_no_violations(net);
}

TEST(State, ThreeVotersAndLearnersAgree)
{
	Net net(Net::Options{});

	net.start_all();
	EXPECT_TRUE(net.run_until(5000000, [&] { return net.leader(); }));
	for (uint64_t i = 0; i < 200; i++) {
		std::string id = "c" + std::to_string(i);
		Outcome out =
			submit(net, (host_id_t)(i % 5 + 1), id, publish(id, i));
		ASSERT_EQ(CHANGE_DECIDED, out.status) << i;
		ASSERT_EQ(i + 1, out.revision);
	}
	EXPECT_TRUE(net.run_until(2000000,
				  [&] { return all_have_revision(net, 200); }));
	Outcome out = submit(net, 5, "late", publish("late", 7));
	EXPECT_EQ(CHANGE_CONFLICT, out.status);
	EXPECT_EQ(200u, out.revision);
	for (auto &d : net.daemons)
		EXPECT_TRUE(net.is_fresh(*d)) << d->id;
	expect_no_violations(net);
}

TEST(State, LosingTheLeaderLosesNoChangeAndRestartedDaemonsCatchUp)
{
	Net net(Net::Options{});
	uint64_t n_changes = 0;

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	for (int round = 0; round < 4; round++) {
		Daemon *old_leader = net.leader();
		ASSERT_NE(nullptr, old_leader);
		net.stop(*old_leader);
		for (int i = 0; i < 30; i++) {
			std::string id = "c" + std::to_string(n_changes);
			ASSERT_EQ(CHANGE_DECIDED,
				  submit(net, 4, id, publish(id, n_changes))
					  .status);
			n_changes++;
		}
		net.start(*old_leader);
		EXPECT_TRUE(net.run_until(5000000, [&] {
			return all_have_revision(net, n_changes);
		}));
	}
	net.stop(net.at(5));
	net.start(net.at(5));
	EXPECT_FALSE(net.is_fresh(net.at(5)));
	EXPECT_TRUE(net.run_until(3000000,
				  [&] { return net.is_fresh(net.at(5)); }));
	EXPECT_EQ(n_changes, net.at(5).revision());
	expect_no_violations(net);
}

// After a restart of all voters no leader can be heard, so that nothing delays
// an election.
TEST(State, VotersRestartedTogetherElectALeaderWithinOneElectionTimeout)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		Net::Options o;
		o.voters = 5;
		o.learners = 0;
		o.seed = seed;
		Net net(o);

		net.start_all();
		net.run(4000000);
		for (auto &d : net.daemons)
			net.stop(*d);
		net.start_all();
		EXPECT_TRUE(net.run_until(net.election_us, [&] {
			return net.leader();
		})) << seed;
		expect_no_violations(net);
	}
}

// After a power loss the hosts without a disk look for the leader while there is
// none. They learn of it when it is elected, not at their next attempt.
TEST(State, HostsThatLookForTheLeaderLearnOfItOnceItIsElected)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		Net::Options o;
		o.learners = 6;
		o.seed = seed;
		o.auto_voters = 3;
		o.fanout = 8;
		Net net(o);

		net.start_all();
		net.run_until(5000000, [&] { return net.leader(); });
		ASSERT_EQ(CHANGE_DECIDED,
			  submit(net, 1, "a", publish("a", 0)).status);
		net.run(3000000);
		for (auto &d : net.daemons)
			net.stop(*d);
		for (auto &d : net.daemons)
			net.start(*d);
		EXPECT_TRUE(
			net.run_until(5000000, [&] { return net.leader(); }));
		EXPECT_TRUE(net.run_until(60000,
					  [&] {
						  for (auto &d : net.daemons)
							  if (!net.is_fresh(*d))
								  return false;
						  return true;
					  }))
			<< "seed " << seed;
		expect_no_violations(net);
	}
}

// A voter whose disk lost entries that it had acknowledged must not help to
// elect a leader that misses them.
TEST(State, AVoterWithAnEmptiedDiskElectsNoLeaderThatMissesADecidedChange)
{
	Net::Options o;
	o.learners = 0;
	Net net(o);

	net.start_all();
	net.run(4000000);
	Daemon *initial_leader = net.leader();
	ASSERT_NE(nullptr, initial_leader);
	host_id_t stale = initial_leader->id % 3 + 1;
	host_id_t other = stale % 3 + 1;

	net.stop(net.at(stale));
	ASSERT_EQ(CHANGE_DECIDED,
		  submit(net, initial_leader->id, "a", publish("a", 0)).status);
	net.stop(*initial_leader);
	net.wipe(net.at(other));
	net.start(net.at(other));
	net.start(net.at(stale));
	net.run(20000000);
	EXPECT_EQ(nullptr, net.leader());
	net.start(*initial_leader);
	EXPECT_TRUE(net.run_until(30000000,
				  [&] { return all_have_revision(net, 1); }));
	expect_no_violations(net);
}

// A voter that does not hear the leader must not depose a leader that the
// others still hear.
TEST(State, AVoterThatCannotHearTheLeaderDoesNotEndItsTerm)
{
	Net net(Net::Options{});

	net.start_all();
	net.run(4000000);
	Daemon *initial_leader = net.leader();
	ASSERT_NE(nullptr, initial_leader);
	uint64_t term = initial_leader->lease_status.term;

	net.block(initial_leader->id, initial_leader->id % 3 + 1, true);
	net.run(5000000);
	ASSERT_EQ(initial_leader, net.leader());
	EXPECT_EQ(term, initial_leader->lease_status.term);
	expect_no_violations(net);
}

TEST(State, ALeaderCutOffFromTheQuorumKeepsNoTablesFresh)
{
	Net net(Net::Options{});

	net.start_all();
	net.run(4000000);
	Daemon *old_leader = net.leader();
	ASSERT_NE(nullptr, old_leader);
	// Learner 4 stays with the old leader, cut off from all others.
	for (auto &d : net.daemons)
		if (d->id != old_leader->id && d->id != 4)
			for (host_id_t cut_off_host :
			     {old_leader->id, (host_id_t)4}) {
				net.block(cut_off_host, d->id, true);
				net.block(d->id, cut_off_host, true);
			}
	net.run(net.max_staleness_us + 2 * net.heartbeat_us);
	EXPECT_FALSE(net.is_fresh(*old_leader));
	EXPECT_FALSE(net.is_fresh(net.at(4)));
	Daemon *new_leader = net.leader();
	ASSERT_NE(nullptr, new_leader);
	EXPECT_NE(old_leader->id, new_leader->id);
	EXPECT_TRUE(net.is_fresh(net.at(5)));
	Outcome out = submit(net, 4, "x", publish("x", 0));
	EXPECT_NE(CHANGE_DECIDED, out.status);
	net.heal();
	EXPECT_TRUE(net.run_until(5000000,
				  [&] { return net.is_fresh(net.at(4)); }));
	expect_no_violations(net);
}

TEST(State, TargetsOfALostOwnerMoveWithinOneLeaseAndOneSecond)
{
	Net net(Net::Options{});

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	ASSERT_EQ(CHANGE_DECIDED,
		  submit(net, 1, "hosts", hosts_change(net, 0)).status);
	ChangeBuilder b("targets", 1);
	for (int i = 0; i < 12; i++)
		b.target("t" + std::to_string(i), 9000 + i);
	ASSERT_EQ(CHANGE_DECIDED, submit(net, 1, "targets", b.pack()).status);
	auto all_targets_owned = [&](host_id_t except) {
		const decided_t *d =
			net.leader() ? net.leader()->tables : nullptr;
		for (size_t i = 0; d && i < decided_target_count(d); i++) {
			host_id_t o = decided_target_at(d, i)->owner;
			if (!o || o == except)
				return false;
		}
		return d && decided_target_count(d) == 12;
	};
	EXPECT_TRUE(
		net.run_until(5000000, [&] { return all_targets_owned(0); }));
	net.run(1000000);
	// A learner stops without leaving.
	net.stop(net.at(5));
	EXPECT_TRUE(net.run_until(net.lease_us + 1000000,
				  [&] { return all_targets_owned(5); }));
	// Another one leaves: its lease is not waited for.
	state_leave(net.at(4).st, 0);
	EXPECT_TRUE(
		net.run_until(500000, [&] { return all_targets_owned(4); }));
	for (size_t i = 0; i < 12; i++)
		EXPECT_NE(4u, decided_target_at(net.leader()->tables, i)
				      ->previous_owner);
	expect_no_violations(net);
}

// A leader that shuts down asks another voter to lead, and that one tells all
// hosts: none of them waits for an election timeout or for its next renewal.
static void expect_handover(bool idle)
{
	Net::Options o;
	o.learners = 6;
	Net net(o);

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	ASSERT_EQ(CHANGE_DECIDED, submit(net, 6, "a", publish("a", 0)).status);
	net.run(1000000);
	Daemon *old_leader = net.leader();
	uint64_t term = old_leader->lease_status.term;
	auto all_know_another_leader = [&] {
		for (auto &d : net.daemons)
			if (d->lease_status.leader == old_leader->id ||
			    d->lease_status.term != term + 1)
				return false;
		return true;
	};

	state_leave(old_leader->st, idle ? term : 0);
	EXPECT_TRUE(net.run_until(30000, all_know_another_leader));
	EXPECT_TRUE(net.run_until(30000, [&] {
		return net.leader() && net.leader() != old_leader;
	}));
	EXPECT_EQ(idle, net.leader()->lease_status.predecessor_idle);
	EXPECT_EQ(CHANGE_DECIDED,
		  submit(net, 7, "b", publish("b", 1), 100000).status);
	expect_no_violations(net);
}

TEST(State, ALeaderThatLeavesHandsOverAtOnce)
{
	expect_handover(true);
}

TEST(State, ASuccessorKnowsThatTheLeaderWasNotIdle)
{
	expect_handover(false);
}

// A leader that was idle in an earlier term may have begun something since.
TEST(State, AnIdleTermBeforeTheLedOneDoesNotCount)
{
	Net net(Net::Options{});

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	net.run(1000000);
	Daemon *old_leader = net.leader();

	state_leave(old_leader->st, old_leader->lease_status.term - 1);
	EXPECT_TRUE(net.run_until(60000, [&] {
		return net.leader() && net.leader() != old_leader;
	}));
	EXPECT_FALSE(net.leader()->lease_status.predecessor_idle);
	expect_no_violations(net);
}

// The first voter that the leader asks cannot be reached.
TEST(State, ALeaderThatLeavesAsksAnotherVoterIfTheFirstDoesNotLead)
{
	Net net(Net::Options{});

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	net.run(1000000);
	Daemon *old_leader = net.leader();
	host_id_t first = old_leader->id == 1 ? 2 : 1;

	net.isolate(first, true);
	state_leave(old_leader->st, old_leader->lease_status.term);
	EXPECT_TRUE(net.run_until(net.election_us * 2, [&] {
		return net.leader() && net.leader() != old_leader &&
		       net.leader()->id != first;
	}));
	expect_no_violations(net);
}

// An idle handover counts for the term that it begins, not for later ones.
TEST(State, ALeaderAfterALossDoesNotCountItsPredecessorAsIdle)
{
	Net::Options o;
	o.voters = 5;
	Net net(o);

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	net.run(1000000);
	Daemon *first = net.leader();

	state_leave(first->st, first->lease_status.term);
	net.run(200000);
	Daemon *second = net.leader();
	ASSERT_NE(first, second);
	EXPECT_TRUE(second->lease_status.predecessor_idle);
	net.stop(*second);
	net.run(200000);
	EXPECT_TRUE(net.run_until(5000000, [&] { return net.leader(); }));
	EXPECT_FALSE(net.leader()->lease_status.predecessor_idle);
	expect_no_violations(net);
}

// A host without a disk that is leaving follows a change of leader, as it still
// serves the requests that it has.
TEST(State, AHostThatLeavesLearnsOfALaterLeader)
{
	Net net(Net::Options{});

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	net.run(1000000);
	state_leave(net.at(5).st, 0);
	net.run(500000);
	net.stop(*net.leader());
	EXPECT_TRUE(net.run_until(5000000, [&] { return net.leader(); }));
	EXPECT_TRUE(net.run_until(1500000, [&] {
		return net.at(5).lease_status.leader == net.leader()->id;
	}));
	expect_no_violations(net);
}

// A leader whose host is too slow has another voter lead, and goes on as a
// follower with its session.
TEST(State, ALeaderThatResignsStaysAVoter)
{
	Net net(Net::Options{});

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	net.run(1000000);
	Daemon *old_leader = net.leader();
	Daemon &follower = net.at(old_leader->id == 1 ? 2 : 1);

	state_resign(follower.st);
	net.run(200000);
	EXPECT_EQ(old_leader, net.leader());
	state_resign(old_leader->st);
	EXPECT_TRUE(net.run_until(30000, [&] {
		return net.leader() && net.leader() != old_leader;
	}));
	EXPECT_FALSE(net.leader()->lease_status.predecessor_idle);
	net.run(net.lease_us * 2);
	EXPECT_TRUE(net.has_lease(*old_leader));
	EXPECT_TRUE(net.is_fresh(*old_leader));
	EXPECT_NE(old_leader, net.leader());
	expect_no_violations(net);
}

static std::map<std::string, host_id_t> target_owners(const Net &net)
{
	std::map<std::string, host_id_t> m;
	const decided_t *d = net.daemons[0]->tables;

	for (size_t i = 0; d && i < decided_target_count(d); i++) {
		const target_t *t = decided_target_at(d, i);
		m[text(t->name)] = t->owner;
	}
	return m;
}

TEST(State, AReturningHostGetsItsTargetsBackAndNoOthersMove)
{
	Net net(Net::Options{});

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	submit(net, 1, "hosts", hosts_change(net, 0));
	ChangeBuilder b("targets", 1);
	for (int i = 0; i < 20; i++)
		b.target("t" + std::to_string(i), 9000 + i);
	submit(net, 1, "targets", b.pack());
	net.run(12 * net.lease_us);
	auto before = target_owners(net);
	net.stop(net.at(5));
	net.run(net.lease_us + 1000000);
	auto without = target_owners(net);
	for (auto &o : before)
		if (o.second != 5)
			EXPECT_EQ(o.second, without[o.first]) << o.first;
		else
			EXPECT_NE(5u, without[o.first]) << o.first;
	net.start(net.at(5));
	net.run(2 * net.lease_us);
	// Targets move back only once the host has been live long enough.
	EXPECT_EQ(without, target_owners(net));
	net.run(6 * net.lease_us);
	EXPECT_EQ(before, target_owners(net));
	expect_no_violations(net);
}

TEST(State, TheFeedReachesAllDaemonsAndReplacesSilentRelays)
{
	Net::Options o;
	o.learners = 60;
	o.fanout = 3;
	Net net(o);

	net.start_all();
	EXPECT_TRUE(net.run_until(10000000, [&] {
		for (auto &d : net.daemons)
			if (!net.is_fresh(*d) || d->live.size() != 63)
				return false;
		return true;
	}));
	net.run(2000000);
	int64_t longest_us = 0;
	for (uint64_t i = 0; i < 20; i++) {
		std::string id = "c" + std::to_string(i);
		ASSERT_EQ(CHANGE_DECIDED,
			  submit(net, 1, id, publish(id, i)).status);
		int64_t accepted_us = net.now_us;
		ASSERT_TRUE(net.run_until(1000000, [&] {
			return all_have_revision(net, i + 1);
		}));
		longest_us = std::max(longest_us, net.now_us - accepted_us);
	}
	EXPECT_LT(longest_us, 100000);
	// Some relays of the feed are cut off from all other daemons.
	for (host_id_t id : {4, 5, 6, 7})
		net.isolate(id, true);
	ASSERT_EQ(CHANGE_DECIDED,
		  submit(net, 1, "late", publish("late", 20)).status);
	EXPECT_TRUE(net.run_until(3000000, [&] {
		for (auto &d : net.daemons)
			if ((d->id < 4 || d->id > 7) && d->revision() < 21)
				return false;
		return true;
	}));
	net.heal();
	EXPECT_TRUE(net.run_until(3000000,
				  [&] { return all_have_revision(net, 21); }));
	expect_no_violations(net);
}

TEST(State, AVoterWhoseDiskFailsRunsOnWithoutADisk)
{
	Net net(Net::Options{});

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	Daemon *failing = net.leader();
	failing->disk->on_sync = [] { return false; };
	for (uint64_t i = 0; i < 20; i++) {
		std::string id = "c" + std::to_string(i);
		// The first attempts may fail or have an unknown outcome.
		while (submit(net, 4, id, publish(id, i)).status !=
		       CHANGE_DECIDED)
			ASSERT_LT(net.now_us, 60000000);
	}
	EXPECT_TRUE(net.run_until(5000000, [&] {
		return all_have_revision(net, 20) && net.is_fresh(*failing);
	}));
	EXPECT_TRUE(Net::status_has(*failing, "\"role\":\"failed\""))
		<< Net::status_of(*failing);
	expect_no_violations(net);
}

// Fails the log of the first voter on a full disk, as it is opened again and fails
// again on the next vote; returns that voter.
static Daemon &fail_reopened_log(Net &net, DocRegister &reg)
{
	Daemon &failing = *net.leader();

	net.run_until(5000000,
		      [&] { return reg.held(failing) == reg.acknowledged; });
	failing.disk->full = true;
	net.put_doc(5, "other", 1, "");
	EXPECT_TRUE(net.run_until(2000000, [&] {
		return net.leader() && net.leader() != &failing;
	}));
	return failing;
}

static void connect_register(Net &net, DocRegister &reg)
{
	net.on_state_change = [&](Daemon &d) { reg.check(d); };
	net.on_outcome = [&](uint64_t tag, const Change &c) {
		reg.on_outcome(tag, c);
	};
	net.on_stop = [&](Daemon &d) { reg.drop_reads(d); };
}

static void decide_versions(Net &net, DocRegister &reg, uint64_t n)
{
	for (uint64_t i = 1; i <= n; i++) {
		uint64_t tag = reg.put(net.at(4), reg.acknowledged + 1, "");

		ASSERT_TRUE(net.run_until(5000000, [&] {
			return net.changes[tag].done;
		}));
	}
}

TEST(State, ALeaderWhoseDiskFailsHandsOverBeforeAnElectionTimeout)
{
	Net::Options o;
	o.jitter_us = 0; // a link keeps the order of its messages
	Net net(o);

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	Daemon *failing = net.leader();
	net.run(1000000);
	failing->disk->full = true;
	int64_t failed_us = net.now_us;
	net.put_doc(5, "doc", 1, "");
	EXPECT_TRUE(net.run_until(2000000, [&] {
		return net.leader() && net.leader() != failing;
	}));
	EXPECT_LT(net.now_us - failed_us, net.election_us);
	expect_no_violations(net);
}

TEST(State, AHostWhoseReopenedLogFailsAgainReadsNothingOlder)
{
	Net::Options o;
	o.snapshot_entries = 8;
	o.reopen_disks = true;
	Net net(o);
	DocRegister reg(net);

	connect_register(net, reg);
	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	decide_versions(net, reg, 20);
	Daemon &failing = fail_reopened_log(net, reg);
	reg.read(failing);
	EXPECT_TRUE(net.run_until(5000000, [&] { return reg.reads_ended; }));
	net.run(1000000);
	EXPECT_GE(reg.held(failing), 20u);
	expect_no_violations(net);
}

// The disk of each voter in turn is full for a while, never two at once; proposals go on.
static void fill_disks_in_turn(Net &net, DocRegister &reg)
{
	for (int i = 0; i < 9; i++) {
		Daemon &d = net.at((host_id_t)(i % 3 + 1));
		int64_t until =
			net.now_us + 300000 + (int64_t)(net.rng() % 4000000);

		d.disk->full = true;
		while (net.now_us < until) {
			reg.put(net.at(4), reg.acknowledged + 1, "");
			net.run(100000);
		}
		d.disk->full = false;
		net.run((int64_t)(net.rng() % 1000000));
	}
}

TEST(State, DisksFullInTurnLeaveAQuorumThatDecidesAndReads)
{
	for (uint64_t seed = 1; seed <= 12; seed++) {
		Net::Options o;
		o.seed = seed;
		o.snapshot_entries = 8;
		o.reopen_disks = true;
		o.auto_voters = seed % 2 ? 3 : 0;
		Net net(o);
		DocRegister reg(net);

		connect_register(net, reg);
		net.start_all();
		net.run_until(5000000, [&] { return net.leader(); });
		fill_disks_in_turn(net, reg);
		net.run(1000000);
		uint64_t version = reg.acknowledged + 1;
		reg.put(net.at(5), version, "");
		EXPECT_TRUE(net.run_until(
			2000000, [&] { return reg.acknowledged >= version; }))
			<< "seed " << seed;
		size_t ended = reg.reads_ended;
		for (host_id_t id = 1; id <= 5; id++)
			reg.read(net.at(id));
		EXPECT_TRUE(net.run_until(
			2000000, [&] { return reg.reads_ended == ended + 5; }))
			<< "seed " << seed;
		expect_no_violations(net);
	}
}

TEST(State, AKeyClaimedTwiceIsGrantedToOneHolder)
{
	Net net(Net::Options{});

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	uint64_t a = net.claim(4, CLAIM_OP_TAKE, "k", "h1");
	uint64_t b = net.claim(5, CLAIM_OP_TAKE, "k", "h2");
	EXPECT_TRUE(net.run_until(2000000, [&] {
		return net.claims[a].done && net.claims[b].done;
	}));
	EXPECT_EQ(1, (net.claims[a].outcome == CLAIM_GRANTED) +
			     (net.claims[b].outcome == CLAIM_GRANTED));
	EXPECT_EQ(1, (net.claims[a].outcome == CLAIM_IN_PROGRESS) +
			     (net.claims[b].outcome == CLAIM_IN_PROGRESS));
	expect_no_violations(net);
}

TEST(State, OperatorsAddAVoterAndRemoveTheLeaderAsOne)
{
	Net::Options o;
	o.spare_voters = 1;
	Net net(o);
	ChangeBuilder add_voters("with", 0);
	ChangeBuilder remove_voter("without", 1);

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	// A host with a disk that is not marked as a voter keeps the log but
	// has no vote.
	net.run(3000000);
	EXPECT_TRUE(net.is_fresh(net.at(4)));
	EXPECT_TRUE(Net::status_has(net.at(4), "\"votes\":false"));
	for (host_id_t id = 1; id <= 4; id++)
		add_voters.host("host" + std::to_string(id), 7000 + 2 * (int)id,
				true);
	for (host_id_t id = 5; id <= 6; id++)
		add_voters.host("host" + std::to_string(id),
				7000 + 2 * (int)id);
	ASSERT_EQ(CHANGE_DECIDED,
		  submit(net, 5, "with", add_voters.pack()).status);
	EXPECT_TRUE(net.run_until(5000000, [&] {
		return Net::status_has(net.at(4), "\"votes\":true");
	}));
	// The leader itself is removed from the voters.
	host_id_t removed = net.leader()->id;
	remove_voter.host("host" + std::to_string(removed),
			  7000 + 2 * (int)removed, false);
	ASSERT_EQ(CHANGE_DECIDED,
		  submit(net, 5, "without", remove_voter.pack()).status);
	EXPECT_TRUE(net.run_until(10000000, [&] {
		return net.leader() && net.leader()->id != removed;
	}));
	EXPECT_TRUE(net.run_until(5000000, [&] {
		return Net::status_has(*net.leader(),
				       "\"members_settled\":true");
	}));
	// Two of the three remaining voters decide; the removed one is down.
	net.stop(net.at(removed));
	for (host_id_t id = 1; id <= 4; id++)
		if (id != removed && id != net.leader()->id) {
			net.stop(net.at(id));
			break;
		}
	EXPECT_EQ(CHANGE_DECIDED,
		  submit(net, 5, "last", publish("last", 2)).status);
	expect_no_violations(net);
}

TEST(State, AVoterWithAnEmptiedDiskRejoinsAndFurtherLossesLoseNoChange)
{
	Net net(Net::Options{});
	uint64_t n_changes = 0;
	auto submit_changes = [&](int count) {
		for (int i = 0; i < count; i++) {
			std::string id = "c" + std::to_string(n_changes);
			ASSERT_EQ(CHANGE_DECIDED,
				  submit(net, 4, id, publish(id, n_changes))
					  .status);
			n_changes++;
		}
	};

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	submit_changes(100);
	for (int round = 0; round < 6; round++) {
		Daemon &d = net.at((host_id_t)(round % 3 + 1));
		net.wipe(d);
		submit_changes(5);
		net.start(d);
		// It becomes a voter again, with its new data folder.
		EXPECT_TRUE(net.run_until(10000000, [&] {
			return Net::status_has(d, "\"votes\":true") &&
			       d.revision() == n_changes;
		})) << round;
	}
	submit_changes(5);
	EXPECT_TRUE(net.run_until(2000000, [&] {
		return all_have_revision(net, n_changes);
	}));
	expect_no_violations(net);
}

// Seeds may be hosts without a disk. After a restart these know no other host,
// so that the leader has to contact them.
TEST(State, TheLeaderContactsSeedsWithoutADiskAfterAllHostsRestarted)
{
	Net::Options o;
	o.learners = 3;
	Net net(o);

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	EXPECT_EQ(CHANGE_DECIDED, submit(net, 4, "a", publish("a", 0)).status);
	for (auto &d : net.daemons)
		net.stop(*d);
	net.options.seeds = {4, 5, 6};
	net.start_all();
	EXPECT_TRUE(net.run_until(10000000, [&] {
		return all_have_revision(net, 1) && net.is_fresh(net.at(4)) &&
		       net.is_fresh(net.at(5)) && net.is_fresh(net.at(6));
	}));
	expect_no_violations(net);
}

// The same for seeds that a running leader gets by state_set_seeds().
TEST(State, TheLeaderContactsSeedsSetWhileItRuns)
{
	const host_id_t seeds[] = {4, 5, 6};
	Net::Options o;
	o.learners = 3;
	Net net(o);

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	EXPECT_EQ(CHANGE_DECIDED, submit(net, 4, "a", publish("a", 0)).status);
	for (host_id_t id : seeds)
		net.stop(net.at(id));
	net.options.seeds = {4, 5, 6};
	for (host_id_t id = 1; id <= 3; id++)
		state_set_seeds(net.at(id).st, seeds, 3);
	for (host_id_t id : seeds)
		net.start(net.at(id));
	EXPECT_TRUE(net.run_until(10000000,
				  [&] { return all_have_revision(net, 1); }));
	expect_no_violations(net);
}
