// The state core by single cases: one voter, three voters, learners, owners.
#include <gtest/gtest.h>

#include "state_net.h"

static std::string publish(const std::string &id, uint64_t base)
{
	return ChangeBuilder(id, base).publish("adapter-" + id, 1).pack();
}

static void expect_clean(const Net &net)
{
	for (auto &p : net.problems)
		ADD_FAILURE() << p;
}

static Outcome change(Net &net, host_id_t at, const std::string &id,
		      const std::string &packed, int64_t max_us = 10000000)
{
	uint64_t tag = net.propose(at, id, packed);

	EXPECT_TRUE(net.run_until(max_us, [&] {
		return net.changes[tag].done;
	})) << id;
	return net.changes[tag].out;
}

static std::string hosts(Net &net, uint64_t base)
{
	ChangeBuilder b("hosts", base);

	for (auto &d : net.daemons)
		b.host("host" + std::to_string(d->id), 7000 + 2 * (int)d->id);
	return b.pack();
}

static bool all_at(Net &net, uint64_t revision)
{
	for (auto &d : net.daemons)
		if (d->st && d->revision() < revision)
			return false;
	return true;
}

TEST(State, OneVoterDecidesAndRemembers)
{
	Net::Options o;
	o.voters = 1;
	o.learners = 0;
	Net net(o);

	net.start_all();
	Outcome out = change(net, 1, "a", publish("a", 0));
	EXPECT_EQ(CHANGE_DECIDED, out.status);
	EXPECT_EQ(1u, out.revision);
	net.stop(net.at(1));
	net.start(net.at(1));
	EXPECT_TRUE(
		net.run_until(5000000, [&] { return net.fresh(net.at(1)); }));
	EXPECT_EQ(1u, net.at(1).revision());
	out = change(net, 1, "a", publish("a", 0));
	EXPECT_EQ(CHANGE_DECIDED, out.status);
	EXPECT_TRUE(out.resent);
	expect_clean(net);
}

TEST(State, ThreeVotersAndLearnersAgree)
{
	Net net(Net::Options{});

	net.start_all();
	EXPECT_TRUE(net.run_until(5000000, [&] { return net.leader(); }));
	for (uint64_t i = 0; i < 200; i++) {
		std::string id = "c" + std::to_string(i);
		Outcome out =
			change(net, (host_id_t)(i % 5 + 1), id, publish(id, i));
		ASSERT_EQ(CHANGE_DECIDED, out.status) << i;
		ASSERT_EQ(i + 1, out.revision);
	}
	EXPECT_TRUE(net.run_until(2000000, [&] { return all_at(net, 200); }));
	Outcome out = change(net, 5, "late", publish("late", 7));
	EXPECT_EQ(CHANGE_CONFLICT, out.status);
	EXPECT_EQ(200u, out.revision);
	for (auto &d : net.daemons)
		EXPECT_TRUE(net.fresh(*d)) << d->id;
	expect_clean(net);
}

TEST(State, LeaderLossLosesNothingAndRestartsCatchUp)
{
	Net net(Net::Options{});
	uint64_t n = 0;

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	for (int round = 0; round < 4; round++) {
		Daemon *old = net.leader();
		ASSERT_NE(nullptr, old);
		net.stop(*old);
		for (int i = 0; i < 30; i++) {
			std::string id = "c" + std::to_string(n);
			ASSERT_EQ(CHANGE_DECIDED,
				  change(net, 4, id, publish(id, n)).status);
			n++;
		}
		net.start(*old);
		EXPECT_TRUE(
			net.run_until(5000000, [&] { return all_at(net, n); }));
	}
	net.stop(net.at(5));
	net.start(net.at(5));
	EXPECT_FALSE(net.fresh(net.at(5)));
	EXPECT_TRUE(
		net.run_until(3000000, [&] { return net.fresh(net.at(5)); }));
	EXPECT_EQ(n, net.at(5).revision());
	expect_clean(net);
}

// Nobody can be heard of: there is nothing to wait for.
TEST(State, AllThatStartAgainTogetherHaveALeaderWithinOneElectionTimeout)
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
		expect_clean(net);
	}
}

