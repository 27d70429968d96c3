// Claims of calls that may not be repeated: never a second run.
#include <gtest/gtest.h>

#include <string>

#include "claim.h"

class Claim : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		c = claims_new();
		claims_advance_time(c, 1000);
	}

	void TearDown() override
	{
		claims_free(c);
	}

	claim_outcome_t apply(claim_op_t op, const char *holder,
			      uint64_t hash = 1, const std::string &body = "",
			      const char *key = "k", uint32_t org = 1)
	{
		claim_req_t req = {};

		req.op = op;
		req.org_id = org;
		req.key = str_c(key);
		req.holder = str_c(holder);
		req.body_hash = hash;
		req.http_status = op == CLAIM_OP_ANSWER ? 200 : 0;
		req.body = str_n(body.data(), body.size());
		req.ttl_ms = 500;
		claims_apply(c, &req, &res);
		return res.outcome;
	}

	claims_t *c;
	claim_result_t res;
};

TEST_F(Claim, OneHolderRunsOthersWait)
{
	EXPECT_EQ(CLAIM_GRANTED, apply(CLAIM_OP_TAKE, "a"));
	EXPECT_EQ(CLAIM_GRANTED, apply(CLAIM_OP_TAKE, "a"));
	EXPECT_EQ(CLAIM_IN_PROGRESS, apply(CLAIM_OP_TAKE, "b"));
	EXPECT_EQ(CLAIM_BODY_MISMATCH, apply(CLAIM_OP_TAKE, "b", 2));
	EXPECT_EQ(CLAIM_GRANTED, apply(CLAIM_OP_TAKE, "b", 1, "", "other"));
	EXPECT_EQ(CLAIM_GRANTED, apply(CLAIM_OP_TAKE, "b", 1, "", "k", 2));
}

TEST_F(Claim, AnswersAreStored)
{
	apply(CLAIM_OP_TAKE, "a");
	EXPECT_EQ(CLAIM_NOT_APPLIED, apply(CLAIM_OP_ANSWER, "b", 1, "forged"));
	EXPECT_EQ(CLAIM_RECORDED, apply(CLAIM_OP_ANSWER, "a", 1, "posted"));
	EXPECT_EQ(CLAIM_RECORDED, apply(CLAIM_OP_ANSWER, "a", 1, "again"));
	for (const char *holder : {"a", "b"}) {
		EXPECT_EQ(CLAIM_ANSWERED, apply(CLAIM_OP_TAKE, holder));
		EXPECT_EQ(200, res.http_status);
		EXPECT_TRUE(str_eq(res.body, str_c("posted")));
	}
	EXPECT_EQ(CLAIM_NOT_APPLIED, apply(CLAIM_OP_RELEASE, "a"));
}

TEST_F(Claim, AnUnknownOutcomeStaysUntilALateAnswer)
{
	apply(CLAIM_OP_TAKE, "a");
	EXPECT_EQ(CLAIM_RECORDED, apply(CLAIM_OP_UNKNOWN, "a"));
	EXPECT_EQ(CLAIM_OUTCOME_UNKNOWN, apply(CLAIM_OP_TAKE, "b"));
	EXPECT_EQ(CLAIM_OUTCOME_UNKNOWN, apply(CLAIM_OP_TAKE, "a"));
	EXPECT_EQ(CLAIM_NOT_APPLIED, apply(CLAIM_OP_RELEASE, "a"));
	EXPECT_EQ(CLAIM_RECORDED, apply(CLAIM_OP_ANSWER, "a", 1, "late"));
	EXPECT_EQ(CLAIM_ANSWERED, apply(CLAIM_OP_TAKE, "b"));
	EXPECT_EQ(CLAIM_RECORDED, apply(CLAIM_OP_UNKNOWN, "a"));
	EXPECT_EQ(CLAIM_ANSWERED, apply(CLAIM_OP_TAKE, "b"));
}

TEST_F(Claim, ReleasedKeysGoToOthersOnly)
{
	apply(CLAIM_OP_TAKE, "a");
	EXPECT_EQ(CLAIM_NOT_APPLIED, apply(CLAIM_OP_RELEASE, "b"));
	EXPECT_EQ(CLAIM_RECORDED, apply(CLAIM_OP_RELEASE, "a"));
	EXPECT_EQ(CLAIM_RECORDED, apply(CLAIM_OP_RELEASE, "a"));
	// A copy of the first proposal that comes late.
	EXPECT_EQ(CLAIM_NOT_APPLIED, apply(CLAIM_OP_TAKE, "a"));
	EXPECT_EQ(CLAIM_NOT_APPLIED, apply(CLAIM_OP_ANSWER, "a", 1, "x"));
	EXPECT_EQ(CLAIM_GRANTED, apply(CLAIM_OP_TAKE, "b", 2));
	EXPECT_EQ(CLAIM_BODY_MISMATCH, apply(CLAIM_OP_TAKE, "a"));
}

