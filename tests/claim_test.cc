// Claims of idempotency keys: no call that must not be repeated runs twice.
#include <gtest/gtest.h>

#include <string>

#include "claim.h"

class Claim : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		claims = claims_new();
		claims_advance_time(claims, 1000);
	}

	void TearDown() override
	{
		claims_free(claims);
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
		claims_apply(claims, &req, &res);
		return res.outcome;
	}

	claims_t *claims;
	claim_result_t res;
};

TEST_F(Claim, OnlyOneHolderIsGrantedAKey)
{
	EXPECT_EQ(CLAIM_GRANTED, apply(CLAIM_OP_TAKE, "a"));
	EXPECT_EQ(CLAIM_GRANTED, apply(CLAIM_OP_TAKE, "a"));
	EXPECT_EQ(CLAIM_IN_PROGRESS, apply(CLAIM_OP_TAKE, "b"));
	EXPECT_EQ(CLAIM_BODY_MISMATCH, apply(CLAIM_OP_TAKE, "b", 2));
	EXPECT_EQ(CLAIM_GRANTED, apply(CLAIM_OP_TAKE, "b", 1, "", "other"));
	EXPECT_EQ(CLAIM_GRANTED, apply(CLAIM_OP_TAKE, "b", 1, "", "k", 2));
}

TEST_F(Claim, TheFirstAnswerIsStoredAndReturnedToResends)
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

TEST_F(Claim, AnUnknownOutcomeIsReplacedOnlyByALateAnswer)
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

TEST_F(Claim, AReleasedKeyIsGrantedOnlyToOtherHolders)
{
	apply(CLAIM_OP_TAKE, "a");
	EXPECT_EQ(CLAIM_NOT_APPLIED, apply(CLAIM_OP_RELEASE, "b"));
	EXPECT_EQ(CLAIM_RECORDED, apply(CLAIM_OP_RELEASE, "a"));
	EXPECT_EQ(CLAIM_RECORDED, apply(CLAIM_OP_RELEASE, "a"));
	// A delayed duplicate of the first TAKE is not granted.
	EXPECT_EQ(CLAIM_NOT_APPLIED, apply(CLAIM_OP_TAKE, "a"));
	EXPECT_EQ(CLAIM_NOT_APPLIED, apply(CLAIM_OP_ANSWER, "a", 1, "x"));
	EXPECT_EQ(CLAIM_GRANTED, apply(CLAIM_OP_TAKE, "b", 2));
	EXPECT_EQ(CLAIM_BODY_MISMATCH, apply(CLAIM_OP_TAKE, "a"));
}

TEST_F(Claim, BecomesUnknownAfterItsTimeIfItsHolderReportsNothing)
{
	apply(CLAIM_OP_TAKE, "a");
	claims_advance_time(claims, 1500);
	EXPECT_EQ(CLAIM_IN_PROGRESS, apply(CLAIM_OP_TAKE, "b"));
	claims_advance_time(claims, 1501);
	EXPECT_EQ(CLAIM_OUTCOME_UNKNOWN, apply(CLAIM_OP_TAKE, "b"));
	EXPECT_EQ(CLAIM_OUTCOME_UNKNOWN, apply(CLAIM_OP_TAKE, "a"));
	claims_advance_time(claims, 1400); // time never goes back
	EXPECT_EQ(CLAIM_OUTCOME_UNKNOWN, apply(CLAIM_OP_TAKE, "b"));
	EXPECT_EQ(CLAIM_RECORDED, apply(CLAIM_OP_ANSWER, "a", 1, "late"));
	EXPECT_EQ(CLAIM_ANSWERED, apply(CLAIM_OP_TAKE, "b"));
}

TEST_F(Claim, ExpiresToATombstoneAndThenIsDropped)
{
	apply(CLAIM_OP_TAKE, "a");
	apply(CLAIM_OP_ANSWER, "a", 1, "x");
	apply(CLAIM_OP_TAKE, "a", 1, "", "released");
	apply(CLAIM_OP_RELEASE, "a", 1, "", "released");
	claims_advance_time(claims, 1000 + CLAIM_ANSWER_KEEP_MS);
	EXPECT_EQ(CLAIM_ANSWERED, apply(CLAIM_OP_TAKE, "b"));
	claims_advance_time(claims, 1001 + CLAIM_ANSWER_KEEP_MS);
	EXPECT_EQ(0u, claims_count(claims));
	EXPECT_EQ(1u, claims_tombstone_count(claims));
	// The answer is gone, but the call may have run: it must not run again.
	EXPECT_EQ(CLAIM_OUTCOME_UNKNOWN, apply(CLAIM_OP_TAKE, "a"));
	EXPECT_EQ(CLAIM_OUTCOME_UNKNOWN, apply(CLAIM_OP_TAKE, "b"));
	EXPECT_EQ(CLAIM_NOT_APPLIED, apply(CLAIM_OP_ANSWER, "a", 1, "y"));
	EXPECT_EQ(CLAIM_GRANTED, apply(CLAIM_OP_TAKE, "b", 1, "", "k", 2));
	claims_advance_time(claims, 1000 + CLAIM_KEY_KEEP_MS);
	EXPECT_EQ(CLAIM_OUTCOME_UNKNOWN, apply(CLAIM_OP_TAKE, "b"));
	claims_advance_time(claims, 1001 + CLAIM_KEY_KEEP_MS);
	EXPECT_EQ(CLAIM_GRANTED, apply(CLAIM_OP_TAKE, "b"));
}

TEST_F(Claim, MemoryIsLimitedPerOrganisationWithoutDroppingAnswers)
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

TEST_F(Claim, MalformedOperationsAreNotApplied)
{
	std::string big(CLAIM_BODY_MAX + 1, 'x');

	EXPECT_EQ(CLAIM_NOT_APPLIED, apply(CLAIM_OP_TAKE, ""));
	EXPECT_EQ(CLAIM_NOT_APPLIED, apply(CLAIM_OP_TAKE, "a", 1, "", ""));
	EXPECT_EQ(CLAIM_NOT_APPLIED, apply(CLAIM_OP_TAKE, "a", 1, "", "k", 0));
	EXPECT_EQ(CLAIM_NOT_APPLIED, apply((claim_op_t)9, "a"));
	apply(CLAIM_OP_TAKE, "a");
	EXPECT_EQ(CLAIM_NOT_APPLIED, apply(CLAIM_OP_ANSWER, "a", 1, big));
}

TEST_F(Claim, LoadedClaimsEqualTheSavedOnes)
{
	apply(CLAIM_OP_TAKE, "a");
	apply(CLAIM_OP_ANSWER, "a", 1, "posted");
	apply(CLAIM_OP_TAKE, "b", 1, "", "second");
	buf_t bytes = {};
	claims_save(claims, &bytes);
	claims_t *copy = claims_load(buf_str(&bytes));
	ASSERT_NE(nullptr, copy);
	buf_t again = {};
	claims_save(copy, &again);
	EXPECT_TRUE(str_eq(buf_str(&bytes), buf_str(&again)));
	claims_free(claims);
	claims = copy;
	EXPECT_EQ(CLAIM_ANSWERED, apply(CLAIM_OP_TAKE, "b"));
	EXPECT_EQ(CLAIM_IN_PROGRESS,
		  apply(CLAIM_OP_TAKE, "c", 1, "", "second"));
	buf_free(&bytes);
	buf_free(&again);
}
