// Tests of which hosts callers are told: proportions over many answers, loss of
// hosts, hosts that are short of something, and how a host judges its own load.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "host_share.h"

namespace
{

const int64_t SEC = USEC_PER_SEC;
const size_t MAX = 64; // addresses of an answer

host_row_t host(host_id_t id, double cores, double link, uint32_t memory,
		bool disk = false)
{
	host_row_t r = {};

	r.id = id;
	r.zone = STR("z");
	r.capacity = {cores, link, memory, 0, disk};
	return r;
}

// The hosts of one failure domain of the two deployments, the first with a disk.
std::vector<host_row_t> zone_a()
{
	std::vector<host_row_t> rows;

	for (host_id_t i = 0; i < 31; i++)
		rows.push_back(i < 2 ? host(i + 1, 0.32, 100, 160, true)
				     : host(i + 1, 0.12, 10, 160));
	return rows;
}
std::vector<host_row_t> zone_b()
{
	std::vector<host_row_t> rows;

	for (host_id_t i = 0; i < 20; i++)
		rows.push_back(i < 2   ? host(i + 1, 0.32, 100, 160, true)
			       : i < 6 ? host(i + 1, 0.3, 25, 400)
				       : host(i + 1, 0.09, 7.5, 120));
	return rows;
}

std::vector<uint32_t> select(const std::vector<host_row_t> &rows, uint64_t draw)
{
	std::vector<uint32_t> out(MAX);

	out.resize(host_share_select(rows.data(), rows.size(), draw, out.data(),
				     MAX));
	return out;
}

// The part of the connections that each host gets from callers that take any address
// of their answer for each, and keep the answer for several connections.
std::vector<double> parts(const std::vector<host_row_t> &rows,
			  int answers = 20000)
{
	std::vector<double> got(rows.size());
	std::mt19937_64 rng(7);
	const int per_answer = 5;

	for (int i = 0; i < answers; i++) {
		std::vector<uint32_t> list = select(rows, rng());

		for (int j = 0; j < per_answer; j++)
			got[list[rng() % list.size()]] +=
				1.0 / (answers * per_answer);
	}
	return got;
}

double spread(const std::vector<host_row_t> &rows, bool by_share)
{
	std::vector<double> got =
		by_share ? parts(rows)
			 : std::vector<double>(rows.size(), 1.0 / rows.size());
	double most = 0;
	double sum = 0;

	for (size_t i = 0; i < rows.size(); i++)
		sum += host_capacity_streams(&rows[i].capacity);
	for (size_t i = 0; i < rows.size(); i++)
		most = std::max(
			most, got[i] * sum /
				      host_capacity_streams(&rows[i].capacity));
	return most;
}

// Guards against the smallest hosts being the first to be overloaded.
TEST(HostShare, NoHostIsUsedMuchMoreThanTheOthers)
{
	EXPECT_LT(spread(zone_a(), true), 1.2);
	EXPECT_LT(spread(zone_b(), true), 1.2);
	EXPECT_GT(spread(zone_b(), false), 1.5);
}

TEST(HostShare, ConnectionsAreInProportionToWhatIsListed)
{
	for (auto rows : {zone_a(), zone_b()}) {
		std::vector<double> expected(rows.size());
		std::vector<double> got = parts(rows);

		host_share_parts(rows.data(), rows.size(), expected.data());
		for (size_t i = 0; i < rows.size(); i++)
			EXPECT_NEAR(expected[i], got[i], expected[i] * 0.1)
				<< i;
	}
}

// Guards against a change of what callers get where no host differs.
TEST(HostShare, EqualHostsAreTheFirstInOrder)
{
	std::vector<host_row_t> rows;

	for (host_id_t i = 0; i < 100; i++)
		rows.push_back(host(i + 1, 0.12, 10, 160, i % 7 == 0));
	rows[3].is_leader = true;
	rows[5].capacity = {}; // an older daemon
	for (uint64_t draw = 0; draw < 50; draw++) {
		std::vector<uint32_t> got = select(rows, draw);

		ASSERT_EQ(MAX, got.size());
		for (uint32_t i = 0; i < MAX; i++)
			ASSERT_EQ(i, got[i]);
	}
	for (auto &r : rows)
		r.load = HOST_LOAD_FULL;
	EXPECT_EQ(MAX, select(rows, 1).size());
}

TEST(HostShare, NothingKnownOfCapacitiesIsAsEqual)
{
	std::vector<host_row_t> rows(10);

	EXPECT_EQ(10u, select(rows, 5).size());
}

// Guards against a caller that is left without an address, as two hosts with a disk
// are lost at once and a third restarts.
TEST(HostShare, LossOfThreeHostsLeavesEachCallerAnAddress)
{
	for (auto rows : {zone_a(), zone_b()}) {
		for (uint64_t draw = 0; draw < 5000; draw++) {
			std::vector<uint32_t> list = select(rows, draw);
			std::set<uint32_t> left(list.begin(), list.end());

			ASSERT_EQ(list.size(), left.size());
			ASSERT_LE(list.size(), HOST_SHARE_LIST_MAX);
			for (uint32_t lost : {0u, 1u, 7u})
				left.erase(lost);
			ASSERT_FALSE(left.empty());
		}
	}
}

TEST(HostShare, FewHostsAreAllListed)
{
	std::vector<host_row_t> rows = zone_b();

	rows.resize(4);
	rows[1].load = HOST_LOAD_FULL;
	EXPECT_EQ(4u, select(rows, 1).size());
}

// One host far above the others is in every list, and the others share the rest.
TEST(HostShare, HostThatCannotBeListedMoreOftenIsInEachList)
{
	std::vector<host_row_t> rows;
	std::map<uint32_t, int> listed;

	for (host_id_t i = 0; i < 9; i++)
		rows.push_back(host(i + 1, i ? 0.1 : 10, 1000, 4000));
	for (uint64_t draw = 0; draw < 8000; draw++)
		for (uint32_t i : select(rows, draw))
			listed[i]++;
	EXPECT_EQ(8000, listed[0]);
	for (uint32_t i = 1; i < 9; i++)
		EXPECT_NEAR(3000, listed[i], 250) << i;
}

TEST(HostShare, LoadedHostsAreListedLessButListed)
{
	std::vector<host_row_t> rows;

	for (host_id_t i = 0; i < 12; i++)
		rows.push_back(host(i + 1, 0.12, 10, 160));
	rows[0].load = HOST_LOAD_STRAINED;
	rows[1].load = HOST_LOAD_FULL;
	std::vector<double> got = parts(rows);

	EXPECT_NEAR(0.5, got[0] / got[5], 0.1);
	EXPECT_NEAR(0.125, got[1] / got[5], 0.05);
	// All but one are full: they are listed, as the one cannot carry it all.
	for (size_t i = 1; i < rows.size(); i++)
		rows[i].load = HOST_LOAD_FULL;
	got = parts(rows);
	for (double part : got)
		EXPECT_GT(part, 0.02);
}

TEST(HostShare, LeaderGetsFewerCallersWhereHostsDiffer)
{
	std::vector<host_row_t> rows = zone_a();
	std::vector<double> got;

	rows[0].is_leader = true;
	got = parts(rows);
	EXPECT_LT(got[0], got[10]);
	EXPECT_GT(got[1], got[10]);
}

// A daemon of an earlier build tells no capacity: it counts as the median host.
TEST(HostShare, HostOfUnknownCapacityIsListedAsAUsualOne)
{
	std::vector<host_row_t> rows = zone_b();
	std::vector<double> got;

	rows[8].capacity = {};
	got = parts(rows);
	EXPECT_NEAR(1, got[8] / got[10], 0.2);
}

TEST(HostShare, ScarcestResourceBounds)
{
	host_capacity_t c = host(1, 0.3, 25, 400).capacity;
	double all = host_capacity_streams(&c);

	c.link_mbit_per_s = 2.5;
	EXPECT_LT(host_capacity_streams(&c), all / 5);
	c = host(1, 0.3, 25, 400).capacity;
	c.memory_mb = 40;
	EXPECT_LT(host_capacity_streams(&c), all / 2);
	c = host(1, 0.3, 25, 400).capacity;
	c.fds = 100;
	EXPECT_LT(host_capacity_streams(&c), all / 10);
	c.memory_mb = 1; // less than an idle daemon takes
	EXPECT_GE(host_capacity_streams(&c), 1);
}

TEST(HostShare, CapacityDocumentIsReadBack)
{
	host_capacity_t c = {0.09, 7.5, 120, 3075, true};
	host_capacity_t got;
	buf_t body = {};

	host_capacity_write(&c, &body);
	ASSERT_EQ(0, host_capacity_read(buf_str(&body), &got));
	EXPECT_DOUBLE_EQ(c.cores, got.cores);
	EXPECT_DOUBLE_EQ(c.link_mbit_per_s, got.link_mbit_per_s);
	EXPECT_EQ(c.memory_mb, got.memory_mb);
	EXPECT_EQ(c.fds, got.fds);
	EXPECT_TRUE(got.has_disk);
	// A later build may add fields, or use another form.
	buf_puts(&body, " 17");
	EXPECT_EQ(0, host_capacity_read(buf_str(&body), &got));
	body.p[0] = '2';
	EXPECT_EQ(-1, host_capacity_read(buf_str(&body), &got));
	EXPECT_FALSE(host_capacity_is_known(&got));
	for (const char *bad : {"", "1", "1 2 3 4 5", "1 a 3 4 5 0", "z1",
				"1 99999999999 3 4 5 0"})
		EXPECT_EQ(-1, host_capacity_read(str_c(bad), &got)) << bad;
	buf_free(&body);
}

// A host with its samples, one each second.
struct Judged {
	host_judge_t judge = {};
	host_capacity_t capacity = {0.1, 10, 100, 1000, false};
	host_usage_t u = {};
	int64_t now = 100 * SEC;

