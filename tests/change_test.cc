// Tests of changes: base revisions, resends, validation, templates.
#include <gtest/gtest.h>

#include "change_util.h"

class Change : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		m = machine_new();
	}

	void TearDown() override
	{
		machine_free(m);
	}

	uint64_t revision()
	{
		return decided_revision(Tables(m));
	}

	// A change on the current revision with a new id.
	ChangeBuilder next_change()
	{
		return ChangeBuilder("c" + std::to_string(++last_id),
				     revision());
	}

	Outcome apply(const ChangeBuilder &c)
	{
		return apply_change(m, c.pack());
	}

	void expect_invalid(const ChangeBuilder &c, const std::string &error)
	{
		std::string before = tables_bytes();
		Outcome outcome = apply(c);

		EXPECT_EQ(CHANGE_INVALID, outcome.status);
		EXPECT_NE(std::string::npos, outcome.error.find(error))
			<< outcome.error;
		EXPECT_TRUE(before == tables_bytes());
	}

	std::string tables_bytes()
	{
		buf_t b = {};
		decided_save(Tables(m), &b);
		std::string s(b.p, b.n);
		buf_free(&b);
		return s;
	}

	machine_t *m;
	int last_id = 0;
};

TEST_F(Change, RefusesABaseRevisionOtherThanTheCurrentOne)
{
	EXPECT_EQ(1u, apply(next_change().publish("a")).revision);
	Outcome outcome = apply(ChangeBuilder("late", 0).publish("b"));
	EXPECT_EQ(CHANGE_CONFLICT, outcome.status);
	EXPECT_EQ(1u, outcome.revision);
	EXPECT_NE(std::string::npos, outcome.error.find("'c1' of 'tester'"));
	EXPECT_EQ(CHANGE_CONFLICT,
		  apply(ChangeBuilder("early", 7).publish("b")).status);
	EXPECT_EQ(nullptr, decided_adapter_by_name(Tables(m), str_c("b")));
}

TEST_F(Change, ResentChangeGetsItsFirstOutcome)
{
	ChangeBuilder first = next_change().publish("a");
	EXPECT_EQ((Outcome{CHANGE_DECIDED, 1, false, ""}), apply(first));
	apply(next_change().publish("a"));
	EXPECT_EQ((Outcome{CHANGE_DECIDED, 1, true, ""}), apply(first));
	// Also if the operator's tool has read the base revision again.
	EXPECT_EQ((Outcome{CHANGE_DECIDED, 1, true, ""}),
		  apply(ChangeBuilder("c1", 2).publish("a")));
	EXPECT_EQ(2u,
		  decided_adapter_by_name(Tables(m), str_c("a"))->n_versions);
	change_outcome_t known;
	EXPECT_TRUE(machine_change_outcome(m, str_c("c1"), &known));
	EXPECT_EQ(1u, known.revision);
	EXPECT_FALSE(machine_change_outcome(m, str_c("c9"), &known));
}

TEST_F(Change, RefusesAnIdUsedForAnotherChange)
{
	apply(next_change().publish("a"));
	expect_invalid(ChangeBuilder("c1", 1).publish("b"),
		       "change_id: 'c1' was used for another change");
}

TEST_F(Change, ResendOfAForgottenChangeIsNotAppliedAgain)
{
	std::string first = ChangeBuilder("first", 0).publish("a").pack();
	apply_change(m, first);
	// The oldest 1024 changes are removed at once (src/decided.c).
	for (unsigned int i = 1; i < DECIDED_CHANGES_KEPT + 1024; i++)
		ASSERT_EQ(CHANGE_DECIDED,
			  apply(next_change().version(DK__OP__OP_ADAPTER_PIN,
						      "a", 1))
				  .status);
	EXPECT_EQ(DECIDED_CHANGES_KEPT, decided_change_count(Tables(m)));
	EXPECT_EQ(CHANGE_CONFLICT, apply_change(m, first).status);
	EXPECT_EQ(1u,
		  decided_adapter_by_name(Tables(m), str_c("a"))->n_versions);
	// The latest changes are still known.
	EXPECT_TRUE(apply(ChangeBuilder("c9000", 0)
				  .version(DK__OP__OP_ADAPTER_PIN, "a", 1))
			    .resent);
}

