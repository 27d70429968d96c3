// Tests of the quotas of organisations: what a dispatcher, its successors and isolated
// daemons admit together.
#include <gtest/gtest.h>

#include <set>
#include <vector>

#include "org_quota.h"

namespace
{

const double PER_S = 20000;
const double BURST = 20000;
const quota_tolerance_t TOLERANCE = {8, 0.1, 11000};
const uint32_t TOKENS = 1600;

struct Admitted {
	int64_t at_us;
	double tokens;
};

// The most that was admitted within any window of the tolerance's length.
double most_in_window(const std::vector<Admitted> &all)
{
	double sum = 0, most = 0;
	size_t first = 0;

	for (auto &a : all) {
		sum += a.tokens;
		while (a.at_us - all[first].at_us >= 8 * USEC_PER_SEC)
			sum -= all[first++].tokens;
		most = std::max(most, sum);
	}
	return most;
}

double allowed()
{
	return (PER_S * TOLERANCE.window_s + BURST) * (1 + TOLERANCE.excess) +
	       TOLERANCE.slack;
}

class OrgQuota : public ::testing::Test
{
      protected:
	OrgQuota()
	{
		manifest = with_quota(PER_S);
		quotas = started(1, true, 1);
	}
	~OrgQuota() override
	{
		org_quotas_free(quotas);
		manifest_unref(manifest);
	}
	static manifest_t *with_quota(double per_s)
	{
		manifest_t *m = manifest_new();
		organisation_t *org = manifest_add_org(m);

		org->name = str_copy(STR("estate"));
		org->quota_unit = QUOTA_TOKENS;
		org->plain_tokens = 200;
		org->quota_per_s = per_s;
		org->quota_burst = BURST;
		return m;
	}
	org_quotas_t *started(double share, bool burst, uint64_t seed)
	{
		org_quotas_t *q = org_quotas_new(&TOLERANCE);

		org_quotas_begin(q, share, burst, seed);
		org_quotas_set_manifest(q, manifest);
		return q;
	}
	int64_t ask(org_quotas_t *q, int64_t now, int64_t wait_max = 0,
		    uint32_t tokens = TOKENS, bool may_have_run = false)
	{
		quota_request_t r = {next_id++, STR("estate"), tokens, wait_max,
				     may_have_run};

		return org_quota_take(q, &r, now, &charge, &retry_us);
	}
	// Asks every step_us from from_us until until_us.
	void press(org_quotas_t *q, int64_t from_us, int64_t until_us,
		   int64_t step_us)
	{
		for (int64_t t = from_us; t < until_us; t += step_us)
			if (ask(q, t) == 0)
				admitted.push_back({t, TOKENS});
	}