	Judged()
	{
		u.memory = 30 << 20;
		tick(0);
	}
	// cpu: the part of the processor time allowed that was used.
	host_load_t tick(double cpu, int64_t us = SEC)
	{
		now += us;
		u.cpu_us += (int64_t)(cpu * capacity.cores * (double)us);
		return host_judge_add(&judge, &capacity, &u, now);
	}
	host_load_t ticks(double cpu, int n)
	{
		for (int i = 0; i < n; i++)
			tick(cpu);
		return judge.load;
	}
};

TEST(HostJudge, BusyProcessorIsToldWithinSecondsAndEndsAfterACalmTime)
{
	Judged h;

	EXPECT_EQ(HOST_LOAD_NORMAL, h.ticks(0.5, 20));
	EXPECT_EQ(HOST_LOAD_STRAINED, h.ticks(0.9, 4));
	EXPECT_EQ(HOST_SHORT_OF_PROCESSOR, h.judge.short_of);
	EXPECT_EQ(HOST_LOAD_FULL, h.ticks(1, 4));
	EXPECT_EQ(HOST_LOAD_FULL, h.ticks(0.1, 3));
	EXPECT_EQ(HOST_LOAD_NORMAL, h.ticks(0.1, 15));
	EXPECT_EQ(HOST_SHORT_OF_NOTHING, h.judge.short_of);
}

// Guards against reports at each change of a load that swings around a limit.
TEST(HostJudge, SwingingLoadChangesTheClassRarely)
{
	Judged h;
	host_load_t last = h.judge.load;
	int changes = 0;

	for (int i = 0; i < 600; i++) {
		host_load_t load = h.tick(i % 8 < 4 ? 1 : 0.3);

		changes += load != last;
		last = load;
	}
	EXPECT_LE(changes, 2);
}

TEST(HostJudge, OneBusySampleIsNoLoad)
{
	Judged h;

	h.u.memory = 95 << 20;
	EXPECT_EQ(HOST_LOAD_NORMAL, h.tick(0));
	h.u.memory = 30 << 20;
	EXPECT_EQ(HOST_LOAD_NORMAL, h.ticks(0, 3));
}

TEST(HostJudge, MemoryUnsentBytesDescriptorsAndSlowTurnsCount)
{
	Judged memory, unsent, fds, turns;

	memory.u.memory = 80 << 20;
	EXPECT_EQ(HOST_LOAD_STRAINED, memory.ticks(0, 2));
	memory.u.memory = 92 << 20;
	EXPECT_EQ(HOST_LOAD_FULL, memory.ticks(0, 2));
	EXPECT_EQ(HOST_SHORT_OF_MEMORY, memory.judge.short_of);
	unsent.u.unsent_max = 100;
	unsent.u.unsent = 60;
	EXPECT_EQ(HOST_LOAD_STRAINED, unsent.ticks(0, 2));
	EXPECT_EQ(HOST_SHORT_OF_UNSENT, unsent.judge.short_of);
	fds.u.fds = 950;
	EXPECT_EQ(HOST_LOAD_FULL, fds.ticks(0, 2));
	EXPECT_EQ(HOST_SHORT_OF_FDS, fds.judge.short_of);
	for (int i = 0; i < 2; i++) {
		turns.u.n_slow += 4;
		turns.u.slow_us += 300 * USEC_PER_MSEC;
		turns.tick(0);
	}
	EXPECT_EQ(HOST_LOAD_STRAINED, turns.judge.load);
	EXPECT_EQ(HOST_SHORT_OF_TURNS, turns.judge.short_of);
}

// A host that was paused has one turn that took all the time, and is not loaded.
TEST(HostJudge, PausedHostIsNotLoaded)
{
	Judged h;

	h.u.n_slow++;
	h.u.slow_us += 5 * SEC;
	EXPECT_EQ(HOST_LOAD_NORMAL, h.tick(0, 5 * SEC));
	EXPECT_EQ(HOST_LOAD_NORMAL, h.ticks(0.2, 10));
}

TEST(HostJudge, WithoutKnownLimitsOnlySlowTurnsCount)
{
	Judged h;

	h.capacity = {};
	h.u.memory = 1ull << 40;
	h.u.fds = 100000;
	EXPECT_EQ(HOST_LOAD_NORMAL, h.ticks(50, 5));
}

// A host whose reports end counts as idle, not as gone.
TEST(HostLoads, LoadExpires)
{
	host_loads_t *l = host_loads_new();
	host_id_t out[4];

	EXPECT_TRUE(host_loads_set(l, 7, HOST_LOAD_FULL, 10 * SEC, SEC));
	EXPECT_FALSE(host_loads_set(l, 7, HOST_LOAD_FULL, 12 * SEC, 2 * SEC));
	EXPECT_EQ(HOST_LOAD_FULL, host_loads_get(l, 7, 11 * SEC));
	EXPECT_EQ(1u, host_loads_list(l, HOST_LOAD_FULL, out, 4));
	EXPECT_EQ(0u, host_loads_list(l, HOST_LOAD_STRAINED, out, 4));
	EXPECT_EQ(HOST_LOAD_NORMAL, host_loads_get(l, 7, 12 * SEC));
	EXPECT_FALSE(host_loads_expire(l, 11 * SEC));
	EXPECT_TRUE(host_loads_expire(l, 12 * SEC));
	EXPECT_TRUE(host_loads_empty(l));
	EXPECT_TRUE(
		host_loads_set(l, 7, HOST_LOAD_STRAINED, 20 * SEC, 13 * SEC));
	EXPECT_TRUE(host_loads_set(l, 7, HOST_LOAD_NORMAL, 0, 14 * SEC));
	EXPECT_TRUE(host_loads_empty(l));
	host_loads_free(l);
}

// Guards against a leader of 2,300 hosts that sends more than its link and its loop
// bear, however often loads change and however many hosts are loaded.
TEST(HostSpread, RateIsBoundedAndAllAreTold)
{
	const size_t hosts = 2300;

	for (size_t bytes : {6u, 50u, 1040u}) {
		host_spread_t spread = {};
		std::vector<int> told(hosts);
		size_t sent = 0;
		int64_t now = 0;

		for (; now < 60 * SEC; now += HOST_SPREAD_STEP_US) {
			size_t first;

			spread.changed = true;
			if (now % SEC == 0)
				host_spread_begin(&spread, false, now);
			if (!spread.in_round)
				continue;
			for (size_t n = host_spread_step(&spread, hosts, bytes,
							 &first);
			     n; n--, sent++)
				told[first++]++;
		}
		EXPECT_LE(sent, 400 * 60u) << bytes;
		EXPECT_LE(sent * bytes, 128000 * 60u) << bytes;
		for (int n : told)
			EXPECT_GE(n, 2) << bytes;
	}
}

TEST(HostSpread, NothingIsSentWhileAllAreNormal)
{
	host_spread_t spread = {};
	size_t first;

	EXPECT_FALSE(host_spread_begin(&spread, true, 100 * SEC));
	spread.changed = true; // the last one became normal: that is told once
	EXPECT_TRUE(host_spread_begin(&spread, true, 101 * SEC));
	EXPECT_FALSE(host_spread_begin(&spread, true, 101 * SEC));
	EXPECT_EQ(3u, host_spread_step(&spread, 3, 6, &first));
	EXPECT_FALSE(spread.in_round);
	EXPECT_FALSE(host_spread_begin(&spread, true, 200 * SEC));
	EXPECT_TRUE(host_spread_begin(&spread, false, 200 * SEC));
	// The set of hosts shrinks during a round.
	spread.at = 9;
	EXPECT_EQ(0u, host_spread_step(&spread, 5, 6, &first));
	EXPECT_FALSE(spread.in_round);
}

} // namespace