TEST_F(Change, IsAppliedWholeOrNotAtAll)
{
	expect_invalid(
		next_change().publish("a").publish("b").publish("no good"),
		"ops[2].adapter_publish.names");
	EXPECT_EQ(nullptr, decided_adapter_by_name(Tables(m), str_c("a")));
}

TEST_F(Change, RefusesOperationsThatContradictTheTables)
{
	apply(next_change().publish("a").publish("a").target("t", 9100).host(
		"h", 9000));
	expect_invalid(next_change().publish("a", 2),
		       "'a@2' is published already");
	expect_invalid(next_change().publish("a", 9, "other"),
		       "has base 'llama'");
	expect_invalid(next_change().publish("n", 1, ""), "needs a valid base");
	expect_invalid(next_change().publish("n", 1, "llama", "nobody"),
		       "no organisation 'nobody'");
	expect_invalid(next_change().version(DK__OP__OP_ADAPTER_RETIRE, "a", 2),
		       "'a@2' is the current version");
	expect_invalid(next_change().version(DK__OP__OP_ADAPTER_RETIRE, "a", 5),
		       "there is no 'a@5'");
	expect_invalid(next_change().version(DK__OP__OP_ADAPTER_PIN, "b", 1),
		       "no adapter 'b'");
	expect_invalid(next_change().target("u", 9100),
		       "target 't' already has this URL");
	expect_invalid(next_change().target("u", 0), "is not http://ip:port");
	expect_invalid(next_change().host("i", 9000),
		       "host 'h' already has this address");
	expect_invalid(next_change().named(DK__OP__OP_HOST_DEL, "x"),
		       "no host 'x'");
	expect_invalid(next_change(), "ops: is missing");
	expect_invalid(ChangeBuilder("bad id", revision()).publish("z"),
		       "change_id");
}

TEST_F(Change, PinsAndRetiresVersions)
{
	apply(next_change().publish("a").publish("a").publish("a", 7));
	apply(next_change()
		      .version(DK__OP__OP_ADAPTER_PIN, "a", 2)
		      .version(DK__OP__OP_ADAPTER_RETIRE, "a", 7));
	Tables d(m);
	const adapter_t *a = decided_adapter_by_name(d, str_c("a"));
	EXPECT_EQ(2u, a->current_version);
	EXPECT_EQ(2u, a->n_versions);
	EXPECT_FALSE(adapter_has_version(a, 7));
}

TEST_F(Change, DrainsTargetsAndHosts)
{
	apply(next_change().target("t", 9100).host("h", 9000));
	apply(next_change()
		      .named(DK__OP__OP_TARGET_DRAIN, "t")
		      .named(DK__OP__OP_HOST_DRAIN, "h"));
	EXPECT_EQ(TARGET_DRAINING,
		  decided_target_by_name(Tables(m), str_c("t"))->state);
	EXPECT_TRUE(decided_host_by_name(Tables(m), str_c("h"))->draining);
	apply(next_change().named(DK__OP__OP_TARGET_UNDRAIN, "t"));
	EXPECT_EQ(TARGET_ACTIVE,
		  decided_target_by_name(Tables(m), str_c("t"))->state);
}

TEST_F(Change, AssignmentsRecordTheOwnerThatTheNextOneWaitsFor)
{
	buf_t entry = {};
	auto assign = [&](uint32_t owner) {
		assignment_t a = {1, owner};
		buf_reset(&entry);
		machine_pack_assign(&entry, &a, 1);
		EXPECT_EQ(0,
			  machine_apply(m, machine_index(m) + 1, ENTRY_ASSIGN,
					buf_str(&entry), nullptr));
	};
	apply(next_change()
		      .target("t", 9100)
		      .host("h1", 9000)
		      .host("h2", 9010));
	assign(1);
	assign(0);
	assign(2);
	const target_t *t = decided_target(Tables(m), 1);
	EXPECT_EQ(2u, t->owner);
	EXPECT_EQ(1u, t->previous_owner);
	EXPECT_EQ(machine_index(m), t->fence);
	EXPECT_EQ(1u, revision());
	assign(9); // no such host
	EXPECT_EQ(2u, decided_target(Tables(m), 1)->owner);
	apply(next_change().named(DK__OP__OP_HOST_DEL, "h2"));
	EXPECT_EQ(0u, decided_target(Tables(m), 1)->owner);
	EXPECT_EQ(2u, decided_target(Tables(m), 1)->previous_owner);
	buf_free(&entry);
}

