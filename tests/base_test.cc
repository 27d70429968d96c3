// Strings, the buffer, log lines, timers, counters and the table of reasons.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "build_set.h"
#include "compress.h"
#include "counter.h"
#include "holdoff.h"
#include "log.h"
#include "overload.h"
#include "reason.h"
#include "retry_budget.h"
#include "timer.h"
#include "util.h"

TEST(Str, ParsesDecimalNumbersAndRefusesOtherTexts)
{
	uint64_t v = 7;

	EXPECT_EQ(0, str_to_u64(str_c("18446744073709551615"), &v));
	EXPECT_EQ(UINT64_MAX, v);
	for (const char *refused :
	     {"", "18446744073709551616", "-1", "1 ", "0x1"})
		EXPECT_EQ(-1, str_to_u64(str_c(refused), &v)) << refused;
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

static const int64_t MS = USEC_PER_MSEC;

TEST(Overload, OneLongTurnIsNone)
{
	overload_t o = {};

	EXPECT_FALSE(overload_record_turn(&o, 1000 * MS, 400 * MS));
	EXPECT_FALSE(overload_record_turn(&o, 2000 * MS, 400 * MS));
}

TEST(Overload, LongTurnsThatTakeHalfOfTheTimeAreOne)
{
	overload_t o = {};

	EXPECT_FALSE(overload_record_turn(&o, 1000 * MS, 126 * MS));
	EXPECT_TRUE(overload_record_turn(&o, 1180 * MS, 179 * MS));
}

TEST(Overload, FewShortTurnsAreNone)
{
	overload_t o = {};

	for (int64_t t = 1000; t < 5000; t += 150)
		EXPECT_FALSE(overload_record_turn(&o, t * MS, 60 * MS)) << t;
	for (int64_t t = 5000; t < 5700; t += 70)
		overload_record_turn(&o, t * MS, 60 * MS);
	EXPECT_TRUE(overload_record_turn(&o, 5700 * MS, 60 * MS));
}

// A fifth of the first attempts and a slack of ten; 0.8 of both is granted.
TEST(RetryBudget, AllowsAShareOfTheFirstAttemptsOfEachService)
{
	retry_budgets_t b;
	int n = 0;

	retry_budgets_init(&b, 0.2, 10, 10000 * MS);
	for (int i = 0; i < 100; i++)
		EXPECT_TRUE(retry_budget_spend(&b, STR("a"), false, 1, 0));
	while (retry_budget_spend(&b, STR("a"), true, 1, 0))
		n++;
	EXPECT_EQ(24, n);
	for (n = 0; retry_budget_spend(&b, STR("b"), true, 0.5, 0);)
		n++;
	EXPECT_EQ(4, n);
	retry_budgets_clear(&b);
}

TEST(RetryBudget, ForgetsWhatIsOlderThanItsWindow)
{
	retry_budgets_t b;
	int n = 0;

	retry_budgets_init(&b, 0.2, 10, 10000 * MS);
	while (retry_budget_spend(&b, STR("a"), true, 1, 0))
		n++;
	EXPECT_EQ(8, n);
	EXPECT_FALSE(retry_budget_spend(&b, STR("a"), true, 1, 9000 * MS));
	EXPECT_TRUE(retry_budget_spend(&b, STR("a"), true, 1, 10000 * MS));
	retry_budgets_clear(&b);
}

// A manifest as operators submit it, with this many routes.
static std::string manifest_text(int n_routes)
{
	std::string text = "{\"version\":7,\"routes\":[";

	for (int i = 0; i < n_routes; i++) {
		std::string n = std::to_string(i * 7919 % 100003);

		text += std::string(i ? "," : "") + "{\"name\":\"r-" + n +
			"\",\"host\":\"h" + n +
			".example\",\"path_prefix\":\"/p" + n +
			"/\",\"kind\":\"streaming\",\"timeout_ms\":25000,"
			"\"slo_ms\":1000,\"priority\":1,\"service\":"
			"\"drafting\",\"attempts\":2,\"sticky\":true,"
			"\"resumable\":true,\"gap_aim_ms\":250}";
	}
	return text + "],\"services\":[{\"name\":\"drafting\"}]}";
}

// A relay of the feed sends a manifest to eight hosts over one slow link.
TEST(Holdoff, EndsAtTheLatestTimeThatTheTargetAskedFor)
{
	holdoff_t *h = holdoff_new();
	str_t listed[2];

	EXPECT_FALSE(holdoff_is_active(h, STR("a"), 0));
	holdoff_add(h, STR("a"), 2 * USEC_PER_SEC, 0);
	holdoff_add(h, STR("a"), USEC_PER_SEC, 0);
	holdoff_add(h, STR("b"), HOLDOFF_LEAVING, 1);
	EXPECT_TRUE(holdoff_is_active(h, STR("a"), 2 * USEC_PER_SEC - 1));
	EXPECT_FALSE(holdoff_is_active(h, STR("a"), 2 * USEC_PER_SEC));
	EXPECT_TRUE(holdoff_is_active(h, STR("b"), 600 * USEC_PER_SEC));
	EXPECT_EQ(2u, holdoff_list(h, 1, listed, 2));
	EXPECT_TRUE(str_eq(STR("b"), listed[0]));
	EXPECT_EQ(1u, holdoff_list(h, 3 * USEC_PER_SEC, listed, 2));
	EXPECT_EQ(0u, holdoff_list(h, 11 * USEC_PER_SEC, listed, 2));
	EXPECT_TRUE(holdoff_is_active(h, STR("b"), 11 * USEC_PER_SEC));
	holdoff_free(h);
}

TEST(Compress, AManifestOfManyRoutesTakesAnEighthOfItsText)
{
	std::string text = manifest_text(1400);
	buf_t packed = {};
	buf_t unpacked = {};

	compress_append(&packed, str_n(text.data(), text.size()));
	EXPECT_LE(packed.n, text.size() / 8);
	EXPECT_TRUE(compress_is_compressed(buf_str(&packed)));
	ASSERT_EQ(0, decompress_append(&unpacked, buf_str(&packed), 1 << 20));
	EXPECT_EQ(text, std::string(unpacked.p, unpacked.n));
	buf_free(&packed);
	buf_free(&unpacked);
}

TEST(Compress, AnEmptyTextIsGivenBack)
{
	buf_t packed = {};
	buf_t unpacked = {};

	compress_append(&packed, str_c(""));
	EXPECT_EQ(0, decompress_append(&unpacked, buf_str(&packed), 1 << 20));
	EXPECT_EQ(0u, unpacked.n);
	buf_free(&packed);
	buf_free(&unpacked);
}

TEST(Compress, CorruptCutAndOverlongBytesAreRefused)
{
	std::string text = manifest_text(100);
	buf_t packed = {};
	buf_t out = {};

	buf_puts(&out, "kept");
	compress_append(&packed, str_n(text.data(), text.size()));
	EXPECT_EQ(-1, decompress_append(&out, str_n(packed.p, packed.n - 1),
					1 << 20));
	EXPECT_EQ(-1,
		  decompress_append(&out, buf_str(&packed), text.size() - 1));
	EXPECT_EQ(-1, decompress_append(&out, str_c("XYZ"), 1 << 20));
	packed.p[packed.n / 2] ^= 0x55;
	EXPECT_EQ(-1, decompress_append(&out, buf_str(&packed), 1 << 20));
	EXPECT_EQ("kept", std::string(out.p, out.n));
	EXPECT_FALSE(compress_is_compressed(str_c("{\"version\":7}")));
	EXPECT_FALSE(compress_is_compressed(str_c("")));
	buf_free(&packed);
	buf_free(&out);
}

TEST(Buf, GrowsAndRemovesItsFirstBytes)
{
	buf_t b = {};

	for (int i = 0; i < 1000; i++)
		buf_printf(&b, "%d,", i % 10);
	EXPECT_EQ(2000u, b.n);
	buf_consume(&b, 1996);
	EXPECT_STREQ("8,9,", b.p);
	buf_free(&b);
}

TEST(Log, QuotesAndEscapesValuesWhereNeeded)
{
	buf_t b = {};
	const kv_t kvs[] = {kv_u("a", 3), KV_C("b", "x y=\"z\"\n"),
			    KV_C("c", "plain"), KV_C("d", "")};

	log_format(&b, kvs, ARRAY_SIZE(kvs));
	EXPECT_STREQ("a=3 b=\"x y=\\\"z\\\"\\x0a\" c=plain d=\"\"", b.p);
	buf_free(&b);
}

struct TestTimer {
	timer_sub_t sub;
	std::vector<int64_t> *run_times;
};

static void record_run_time(void *ctx, int64_t now_us)
{
	auto *t = static_cast<TestTimer *>(ctx);
	t->run_times->push_back(now_us);
}

TEST(Timer, RunsCallbacksInOrderInVirtualTime)
{
	timer_svc_t *svc = timer_svc_new_virtual(1000);
	std::vector<int64_t> run_times;
	TestTimer t[100];

	for (int i = 0; i < 100; i++) {
		t[i].run_times = &run_times;
		timer_sub_init(&t[i].sub, record_run_time, &t[i]);
		timer_svc_arm(svc, &t[i].sub, 1000 + (i * 37) % 100);
	}
	timer_svc_cancel(svc, &t[1].sub);
	timer_svc_arm(svc, &t[2].sub, 5000);
	timer_svc_run_until(svc, 1099);
	ASSERT_EQ(98u, run_times.size());
	EXPECT_TRUE(std::is_sorted(run_times.begin(), run_times.end()));
	EXPECT_EQ(5000, timer_svc_next_due(svc));
	timer_svc_run_until(svc, 9000);
	EXPECT_EQ(99u, run_times.size());
	EXPECT_EQ(9000, timer_svc_now(svc));
	timer_svc_free(svc);
}

TEST(Timer, RealServiceRunsNoCallbackAfterCancel)
{
	timer_svc_t *svc = timer_svc_new_real();
	std::vector<int64_t> run_times;
	TestTimer t;

	t.run_times = &run_times;
	timer_sub_init(&t.sub, record_run_time, &t);
	ASSERT_EQ(0, timer_svc_start(svc));
	int64_t due = timer_svc_now(svc) + 1000;
	timer_svc_arm(svc, &t.sub, due);
	while (timer_svc_now(svc) < due)
		;
	// The callback may have run before the cancel or not; it must not run
	// after it. Freeing joins the thread.
	timer_svc_cancel(svc, &t.sub);
	size_t runs_before = run_times.size();
	timer_svc_free(svc);
	EXPECT_EQ(runs_before, run_times.size());
	EXPECT_LE(runs_before, 1u);
}

TEST(Counter, WritesCountersAndOneForEachReason)
{
	buf_t b = {};

	counter_add_refused(REASON_STALE);
	counter_add_retried(RETRY_RESUMED);
	counter_add(CTR_LOADS, 5);
	counter_write(&b);
	std::string output(b.p, b.n);
	EXPECT_NE(std::string::npos,
		  output.find("damasklug_refused_total{reason=\"stale\"} 1\n"));
	EXPECT_NE(
		std::string::npos,
		output.find("damasklug_retried_total{reason=\"resumed\"} 1\n"));
	EXPECT_NE(std::string::npos, output.find("damasklug_loads_total 5\n"));
	buf_free(&b);
}

TEST(Counter, TellsWhoseResponsesCallersGet)
{
	buf_t b = {};

	counter_add_response(503, RESPONSE_BY_TARGET);
	counter_add_response(200, RESPONSE_BY_TARGET);
	counter_add_response(504, RESPONSE_BY_DAEMON);
	counter_write(&b);
	std::string output(b.p, b.n);
	for (const char *line :
	     {"damasklug_responses_total{status=\"503\",by=\"target\"} 1\n",
	      "damasklug_responses_total{status=\"503\",by=\"daemon\"} 0\n",
	      "damasklug_responses_total{status=\"2xx\",by=\"target\"} 1\n",
	      "damasklug_responses_total{status=\"5xx\",by=\"daemon\"} 1\n"})
		EXPECT_NE(std::string::npos, output.find(line)) << line;
	EXPECT_EQ(1u, counter_get_responses(502, RESPONSE_BY_DAEMON));
	buf_free(&b);
}

TEST(Reason, TellsWhetherARequestHasRun)
{
	EXPECT_EQ(RUN_NO, reason_info(REASON_STALE)->run_state);
	EXPECT_EQ(RUN_UNKNOWN, reason_info(REASON_TARGET_LOST)->run_state);
	EXPECT_STREQ("none", reason_info((reason_t)9999)->name);
}

TEST(Reason, StatusThatPromisesThatNothingRanNeedsThatNothingRan)
{
	for (unsigned int i = 1; i < REASON_COUNT; i++) {
		const reason_info_t *info = reason_info((reason_t)i);
		int status = info->http_status;

		bool promises = status == 408 || status == 421 ||
				status == 429 || status == 503;

		EXPECT_TRUE(!promises || info->run_state == RUN_NO)
			<< info->name;
	}
}

TEST(BuildSet, IsStoredAndComparedWhateverItsOrder)
{
	build_set_t *a = build_set_new();
	build_set_t *b = build_set_new();
	buf_t body = {};

	build_set_add(a, STR("llm"), STR("v1"), 1);
	build_set_add(a, STR("app"), STR("v1"), 2);
	EXPECT_TRUE(str_eq(STR("v1"), build_set_only(a, STR("llm"))));
	build_set_add(a, STR("llm"), STR("v2"), 3);
	EXPECT_EQ(0u, build_set_only(a, STR("llm")).n);
	EXPECT_EQ(0u, build_set_only(a, STR("none")).n);
	build_set_add(a, STR("llm"), STR("tab\there"), 3);
	build_set_write(a, &body);
	build_set_read(b, buf_str(&body), 9);
	EXPECT_TRUE(build_set_equal(a, b));
	EXPECT_TRUE(build_set_has(b, STR("llm"), STR("v2")));
	build_set_forget(a, 3);
	EXPECT_FALSE(build_set_equal(a, b));
	EXPECT_FALSE(build_set_has(a, STR("llm"), STR("v1")));
	buf_free(&body);
	build_set_free(a);
	build_set_free(b);
}
