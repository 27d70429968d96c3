// A part of prompts that crashes the runners that begin to answer on it, beside
// requests that share all other parts with those, and ordinary crashes.
#include <gtest/gtest.h>

#include <algorithm>

#include "crash_traffic.h"

using namespace crash_traffic;

namespace
{

// Both rules hold together: such requests stop, sound ones go on.
void check_both_rules(uint64_t seed, size_t n_runners, const Traffic &t,
		      int64_t us)
{
	World w(seed, {}, fleet_of(n_runners));
	Traffic calm = t;

	calm.crashing_per_s = 0;
	w.run(LIST_ARRIVES_US, 0);
	int64_t began = w.now;
	std::vector<uint64_t> before = run_traffic(w, 6000 * MS, calm);
	double usual = share_begun(w, before, began, w.now - 200 * MS);
	std::vector<uint64_t> during = run_traffic(w, us, t);
	int64_t last_fifth = 0;

	for (uint64_t part : t.crash_parts) {
		int64_t fifth = fifth_crash_us(w, part);

		last_fifth = std::max(last_fifth, fifth);
		EXPECT_LE(runs_after(w, fifth + CONTACT_US, part), MOST_MORE)
			<< w.crash_times[part].size() << " crashes, seed "
			<< seed;
	}
	double share = share_begun(w, during, last_fifth + 2 * CONTACT_US,
				   w.now - 200 * MS);

	EXPECT_GE(share, usual / 2) << "seed " << seed;
}

TEST(Crash, PartThatCrashesRunnersIsSentToFewMore)
{
	for (uint64_t seed = 1; seed <= 10; seed++)
		check_both_rules(seed, 12, {}, 40000 * MS);
}

TEST(Crash, PartThatCrashesRunnersSlowlyIsSentToFewMore)
{
	Traffic t;

	t.crashing_per_s = 0.7;
	for (uint64_t seed = 1; seed <= 10; seed++)
		check_both_rules(seed, 30, t, 40000 * MS);
}

TEST(Crash, FirstPartThatCrashesRunnersIsSentToFewMore)
{
	Traffic t;

	t.crash_part_is_first = true;
	for (uint64_t seed = 1; seed <= 5; seed++)
		check_both_rules(seed, 12, t, 30000 * MS);
}

TEST(Crash, SeveralPartsThatCrashRunnersAreSentToFewMore)
{
	Traffic t;

	t.crash_parts = {CRASH_PART, CRASH_PART + 1, CRASH_PART + 2};
	for (uint64_t seed = 1; seed <= 5; seed++)
		check_both_rules(seed, 24, t, 40000 * MS);
}

TEST(Crash, OrdinaryCrashesQuarantineNothing)
{
	Traffic t;

	t.crashing_per_s = 0;
	for (uint64_t seed = 1; seed <= 30; seed++) {
		World w(seed, {}, fleet_of(12));

		w.run(LIST_ARRIVES_US, 0);
		run_with_ordinary_crashes(w, 60000 * MS, t);
		EXPECT_GE(w.crash_times[0].size(), 20u);
		EXPECT_EQ(0u, refused_by_quarantine(w)) << "seed " << seed;
	}
}

TEST(Crash, ManyRunnersThatEndTogetherQuarantineNothing)
{
	Traffic t;

	t.crashing_per_s = 0;
	t.sound_per_s = 100;
	for (uint64_t seed = 1; seed <= 30; seed++) {
		World w(seed, {}, fleet_of(12));

		w.run(LIST_ARRIVES_US, 0);
		for (int i = 0; i < 4; i++) {
			run_traffic(w, 3500 * MS, t);
			for (size_t r = 0; r < w.runners.size(); r += 1 + i % 2)
				w.crash(w.runners[r].id);
		}
		run_traffic(w, 5000 * MS, t);
		EXPECT_EQ(0u, refused_by_quarantine(w)) << "seed " << seed;
	}
}

TEST(Crash, OrdinaryCrashesDoNotHideAPartThatCrashesRunners)
{
	for (uint64_t seed = 1; seed <= 10; seed++) {
		World w(seed, {}, fleet_of(12));
		Traffic t;

		w.run(LIST_ARRIVES_US, 0);
		run_with_ordinary_crashes(w, 20000 * MS, t);
		int64_t fifth = fifth_crash_us(w, CRASH_PART);

		EXPECT_LE(runs_after(w, fifth + CONTACT_US, CRASH_PART),
			  MOST_MORE)
			<< "seed " << seed;
	}
}

// The dispatcher that takes over learns from the entries what they have seen.
TEST(Crash, ATakeoverForgetsNoCrash)
{
	for (uint64_t seed = 1; seed <= 10; seed++) {
		World w(seed, {}, fleet_of(12));
		Traffic t;

		w.run(LIST_ARRIVES_US, 0);
		for (int i = 0; i < 6; i++) {
			run_traffic(w, (int64_t)(300 + w.rng() % 700) * MS, t);
			w.another_takes_over();
			w.tell_all_crashes();
		}
		// No host was in touch for CONTACT_US after the last one.
		int64_t taken_over = w.now;
		run_traffic(w, 15000 * MS, t);
		int64_t fifth =
			std::max(taken_over, fifth_crash_us(w, CRASH_PART));

		EXPECT_LE(runs_after(w, fifth + CONTACT_US, CRASH_PART),
			  MOST_MORE)
			<< "seed " << seed;
	}
}

TEST(Crash, ATakeoverAfterOrdinaryCrashesQuarantinesNothing)
{
	Traffic t;

	t.crashing_per_s = 0;
	t.sound_per_s = 100;
	t.n_middle_parts = 400;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		World w(seed, {}, fleet_of(12));

		w.run(LIST_ARRIVES_US, 0);
		for (int i = 0; i < 3; i++) {
			run_with_ordinary_crashes(w, 20000 * MS, t);
			w.another_takes_over();
			w.tell_all_crashes();
		}
		run_with_ordinary_crashes(w, 5000 * MS, t);
		EXPECT_EQ(0u, refused_by_quarantine(w)) << "seed " << seed;
	}
}