// A disk that lost what it had acknowledged must not elect a leader without it.
TEST(State, EmptiedDiskElectsNobodyWhoMissesWhatWasDecided)
{
	Net::Options o;
	o.learners = 0;
	Net net(o);

	net.start_all();
	net.run(4000000);
	Daemon *lead = net.leader();
	ASSERT_NE(nullptr, lead);
	host_id_t stale = lead->id % 3 + 1;
	host_id_t other = stale % 3 + 1;

	net.stop(net.at(stale));
	ASSERT_EQ(CHANGE_DECIDED,
		  change(net, lead->id, "a", publish("a", 0)).status);
	net.stop(*lead);
	net.wipe(net.at(other));
	net.start(net.at(other));
	net.start(net.at(stale));
	net.run(20000000);
	EXPECT_EQ(nullptr, net.leader());
	net.start(*lead);
	EXPECT_TRUE(net.run_until(30000000, [&] { return all_at(net, 1); }));
	expect_clean(net);
}

// A voter that does not hear the leader deposes nobody whom the others hear.
TEST(State, DeafVoterDoesNotEndATerm)
{
	Net net(Net::Options{});

	net.start_all();
	net.run(4000000);
	Daemon *lead = net.leader();
	ASSERT_NE(nullptr, lead);
	uint64_t term = lead->lease_status.term;

	net.block(lead->id, lead->id % 3 + 1, true);
	net.run(5000000);
	ASSERT_EQ(lead, net.leader());
	EXPECT_EQ(term, lead->lease_status.term);
	expect_clean(net);
}

TEST(State, CutOffLeaderKeepsNobodyFresh)
{
	Net net(Net::Options{});

	net.start_all();
	net.run(4000000);
	Daemon *old = net.leader();
	ASSERT_NE(nullptr, old);
	// Learner 4 stays with the old leader; the others are beyond.
	for (auto &d : net.daemons)
		if (d->id != old->id && d->id != 4)
			for (host_id_t side : {old->id, (host_id_t)4}) {
				net.block(side, d->id, true);
				net.block(d->id, side, true);
			}
	net.run(net.max_staleness_us + 2 * net.heartbeat_us);
	EXPECT_FALSE(net.fresh(*old));
	EXPECT_FALSE(net.fresh(net.at(4)));
	Daemon *now = net.leader();
	ASSERT_NE(nullptr, now);
	EXPECT_NE(old->id, now->id);
	EXPECT_TRUE(net.fresh(net.at(5)));
	Outcome out = change(net, 4, "x", publish("x", 0));
	EXPECT_NE(CHANGE_DECIDED, out.status);
	net.heal();
	EXPECT_TRUE(
		net.run_until(5000000, [&] { return net.fresh(net.at(4)); }));
	expect_clean(net);
}

TEST(State, TargetsGetOwnersAndMoveWithinLeaseAndOneSecond)
{
	Net net(Net::Options{});

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	ASSERT_EQ(CHANGE_DECIDED,
		  change(net, 1, "hosts", hosts(net, 0)).status);
	ChangeBuilder b("targets", 1);
	for (int i = 0; i < 12; i++)
		b.target("t" + std::to_string(i), 9000 + i);
	ASSERT_EQ(CHANGE_DECIDED, change(net, 1, "targets", b.pack()).status);
	auto owned = [&](host_id_t not_by) {
		const decided_t *d =
			net.leader() ? net.leader()->tables : nullptr;
		for (size_t i = 0; d && i < decided_target_count(d); i++) {
			host_id_t o = decided_target_at(d, i)->owner;
			if (!o || o == not_by)
				return false;
		}
		return d && decided_target_count(d) == 12;
	};
	EXPECT_TRUE(net.run_until(5000000, [&] { return owned(0); }));
	net.run(1000000);
	// A learner is lost.
	net.stop(net.at(5));
	EXPECT_TRUE(net.run_until(net.lease_us + 1000000,
				  [&] { return owned(5); }));
	// Another leaves cleanly: no waiting.
	state_leave(net.at(4).st);
	EXPECT_TRUE(net.run_until(500000, [&] { return owned(4); }));
	for (size_t i = 0; i < 12; i++)
		EXPECT_NE(4u, decided_target_at(net.leader()->tables, i)
				      ->previous_owner);
	expect_clean(net);
}

static std::map<std::string, host_id_t> owners(const Net &net)
{
	std::map<std::string, host_id_t> m;
	const decided_t *d = net.daemons[0]->tables;

	for (size_t i = 0; d && i < decided_target_count(d); i++) {
		const target_t *t = decided_target_at(d, i);
		m[text(t->name)] = t->owner;
	}
	return m;
}

