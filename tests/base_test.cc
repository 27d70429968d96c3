// Strings, buffer, log lines, timers, counters and the reasons table.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "counter.h"
#include "log.h"
#include "reason.h"
#include "timer.h"
#include "util.h"

TEST(Str, ParsesDecimalsAndRefusesTheRest)
{
	uint64_t v = 7;

	EXPECT_EQ(0, str_to_u64(str_c("18446744073709551615"), &v));
	EXPECT_EQ(UINT64_MAX, v);
	for (const char *bad : {"", "18446744073709551616", "-1", "1 ", "0x1"})
		EXPECT_EQ(-1, str_to_u64(str_c(bad), &v)) << bad;
	EXPECT_EQ(UINT64_MAX, v);
}

TEST(Str, SplitsAtTheFirstSeparator)
{
	str_t head, tail;

	EXPECT_TRUE(str_split(str_c("a@b@c"), '@', &head, &tail));
	EXPECT_TRUE(str_eq(head, str_c("a")));
	EXPECT_TRUE(str_eq(tail, str_c("b@c")));
	EXPECT_FALSE(str_split(str_c("abc"), '@', &head, &tail));
	EXPECT_EQ(0u, tail.n);
}

TEST(Buf, GrowsAndEats)
{
	buf_t b = {};

	for (int i = 0; i < 1000; i++)
		buf_printf(&b, "%d,", i % 10);
	EXPECT_EQ(2000u, b.n);
	buf_consume(&b, 1996);
	EXPECT_STREQ("8,9,", b.p);
	buf_free(&b);
}

TEST(Log, QuotesWhatNeedsIt)
{
	buf_t b = {};
	const kv_t kvs[] = {kv_u("a", 3), KV_C("b", "x y=\"z\"\n"),
			    KV_C("c", "plain"), KV_C("d", "")};

	log_format(&b, kvs, ARRAY_SIZE(kvs));
	EXPECT_STREQ("a=3 b=\"x y=\\\"z\\\"\\x0a\" c=plain d=\"\"", b.p);
	buf_free(&b);
}

struct Tick {
	timer_sub_t sub;
	std::vector<int64_t> *seen;
};

static void tick(void *ctx, int64_t now_us)
{
	auto *t = static_cast<Tick *>(ctx);
	t->seen->push_back(now_us);
}

TEST(Timer, RunsInOrderUnderVirtualTime)
{
	timer_svc_t *svc = timer_svc_new_virtual(1000);
	std::vector<int64_t> seen;
	Tick t[100];

	for (int i = 0; i < 100; i++) {
		t[i].seen = &seen;
		timer_sub_init(&t[i].sub, tick, &t[i]);
		timer_svc_arm(svc, &t[i].sub, 1000 + (i * 37) % 100);
	}
	timer_svc_cancel(svc, &t[1].sub);
	timer_svc_arm(svc, &t[2].sub, 5000);
	timer_svc_run_until(svc, 1099);
	ASSERT_EQ(98u, seen.size());
	EXPECT_TRUE(std::is_sorted(seen.begin(), seen.end()));
	EXPECT_EQ(5000, timer_svc_next_due(svc));
	timer_svc_run_until(svc, 9000);
	EXPECT_EQ(99u, seen.size());
	EXPECT_EQ(9000, timer_svc_now(svc));
	timer_svc_free(svc);
}

TEST(Timer, RealServiceFires)
{
	timer_svc_t *svc = timer_svc_new_real();
	std::vector<int64_t> seen;
	Tick t;

	t.seen = &seen;
	timer_sub_init(&t.sub, tick, &t);
	ASSERT_EQ(0, timer_svc_start(svc));
	int64_t due = timer_svc_now(svc) + 1000;
	timer_svc_arm(svc, &t.sub, due);
	while (timer_svc_now(svc) < due)
		;
	// Freeing joins the thread, which runs what was due by then or not;
	// a cancelled subscription never fires afterwards.
	timer_svc_cancel(svc, &t.sub);
	size_t fired = seen.size();
	timer_svc_free(svc);
	EXPECT_EQ(fired, seen.size());
	EXPECT_LE(fired, 1u);
}

TEST(Counter, HasOneCounterForEachReason)
{
	buf_t b = {};

	counter_add_refused(REASON_STALE);
	counter_add_retried(RETRY_RESUMED);
	counter_add(CTR_LOADS, 5);
	counter_write(&b);
	std::string text(b.p, b.n);
	EXPECT_NE(std::string::npos,
		  text.find("damasklug_refused_total{reason=\"stale\"} 1\n"));
	EXPECT_NE(std::string::npos,
		  text.find("damasklug_retried_total{reason=\"resumed\"} 1\n"));
	EXPECT_NE(std::string::npos, text.find("damasklug_loads_total 5\n"));
	buf_free(&b);
}

TEST(Reason, NotRunReasonsAreNeverServerRunStates)
{
	EXPECT_EQ(RUN_NO, reason_info(REASON_STALE)->run_state);
	EXPECT_EQ(RUN_UNKNOWN, reason_info(REASON_TARGET_LOST)->run_state);
	EXPECT_STREQ("none", reason_info((reason_t)9999)->name);
}