TEST(Crash, ADispatcherThatStartsAnewRefusesWhatIsDecided)
{
	World w(1, {}, fleet_of(12));

	w.run(LIST_ARRIVES_US, 0);
	w.decide_quarantine("bad0\t5\t0\n");
	w.another_takes_over();
	uint64_t id = w.ask_with_parts({FIRST_PART, CRASH_PART, 7});

	EXPECT_EQ((uint32_t)REASON_PROMPT_QUARANTINED, w.requests[id].refusal);
	id = w.ask_with_parts({FIRST_PART, 7});
	w.run(500 * MS, 0);
	EXPECT_EQ(1, w.requests[id].grants);
}

TEST(Crash, APartThatAnOperatorReleasesIsServedAgain)
{
	World w(1, {}, fleet_of(12));

	w.run(LIST_ARRIVES_US, 0);
	run_traffic(w, 5000 * MS, {});
	EXPECT_LT(0u, refused_by_quarantine(w));
	w.crash_parts.clear();
	w.decide_quarantine("");
	w.run(1000 * MS, 0);
	uint64_t id = w.ask_with_parts({FIRST_PART, CRASH_PART, 7});

	w.run(500 * MS, 0);
	EXPECT_EQ(1, w.requests[id].grants);
}

// Asks with the part until it is granted, for at most this long.
bool is_served_within(World &w, int64_t us)
{
	for (int64_t end = w.now + us; w.now < end;) {
		uint64_t id = w.ask_with_parts({FIRST_PART, CRASH_PART, 7});

		w.run(500 * MS, 0);
		if (w.requests[id].grants)
			return true;
	}
	return false;
}

TEST(Crash, TrialsOfAPartThatStillCrashesRunnersAreFew)
{
	World w(1, {}, fleet_of(12));

	w.crash_parts.insert(CRASH_PART);
	w.run(LIST_ARRIVES_US, 0);
	w.decide_quarantine("bad0\t5\t0\n");
	for (int i = 0; i < 3600; i++) {
		w.ask_with_parts({FIRST_PART, CRASH_PART, 7});
		w.run(1000 * MS, 0);
		if (i % 600 == 0)
			w.begin(false);
	}
	EXPECT_GE(w.crashing_runs.size(), 1u);
	EXPECT_LE(w.crashing_runs.size(), MOST_MORE);
}