TEST_F(Change, OrganisationsGetLimitsAndAdaptersOfTheirTemplate)
{
	EXPECT_EQ("",
		  apply(next_change().district_template("d", "20", 3)).error);
	expect_invalid(next_change().org(true, "o", "d"),
		       "params.district: is req");
	expect_invalid(next_change().org(true, "o", "d",
					 {{"district", "x"}, {"weight", "11"}}),
		       "params.weight: 11 is above the maximum, 10");
	expect_invalid(next_change().org(true, "o", "none"),
		       "no template 'none'");
	expect_invalid(next_change().org(true, "o", "d", {{"size", "1"}}),
		       "no such parameter");
	apply(next_change().org(true, "o", "d",
				{{"district", "north"}, {"weight", "7"}}));
	Tables d(m);
	const org_t *o = decided_org_by_name(d, str_c("o"));
	EXPECT_EQ(7, o->priority);
	EXPECT_EQ(20u, o->limits.rate_per_s);
	EXPECT_EQ(3u, decided_adapter_count(d));
	EXPECT_EQ(o->id,
		  decided_adapter_by_name(d, str_c("notice-north-2"))->org_id);
	expect_invalid(next_change().org(true, "p", "d",
					 {{"district", "north"}}),
		       "exists already and belongs to another");
	expect_invalid(next_change().named(DK__OP__OP_TEMPLATE_DEL, "d"),
		       "organisation 'o' uses it");
	expect_invalid(next_change().named(DK__OP__OP_ORG_DEL, "o"),
		       "it still has adapter 'notice-north-1'");
}

TEST_F(Change, ChangedTemplateUpdatesItsOrganisationsInOneChange)
{
	apply(next_change().district_template("d", "20", 3));
	apply(next_change()
		      .org(true, "o", "d", {{"district", "north"}})
		      .org(true, "p", "d", {{"district", "south"}})
		      .org(true, "free"));
	apply(next_change().publish("notice-south-3", 1, "llama"));
	uint64_t before = revision();
	EXPECT_EQ(
		before + 1,
		apply(next_change().district_template("d", "50", 2)).revision);
	Tables d(m);
	EXPECT_EQ(50u, decided_org_by_name(d, str_c("o"))->limits.rate_per_s);
	EXPECT_EQ(50u, decided_org_by_name(d, str_c("p"))->limits.rate_per_s);
	EXPECT_EQ(0u, decided_org_by_name(d, str_c("free"))->limits.rate_per_s);
	EXPECT_EQ(nullptr, decided_adapter_by_name(d, str_c("notice-north-3")));
	// A template keeps an adapter to which an operator has published.
	EXPECT_NE(nullptr, decided_adapter_by_name(d, str_c("notice-south-3")));
	expect_invalid(next_change().district_template("d", "{weight}0x", 2),
		       "organisation 'o': rate_per_s");
}

TEST(Names, OnlyValidNamesAndAddressesAreAccepted)
{
	for (const char *good : {"a", "A-1.b_c", "9"})
		EXPECT_TRUE(name_valid(str_c(good))) << good;
	for (const char *bad : {"", "-a", "a b", "a@1", "a/b", "\xc3\xa9"})
		EXPECT_FALSE(name_valid(str_c(bad))) << bad;
	EXPECT_FALSE(name_valid(view(std::string(65, 'a'))));
	EXPECT_TRUE(model_name_valid(str_c("org/llama-8b")));
	EXPECT_FALSE(model_name_valid(str_c("org//x")));
	for (const char *good : {"10.0.0.1:80", "[::1]:65535"})
		EXPECT_TRUE(addr_valid(str_c(good))) << good;
	for (const char *bad : {"", ":80", "10.0.0.1", "10.0.0.1:0", "[::1:80",
				"host:80", "10.0.0.1:65536", "::1:80"})
		EXPECT_FALSE(addr_valid(str_c(bad))) << bad;
}