TEST_F(Claim, LapsesToUnknownWhenItsHolderVanishes)
{
	apply(CLAIM_OP_TAKE, "a");
	claims_advance_time(c, 1500);
	EXPECT_EQ(CLAIM_IN_PROGRESS, apply(CLAIM_OP_TAKE, "b"));
	claims_advance_time(c, 1501);
	EXPECT_EQ(CLAIM_OUTCOME_UNKNOWN, apply(CLAIM_OP_TAKE, "b"));
	EXPECT_EQ(CLAIM_OUTCOME_UNKNOWN, apply(CLAIM_OP_TAKE, "a"));
	claims_advance_time(c, 1400); // time never goes back
	EXPECT_EQ(CLAIM_OUTCOME_UNKNOWN, apply(CLAIM_OP_TAKE, "b"));
	EXPECT_EQ(CLAIM_RECORDED, apply(CLAIM_OP_ANSWER, "a", 1, "late"));
	EXPECT_EQ(CLAIM_ANSWERED, apply(CLAIM_OP_TAKE, "b"));
}

TEST_F(Claim, IsKeptWholeThenByItsHashThenForgotten)
{
	apply(CLAIM_OP_TAKE, "a");
	apply(CLAIM_OP_ANSWER, "a", 1, "x");
	apply(CLAIM_OP_TAKE, "a", 1, "", "released");
	apply(CLAIM_OP_RELEASE, "a", 1, "", "released");
	claims_advance_time(c, 1000 + CLAIM_ANSWER_KEEP_MS);
	EXPECT_EQ(CLAIM_ANSWERED, apply(CLAIM_OP_TAKE, "b"));
	claims_advance_time(c, 1001 + CLAIM_ANSWER_KEEP_MS);
	EXPECT_EQ(0u, claims_count(c));
	EXPECT_EQ(1u, claims_spent(c));
	// It may have run: never a second time, though the answer is gone.
	EXPECT_EQ(CLAIM_OUTCOME_UNKNOWN, apply(CLAIM_OP_TAKE, "a"));
	EXPECT_EQ(CLAIM_OUTCOME_UNKNOWN, apply(CLAIM_OP_TAKE, "b"));
	EXPECT_EQ(CLAIM_NOT_APPLIED, apply(CLAIM_OP_ANSWER, "a", 1, "y"));
	EXPECT_EQ(CLAIM_GRANTED, apply(CLAIM_OP_TAKE, "b", 1, "", "k", 2));
	claims_advance_time(c, 1000 + CLAIM_KEY_KEEP_MS);
	EXPECT_EQ(CLAIM_OUTCOME_UNKNOWN, apply(CLAIM_OP_TAKE, "b"));
	claims_advance_time(c, 1001 + CLAIM_KEY_KEEP_MS);
	EXPECT_EQ(CLAIM_GRANTED, apply(CLAIM_OP_TAKE, "b"));
}

TEST_F(Claim, MemoryIsBoundedWithoutForgetting)
{
	std::string body(CLAIM_BODY_MAX, 'x');
	int granted = 0;

	for (int i = 0; i < 200; i++) {
		std::string key = "k" + std::to_string(i);
		if (apply(CLAIM_OP_TAKE, "a", 1, "", key.c_str()) ==
		    CLAIM_GRANTED)
			granted++;
		apply(CLAIM_OP_ANSWER, "a", 1, body, key.c_str());
	}
	EXPECT_GT(granted, 80);
	EXPECT_LT(granted, 100); // CLAIM_ORG_BYTES_MAX / CLAIM_BODY_MAX
	EXPECT_EQ(CLAIM_ANSWERED, apply(CLAIM_OP_TAKE, "b", 1, "", "k0"));
	EXPECT_EQ(CLAIM_GRANTED, apply(CLAIM_OP_TAKE, "b", 1, "", "k0", 2));
}

TEST_F(Claim, RefusesMalformedOperations)
{
	std::string big(CLAIM_BODY_MAX + 1, 'x');

	EXPECT_EQ(CLAIM_NOT_APPLIED, apply(CLAIM_OP_TAKE, ""));
	EXPECT_EQ(CLAIM_NOT_APPLIED, apply(CLAIM_OP_TAKE, "a", 1, "", ""));
	EXPECT_EQ(CLAIM_NOT_APPLIED, apply(CLAIM_OP_TAKE, "a", 1, "", "k", 0));
	EXPECT_EQ(CLAIM_NOT_APPLIED, apply((claim_op_t)9, "a"));
	apply(CLAIM_OP_TAKE, "a");
	EXPECT_EQ(CLAIM_NOT_APPLIED, apply(CLAIM_OP_ANSWER, "a", 1, big));
}

TEST_F(Claim, LoadsWhatItSaved)
{
	apply(CLAIM_OP_TAKE, "a");
	apply(CLAIM_OP_ANSWER, "a", 1, "posted");
	apply(CLAIM_OP_TAKE, "b", 1, "", "second");
	buf_t bytes = {};
	claims_save(c, &bytes);
	claims_t *copy = claims_load(buf_str(&bytes));
	ASSERT_NE(nullptr, copy);
	buf_t again = {};
	claims_save(copy, &again);
	EXPECT_TRUE(str_eq(buf_str(&bytes), buf_str(&again)));
	claims_free(c);
	c = copy;
	EXPECT_EQ(CLAIM_ANSWERED, apply(CLAIM_OP_TAKE, "b"));
	EXPECT_EQ(CLAIM_IN_PROGRESS,
		  apply(CLAIM_OP_TAKE, "c", 1, "", "second"));
	buf_free(&bytes);
	buf_free(&again);
}