TEST(Crash, APartThatCrashesNoRunnerAnyMoreIsReleasedByATrial)
{
	World w(1, {}, fleet_of(12));

	w.run(LIST_ARRIVES_US, 0);
	w.decide_quarantine("bad0\t5\t0\n");
	w.another_takes_over();
	EXPECT_FALSE(is_served_within(w, 8000 * MS));
	EXPECT_TRUE(is_served_within(w, 10000 * MS));
	w.run(1000 * MS, 0); // the trial is answered
	EXPECT_TRUE(is_served_within(w, 500 * MS));
}

TEST(Crash, OtherSoftwareOfTheRunnersIsTriedAtOnce)
{
	World w(1, {}, fleet_of(12));

	w.run(LIST_ARRIVES_US, 0);
	w.decide_builds("llm\tv1\n");
	w.decide_quarantine("bad0\t5\t0\n");
	EXPECT_FALSE(is_served_within(w, 5000 * MS));
	w.decide_builds("llm\tv1\nllm\tv2\n");
	EXPECT_TRUE(is_served_within(w, 500 * MS));
}

TEST(Crash, ARunnerThatShutsDownMakesNoSuspects)
{
	World w(1, {}, fleet_of(12));
	Traffic t;

	t.crashing_per_s = 0;
	for (SimRunner &r : w.runners)
		r.draining = true;
	w.run(LIST_ARRIVES_US, 0);
	for (SimRunner &r : w.runners) {
		w.tell_crash_of(r.id, {FIRST_PART, 0x500, 0x501});
		r.draining = false;
	}
	w.run(LIST_ARRIVES_US, 0);
	uint64_t id = w.ask_with_parts({FIRST_PART, 0x500, 7});

	w.run(500 * MS, 0);
	EXPECT_EQ(1, w.requests[id].grants);
}

TEST(Crash, AReleasedPartIsTakenOutOfTheDocument)
{
	buf_t out = {};

	EXPECT_TRUE(dispatch_release_cause(STR("a\t3\t0\nbad0\t5\t1\n"),
					   STR("a"), &out));
	EXPECT_EQ("bad0\t5\t1\n", std::string(out.p, out.n));
	buf_reset(&out);
	EXPECT_FALSE(dispatch_release_cause(STR("a\t3\t0\n"), STR("b"), &out));
	EXPECT_FALSE(dispatch_release_cause(STR(""), STR("b"), &out));
	buf_free(&out);
}

TEST(Crash, RequestsThatWaitAreRefusedOnceTheirPartIsKnown)
{
	World w(1, {}, fleet_of(12));

	w.run(LIST_ARRIVES_US, 0);
	w.next_parts = {FIRST_PART, CRASH_PART, 7};
	uint64_t id = w.ask("cold");

	w.next_parts.clear();
	EXPECT_EQ(0, w.requests[id].grants + w.requests[id].refusals);
	w.decide_quarantine("bad0\t5\t0\n");
	w.run(200 * MS, 0);
	EXPECT_EQ((uint32_t)REASON_PROMPT_QUARANTINED, w.requests[id].refusal);
}

TEST(Crash, ConnectionsLostToRunnersThatLiveQuarantineNothing)
{
	World w(1, {}, fleet_of(12));
	Traffic t;

	t.crashing_per_s = 0;
	w.run(LIST_ARRIVES_US, 0);
	for (int i = 0; i < 8; i++) {
		run_traffic(w, 1000 * MS, t);
		w.tell_crash_of(w.runners[(size_t)i].id,
				{FIRST_PART, 0x500, 0x501});
	}
	run_traffic(w, 2000 * MS, t);
	uint64_t id = w.ask_with_parts({FIRST_PART, 0x500, 7});

	w.run(500 * MS, 0);
	EXPECT_EQ(1, w.requests[id].grants);
	EXPECT_EQ(0u, refused_by_quarantine(w));
}

} // namespace