TEST(State, AHostThatComesBackGetsItsTargetsAgainAndNoOthersMove)
{
	Net net(Net::Options{});

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	change(net, 1, "hosts", hosts(net, 0));
	ChangeBuilder b("targets", 1);
	for (int i = 0; i < 20; i++)
		b.target("t" + std::to_string(i), 9000 + i);
	change(net, 1, "targets", b.pack());
	net.run(12 * net.lease_us);
	auto before = owners(net);
	net.stop(net.at(5));
	net.run(net.lease_us + 1000000);
	auto without = owners(net);
	for (auto &o : before)
		if (o.second != 5)
			EXPECT_EQ(o.second, without[o.first]) << o.first;
		else
			EXPECT_NE(5u, without[o.first]) << o.first;
	net.start(net.at(5));
	net.run(2 * net.lease_us);
	EXPECT_EQ(without, owners(net)); // not before it has settled
	net.run(6 * net.lease_us);
	EXPECT_EQ(before, owners(net));
	expect_clean(net);
}

TEST(State, TheFeedTreeReachesManyAndReplacesASilentRelay)
{
	Net::Options o;
	o.learners = 60;
	o.fanout = 3;
	Net net(o);

	net.start_all();
	EXPECT_TRUE(net.run_until(10000000, [&] {
		for (auto &d : net.daemons)
			if (!net.fresh(*d) || d->live.size() != 63)
				return false;
		return true;
	}));
	net.run(2000000);
	int64_t worst = 0;
	for (uint64_t i = 0; i < 20; i++) {
		std::string id = "c" + std::to_string(i);
		ASSERT_EQ(CHANGE_DECIDED,
			  change(net, 1, id, publish(id, i)).status);
		int64_t accepted = net.now_us;
		ASSERT_TRUE(net.run_until(1000000,
					  [&] { return all_at(net, i + 1); }));
		worst = std::max(worst, net.now_us - accepted);
	}
	EXPECT_LT(worst, 100000);
	// Relays become silent, without a word.
	for (host_id_t id : {4, 5, 6, 7})
		net.isolate(id, true);
	ASSERT_EQ(CHANGE_DECIDED,
		  change(net, 1, "late", publish("late", 20)).status);
	EXPECT_TRUE(net.run_until(3000000, [&] {
		for (auto &d : net.daemons)
			if ((d->id < 4 || d->id > 7) && d->revision() < 21)
				return false;
		return true;
	}));
	net.heal();
	EXPECT_TRUE(net.run_until(3000000, [&] { return all_at(net, 21); }));
	expect_clean(net);
}

TEST(State, AVoterWhoseDiskFailsGoesOnWithoutIt)
{
	Net net(Net::Options{});

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	Daemon *failing = net.leader();
	failing->disk->on_sync = [] { return false; };
	for (uint64_t i = 0; i < 20; i++) {
		std::string id = "c" + std::to_string(i);
		// The first one may be refused or unknown: it is sent again.
		while (change(net, 4, id, publish(id, i)).status !=
		       CHANGE_DECIDED)
			ASSERT_LT(net.now_us, 60000000);
	}
	EXPECT_TRUE(net.run_until(5000000, [&] {
		return all_at(net, 20) && net.fresh(*failing);
	}));
	buf_t b = {};
	state_status(failing->st, &b);
	EXPECT_NE(nullptr, strstr(b.p, "\"role\":\"failed\"")) << b.p;
	buf_free(&b);
	expect_clean(net);
}

TEST(State, ClaimsAreGrantedOnce)
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
	expect_clean(net);
}

static bool status_has(Daemon &d, const std::string &what)
{
	buf_t b = {};

	state_status(d.st, &b);
	bool has = strstr(b.p, what.c_str()) != nullptr;
	buf_free(&b);
	return has;
}