	manifest_t *manifest;
	org_quotas_t *quotas;
	quota_charge_t charge = {};
	int64_t retry_us = 0;
	uint64_t next_id = 1;
	std::vector<Admitted> admitted;
};

// Guards against a full bucket at each new dispatcher: with two takeovers within a
// window an organisation would get its burst three times.
TEST_F(OrgQuota, NoWindowIsExceededOverTakeovers)
{
	const int64_t takeovers_us[] = {6 * USEC_PER_SEC, 9 * USEC_PER_SEC,
					20 * USEC_PER_SEC};
	int64_t from = 0;

	for (int64_t until : takeovers_us) {
		press(quotas, from, until, 5 * USEC_PER_MSEC);
		org_quotas_begin(quotas, 1, true, (uint64_t)until);
		from = until;
	}
	EXPECT_LE(most_in_window(admitted), allowed());
	EXPECT_GE(most_in_window(admitted), PER_S * TOLERANCE.window_s);
}

// Guards against isolated daemons that each admit one request more than their share:
// hundreds of daemons would exceed the quota of a small organisation many times.
TEST_F(OrgQuota, IsolatedDaemonsTogetherKeepToTheQuota)
{
	const size_t n = 100;
	std::vector<org_quotas_t *> daemons;

	for (size_t i = 0; i < n; i++)
		daemons.push_back(started(1.0 / n, false, i + 1));
	for (int64_t t = 0; t < 8 * USEC_PER_SEC; t += 2 * USEC_PER_MSEC)
		if (ask(daemons[(size_t)(t / 2000) * 37 % n], t) == 0)
			admitted.push_back({t, TOKENS});
	EXPECT_LE(most_in_window(admitted), allowed());
	EXPECT_GE(most_in_window(admitted), PER_S * TOLERANCE.window_s / 2);
	for (org_quotas_t *q : daemons)
		org_quotas_free(q);
}

// Guards against a leader that hands out the part of the quota which hosts that it
// lost may use as isolated ones.
TEST_F(OrgQuota, LeaderLeavesTheirPartToLostHosts)
{
	org_quotas_set_live_hosts(quotas, 10, 0);
	org_quotas_set_live_hosts(quotas, 5, USEC_PER_SEC);
	press(quotas, USEC_PER_SEC, 11 * USEC_PER_SEC, 5 * USEC_PER_MSEC);
	EXPECT_LE(most_in_window(admitted), allowed() / 2);
}

// Guards against a second wave: callers that are refused together must not be told
// to come back together.
TEST_F(OrgQuota, RefusedCallersAreToldDifferentTimes)
{
	std::set<int64_t> told;
	int64_t last = 0;

	while (ask(quotas, USEC_PER_SEC) == 0)
		;
	for (int i = 0; i < 10; i++) {
		ASSERT_EQ(-1, ask(quotas, USEC_PER_SEC));
		EXPECT_GT(retry_us, last);
		last = retry_us;
	}
	press(quotas, USEC_PER_SEC, USEC_PER_SEC + 1000, 1);
	for (int i = 0; i < 10; i++) {
		ASSERT_EQ(-1, ask(quotas, USEC_PER_SEC));
		told.insert(retry_us);
	}
	EXPECT_EQ(10u, told.size());
}

// After a takeover requests within the quota wait, in their order, while the bucket
// fills: they must not all be refused.
TEST_F(OrgQuota, WaitsGrowWhileTheBucketFills)
{
	int64_t wait, last = 0;

	while ((wait = ask(quotas, 0, 200 * USEC_PER_MSEC)) >= 0) {
		EXPECT_GE(wait, last);
		EXPECT_LE(wait, 200 * USEC_PER_MSEC);
		last = wait;
	}
	EXPECT_GT(last, 0);
}

// Guards against a request that is refused within its quota as its objective has
// passed already, for example while its body was read.
TEST_F(OrgQuota, RequestPastItsObjectiveIsAdmitted)
{
	EXPECT_EQ(0, ask(quotas, 0, -USEC_PER_SEC));
}

// Guards against kinds of request that accept a long wait and so take the quota of
// those that do not.
TEST_F(OrgQuota, NoKindTakesTheQuotaByWaitingLonger)
{
	int patient = 0, hasty = 0;

	press(quotas, 0, 2 * USEC_PER_SEC, USEC_PER_MSEC);
	for (int64_t t = 2 * USEC_PER_SEC; t < 12 * USEC_PER_SEC; t += 2500) {
		if (hash_bytes(&t, sizeof(t), 0) & 1)
			patient += ask(quotas, t, 600 * USEC_PER_MSEC) >= 0;
		else
			hasty += ask(quotas, t, 50 * USEC_PER_MSEC) >= 0;
	}
	EXPECT_GE(hasty * 2, patient);
	EXPECT_GE(patient * 2, hasty);
}

// Guards against quota lost to requests that were admitted and then refused.
TEST_F(OrgQuota, WhatWasNotUsedIsReturned)
{
	press(quotas, 0, USEC_PER_SEC, USEC_PER_MSEC);
	ASSERT_EQ(0, ask(quotas, 2 * USEC_PER_SEC, 0, 19000));
	ASSERT_EQ(-1, ask(quotas, 2 * USEC_PER_SEC, 0, 19000));
	ASSERT_EQ(0, ask(quotas, 3 * USEC_PER_SEC, 0, 19000));
	org_quota_return(&charge);
	org_quota_return(&charge);
	EXPECT_EQ(0, ask(quotas, 3 * USEC_PER_SEC, 0, 19000));
	EXPECT_EQ(-1, ask(quotas, 3 * USEC_PER_SEC, 0, 19000));
}

// A repeat may have run, so it cannot be refused as not run; it still counts.
TEST_F(OrgQuota, RepeatIsAdmittedAndCounted)
{
	press(quotas, 0, USEC_PER_SEC, USEC_PER_MSEC);
	EXPECT_EQ(0, ask(quotas, USEC_PER_SEC, 0, 30000, true));
	EXPECT_EQ(-1, ask(quotas, 2 * USEC_PER_SEC));
}

// Guards against a lowered quota that binds only once the old burst is spent.
TEST_F(OrgQuota, LowerQuotaBindsAtOnceAndRaisedOneIsUsed)
{
	manifest_t *low = with_quota(PER_S / 10);
	double sum = 0;

	press(quotas, 0, 4 * USEC_PER_SEC, 5 * USEC_PER_MSEC);
	admitted.clear();
	org_quotas_set_manifest(quotas, low);
	press(quotas, 4 * USEC_PER_SEC, 14 * USEC_PER_SEC, 5 * USEC_PER_MSEC);
	for (auto &a : admitted)
		sum += a.tokens;
	EXPECT_LE(sum, PER_S / 10 * 10 + BURST);
	admitted.clear();
	org_quotas_set_manifest(quotas, manifest);
	press(quotas, 14 * USEC_PER_SEC, 15 * USEC_PER_SEC, 5 * USEC_PER_MSEC);
	EXPECT_GE(admitted.size() * TOKENS, PER_S * 0.9);
	manifest_unref(low);
}

// A request without tokens counts as the manifest says, not as nothing.
TEST_F(OrgQuota, PlainRequestsCountAsConfigured)
{
	int n = 0;

	while (ask(quotas, 10 * USEC_PER_SEC, 0, 0) == 0)
		n++;
	EXPECT_EQ((int)((TOLERANCE.excess * (PER_S * 8 + BURST) + 11000) / 4 /
			200),
		  n);
}

} // namespace
