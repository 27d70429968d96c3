// A request that crashes the runners that begin to run it, and comes again, beside
// sound ones, popular ones that many send alike, and ordinary crashes.
#include <gtest/gtest.h>

#include "crash_traffic.h"

using namespace crash_traffic;

namespace
{

constexpr uint64_t CRASH_DIGEST = 0xd1e;
constexpr uint64_t POPULAR_DIGEST = 0x909;
// Crashes after which such a request may reach MOST_MORE runners more.
constexpr size_t REQUEST_CRASHES = 3;

struct Alike {
	std::string service = "app";
	double sound_per_s = 60;
	double crashing_per_s = 5;
	size_t n_crashing = 1;	  // different requests that crash runners
	double popular_share = 0; // of the sound ones, that are alike
	bool may_repeat = true;	  // entries send it to a second runner
};

std::vector<uint64_t> parts_of(const Alike &t, uint64_t digest)
{
	if (t.service != "llm")
		return {};
	return {FIRST_PART, 0x100 + digest % 40, 0x10000 + digest};
}

// Runs both kinds of requests; returns those that are sound.
std::vector<uint64_t> run_alike(World &w, int64_t us, const Alike &t)
{
	constexpr int64_t STEP_US = 5 * MS;
	double step_s = 0.005;
	std::vector<uint64_t> sound;

	for (size_t i = 0; i < t.n_crashing; i++)
		w.crash_digests.insert(CRASH_DIGEST + i);
	for (int64_t end = w.now + us; w.now < end;) {
		w.run(STEP_US, 0);
		if (chance(w, t.sound_per_s * step_s)) {
			uint64_t digest = chance(w, t.popular_share)
						  ? POPULAR_DIGEST
						  : 0x100000 + w.next_id;

			sound.push_back(w.ask_alike(t.service, digest,
						    parts_of(t, digest),
						    t.may_repeat));
		}
		if (chance(w, t.crashing_per_s * step_s)) {
			uint64_t digest = CRASH_DIGEST + w.rng() % t.n_crashing;

			w.ask_alike(t.service, digest, parts_of(t, digest),
				    t.may_repeat);
		}
	}
	return sound;
}

int64_t third_crash_us(const World &w, uint64_t digest)
{
	auto times = w.crash_times.find(digest);

	if (times == w.crash_times.end())
		return w.now;
	return times
		->second[std::min(REQUEST_CRASHES, times->second.size()) - 1];
}

size_t sound_refused_by_quarantine(const World &w)
{
	size_t n = 0;

	for (auto &r : w.requests)
		n += (r.second.refusal == REASON_REQUEST_QUARANTINED ||
		      r.second.refusal == REASON_PROMPT_QUARANTINED) &&
		     !w.crash_digests.count(r.second.digest);
	return n;
}

World *world_of(uint64_t seed, const Alike &t, size_t n_runners)
{
	World *w = new World(seed, {},
			     fleet_of(t.service == "llm" ? n_runners : 1));

	if (t.service != "llm")
		w->add_plain_runners(n_runners);
	w->callers_retries = 2;
	w->run(LIST_ARRIVES_US, 0);
	return w;
}

// Such requests stop, sound ones go on, and no sound one is taken for such a one.
void check_both_rules(uint64_t seed, size_t n_runners, const Alike &t,
		      int64_t us)
{
	std::unique_ptr<World> w(world_of(seed, t, n_runners));
	Alike calm = t;

	calm.crashing_per_s = 0;
	int64_t began = w->now;
	std::vector<uint64_t> before = run_alike(*w, 6000 * MS, calm);
	double usual = share_begun(*w, before, began, w->now - 200 * MS);
	std::vector<uint64_t> during = run_alike(*w, us, t);
	int64_t last_third = 0;

	for (size_t i = 0; i < t.n_crashing; i++) {
		int64_t third = third_crash_us(*w, CRASH_DIGEST + i);

		last_third = std::max(last_third, third);
		EXPECT_LE(runs_after(*w, third + CONTACT_US, CRASH_DIGEST + i),
			  MOST_MORE)
			<< w->crash_times[CRASH_DIGEST + i].size()
			<< " crashes, seed " << seed;
	}
	double share = share_begun(*w, during, last_third + 2 * CONTACT_US,
				   w->now - 200 * MS);

	EXPECT_GE(share, usual / 2) << "seed " << seed;
	EXPECT_EQ(0u, sound_refused_by_quarantine(*w)) << "seed " << seed;
}

TEST(CrashRequest, RequestThatCrashesRunnersReachesFewMore)
{
	for (uint64_t seed = 1; seed <= 10; seed++)
		check_both_rules(seed, 8, {}, 24000 * MS);
}

TEST(CrashRequest, RequestThatCrashesRunnersOfASmallServiceReachesFewMore)
{
	Alike t;

	for (uint64_t seed = 1; seed <= 10; seed++)
		check_both_rules(seed, 3, t, 24000 * MS);
	t.may_repeat = false;
	for (uint64_t seed = 11; seed <= 20; seed++)
		check_both_rules(seed, 3, t, 24000 * MS);
}

TEST(CrashRequest, RequestThatCrashesRunnersSlowlyReachesFewMore)
{
	Alike t;

	t.crashing_per_s = 0.5;
	for (uint64_t seed = 1; seed <= 10; seed++)
		check_both_rules(seed, 8, t, 60000 * MS);
}

TEST(CrashRequest, StreamThatCrashesRunnersReachesFewMore)
{
	Alike t;

	t.service = "llm";
	t.sound_per_s = 25;
	for (uint64_t seed = 1; seed <= 10; seed++)
		check_both_rules(seed, 12, t, 40000 * MS);
}

TEST(CrashRequest, SeveralRequestsThatCrashRunnersReachFewMore)
{
	Alike t;

	t.n_crashing = 3;
	for (uint64_t seed = 1; seed <= 10; seed++)
		check_both_rules(seed, 12, t, 40000 * MS);
}

TEST(CrashRequest, PopularRequestsBesideOneThatCrashesRunnersAreServed)
{
	Alike t;

	t.popular_share = 0.5;
	for (uint64_t seed = 1; seed <= 10; seed++)
		check_both_rules(seed, 8, t, 24000 * MS);
}

TEST(CrashRequest, ATakeoverForgetsNoRequestThatCrashedRunners)
{
	for (uint64_t seed = 1; seed <= 10; seed++) {
		Alike t;
		std::unique_ptr<World> w(world_of(seed, t, 8));

		for (int i = 0; i < 6; i++) {
			run_alike(*w, (int64_t)(300 + w->rng() % 700) * MS, t);
			w->another_takes_over();
			w->tell_all_crashes();
		}
		// No host was in touch for CONTACT_US after the last one.
		int64_t taken_over = w->now;
		run_alike(*w, 15000 * MS, t);
		int64_t third =
			std::max(taken_over, third_crash_us(*w, CRASH_DIGEST));

		EXPECT_LE(runs_after(*w, third + CONTACT_US, CRASH_DIGEST),
			  MOST_MORE)
			<< "seed " << seed;
	}
}

TEST(CrashRequest, ADispatcherThatStartsAnewRefusesWhatIsDecided)
{
	std::unique_ptr<World> w(world_of(1, {}, 3));

	w->decide_quarantine("request:d1e\t3\t0\n");
	w->another_takes_over();
	uint64_t id = w->ask_alike("app", CRASH_DIGEST);

	EXPECT_EQ((uint32_t)REASON_REQUEST_QUARANTINED,
		  w->requests[id].refusal);
	// A part of a prompt with the same id is another cause.
	id = w->ask_alike("llm", 0, {FIRST_PART, CRASH_DIGEST, 7});
	w->run(500 * MS, 0);
	EXPECT_EQ(1, w->requests[id].grants);
}

// Sends the request until it is granted, for at most this long.
bool is_served_within(World &w, int64_t us)
{
	for (int64_t end = w.now + us; w.now < end;) {
		uint64_t id = w.ask_alike("app", CRASH_DIGEST);

		w.run(500 * MS, 0);
		if (w.requests[id].grants)
			return true;
	}
	return false;
}

TEST(CrashRequest, ARequestThatCrashesNoRunnerAnyMoreIsReleasedByATrial)
{
	std::unique_ptr<World> w(world_of(1, {}, 3));

	w->decide_quarantine("request:d1e\t3\t0\n");
	w->another_takes_over();
	EXPECT_FALSE(is_served_within(*w, 8000 * MS));
	EXPECT_TRUE(is_served_within(*w, 10000 * MS));
	w->run(1000 * MS, 0); // the trial is answered
	EXPECT_TRUE(is_served_within(*w, 500 * MS));
}

TEST(CrashRequest, TrialsOfARequestThatStillCrashesRunnersAreFew)
{
	std::unique_ptr<World> w(world_of(1, {}, 3));

	w->crash_digests.insert(CRASH_DIGEST);
	w->decide_quarantine("request:d1e\t3\t0\n");
	for (int i = 0; i < 1800; i++) {
		w->ask_alike("app", CRASH_DIGEST, {}, true);
		w->run(1000 * MS, 0);
		if (i % 600 == 0)
			w->begin(false);
	}
	EXPECT_GE(w->crashing_runs.size(), 1u);
	EXPECT_LE(w->crashing_runs.size(), MOST_MORE);
}

TEST(CrashRequest, OneSuspectRunsAtATimeUntilItIsAnswered)
{
	std::unique_ptr<World> w(world_of(1, {}, 4));
	std::vector<uint64_t> ids;
	int granted = 0;

	w->tell_crash_of("p-9", {}, 0, POPULAR_DIGEST);
	for (int i = 0; i < 4; i++)
		ids.push_back(w->ask_alike("app", POPULAR_DIGEST));
	for (uint64_t id : ids)
		granted += w->requests[id].grants;
	EXPECT_EQ(1, granted);
	w->run(300 * MS, 0);
	for (uint64_t id : ids)
		EXPECT_TRUE(w->requests[id].begun);
}

TEST(CrashRequest, TheLastRunnerOfAServiceIsNotRiskedForASuspect)
{
	std::unique_ptr<World> w(world_of(1, {}, 3));

	w->crash_digests.insert(CRASH_DIGEST);
	for (int i = 0; i < 3; i++) {
		w->ask_alike("app", CRASH_DIGEST);
		w->run(200 * MS, 0);
	}
	EXPECT_EQ(2u, w->crash_times[CRASH_DIGEST].size());
	uint64_t id = w->ask_alike("app", CRASH_DIGEST);
	EXPECT_EQ(0, w->requests[id].grants);
	EXPECT_EQ((uint32_t)REASON_NO_TARGET, w->requests[id].refusal);
	id = w->ask_alike("app", CRASH_DIGEST + 1);
	w->run(200 * MS, 0);
	EXPECT_TRUE(w->requests[id].begun);
}

// Crashes any runner about once in 1.5 s.
void run_with_crashes(World &w, int64_t us, const Alike &t)
{
	for (int64_t end = w.now + us; w.now < end;) {
		run_alike(w, 100 * MS, t);
		if (!chance(w, 0.07))
			continue;
		size_t at = w.rng() % w.runners.size();

		if (!w.runners[at].gone)
			w.crash(w.runners[at].id);
	}
}

TEST(CrashRequest, OrdinaryCrashesBesidePopularRequestsQuarantineNothing)
{
	Alike t;

	t.crashing_per_s = 0;
	t.popular_share = 0.5;
	for (const char *service : {"app", "llm"})
		for (uint64_t seed = 1; seed <= 20; seed++) {
			t.service = service;
			std::unique_ptr<World> w(world_of(seed, t, 8));

			run_with_crashes(*w, 60000 * MS, t);
			EXPECT_GE(w->crash_times[0].size(), 5u);
			EXPECT_EQ(0u, sound_refused_by_quarantine(*w))
				<< service << ", seed " << seed;
		}
}

TEST(CrashRequest, RunnersThatEndTogetherUnderPopularRequestsQuarantineNothing)
{
	Alike t;

	t.crashing_per_s = 0;
	t.popular_share = 0.5;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		std::unique_ptr<World> w(world_of(seed, t, 8));

		for (int i = 0; i < 4; i++) {
			run_alike(*w, 4000 * MS, t);
			for (size_t r = 0; r < w->runners.size(); r++)
				if (!w->runners[r].gone)
					w->crash(w->runners[r].id);
		}
		run_alike(*w, 6000 * MS, t);
		EXPECT_EQ(0u, sound_refused_by_quarantine(*w))
			<< "seed " << seed;
	}
}

} // namespace