TEST(State, OperatorsMoveTheVotersOneAtATime)
{
	Net::Options o;
	o.spares = 1;
	Net net(o);
	ChangeBuilder with("with", 0);
	ChangeBuilder without("without", 1);

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	// A host with a disk that nobody asked for holds the log, no vote.
	net.run(3000000);
	EXPECT_TRUE(net.fresh(net.at(4)));
	EXPECT_TRUE(status_has(net.at(4), "\"votes\":false"));
	for (host_id_t id = 1; id <= 4; id++)
		with.host("host" + std::to_string(id), 7000 + 2 * (int)id,
			  true);
	for (host_id_t id = 5; id <= 6; id++)
		with.host("host" + std::to_string(id), 7000 + 2 * (int)id);
	ASSERT_EQ(CHANGE_DECIDED, change(net, 5, "with", with.pack()).status);
	EXPECT_TRUE(net.run_until(5000000, [&] {
		return status_has(net.at(4), "\"votes\":true");
	}));
	// The leader itself goes.
	host_id_t gone = net.leader()->id;
	without.host("host" + std::to_string(gone), 7000 + 2 * (int)gone,
		     false);
	ASSERT_EQ(CHANGE_DECIDED,
		  change(net, 5, "without", without.pack()).status);
	EXPECT_TRUE(net.run_until(10000000, [&] {
		return net.leader() && net.leader()->id != gone;
	}));
	EXPECT_TRUE(net.run_until(5000000, [&] {
		return status_has(*net.leader(), "\"members_settled\":true");
	}));
	// Two of the three that are left decide; the one that went does not.
	net.stop(net.at(gone));
	for (host_id_t id = 1; id <= 4; id++)
		if (id != gone && id != net.leader()->id) {
			net.stop(net.at(id));
			break;
		}
	EXPECT_EQ(CHANGE_DECIDED,
		  change(net, 5, "last", publish("last", 2)).status);
	expect_clean(net);
}

TEST(State, EmptiedVoterRejoinsAndASecondLossLosesNothing)
{
	Net net(Net::Options{});
	uint64_t n = 0;
	auto more = [&](int count) {
		for (int i = 0; i < count; i++) {
			std::string id = "c" + std::to_string(n);
			ASSERT_EQ(CHANGE_DECIDED,
				  change(net, 4, id, publish(id, n)).status);
			n++;
		}
	};

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	more(100);
	for (int round = 0; round < 6; round++) {
		Daemon &d = net.at((host_id_t)(round % 3 + 1));
		net.wipe(d);
		more(5);
		net.start(d);
		// Repaired: it is a voter again, on its new folder.
		EXPECT_TRUE(net.run_until(10000000, [&] {
			buf_t b = {};
			state_status(d.st, &b);
			bool votes = strstr(b.p, "\"votes\":true");
			buf_free(&b);
			return votes && d.revision() == n;
		})) << round;
	}
	more(5);
	EXPECT_TRUE(net.run_until(2000000, [&] { return all_at(net, n); }));
	expect_clean(net);
}

// Seeds may be hosts without a disk, which know nothing after a restart.
TEST(State, SeedsWithoutADiskAreFoundByTheLeaderAfterAllHostsRestarted)
{
	Net::Options o;
	o.learners = 3;
	Net net(o);

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	EXPECT_EQ(CHANGE_DECIDED, change(net, 4, "a", publish("a", 0)).status);
	for (auto &d : net.daemons)
		net.stop(*d);
	net.opt.seeds = {4, 5, 6};
	net.start_all();
	EXPECT_TRUE(net.run_until(10000000, [&] {
		return all_at(net, 1) && net.fresh(net.at(4)) &&
		       net.fresh(net.at(5)) && net.fresh(net.at(6));
	}));
	expect_clean(net);
}

// The same where the leader goes on and is only told of its new seeds.
TEST(State, LeaderFindsNewSeedsThatItWasToldOf)
{
	const host_id_t seeds[] = {4, 5, 6};
	Net::Options o;
	o.learners = 3;
	Net net(o);

	net.start_all();
	net.run_until(5000000, [&] { return net.leader(); });
	EXPECT_EQ(CHANGE_DECIDED, change(net, 4, "a", publish("a", 0)).status);
	for (host_id_t id : seeds)
		net.stop(net.at(id));
	net.opt.seeds = {4, 5, 6};
	for (host_id_t id = 1; id <= 3; id++)
		state_set_seeds(net.at(id).st, seeds, 3);
	for (host_id_t id : seeds)
		net.start(net.at(id));
	EXPECT_TRUE(net.run_until(10000000, [&] { return all_at(net, 1); }));
	expect_clean(net);
}
