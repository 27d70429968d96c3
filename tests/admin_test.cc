// The operators' JSON interface, called directly instead of over HTTP.
#include <gtest/gtest.h>

#include <string>

#include "admin_util.h"

static const char *const SETUP =
	R"({"change_id":"setup","base_revision":0,"author":"ann","ops":[
	{"template_put":{"name":"d","rate_per_s":"{rate}","params":[
		{"name":"rate","kind":"int","default":5,"max":100}],
		"adapters":[{"name":"{org}-{n}","base":"llama","count":2}]}},
	{"org_create":{"name":"o","template":"d",
		"settings":{"params":{"rate":7},"priority":2}}},
	{"adapter_publish":{"names":["a","b"],"base":"llama","version":4}},
	{"host_put":{"name":"h","id":3,"zone":"z","caller_addr":"127.0.0.1:1",
		"peer_addr":"127.0.0.1:2"}},
	{"target_put":{"name":"t","url":"http://127.0.0.1:9","zone":"z",
		"base":"llama","slots":4,"max_batch":8}}]})";

class Admin : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		Json j = admin.call("POST", "change", 200, SETUP);
		ASSERT_EQ("decided", j.text("status"));
	}

	FakeAdmin admin;
};

TEST_F(Admin, AppliesAResentChangeOnceAndReportsConflicts)
{
	Json again = admin.call("POST", "change", 200, SETUP);
	EXPECT_TRUE(json_is_true(again.at("resent")));
	EXPECT_EQ(1, again.num("revision"));
	Json conflict = admin.call(
		"POST", "change", 409,
		R"({"base_revision":0,"ops":[{"target_drain":"t"}]})");
	EXPECT_EQ("conflict", conflict.text("status"));
	EXPECT_EQ(1, conflict.num("revision"));
	// The daemon fills in a missing base revision and a missing id.
	Json filled = admin.call("POST", "change", 200,
				 R"({"ops":[{"target_drain":"t"}]})");
	EXPECT_EQ(2, filled.num("revision"));
	EXPECT_EQ(24u, filled.text("change_id").size());
	admin.outcome_lost = true;
	EXPECT_EQ("unknown", admin.call("POST", "change", 504,
					R"({"ops":[{"target_undrain":"t"}]})")
				     .text("status"));
}

TEST_F(Admin, ErrorsNameTheFaultyMemberOfTheChange)
{
	const struct {
		int status;
		const char *body;
		const char *error;
	} cases[] = {
		{400, "{", "line 1"},
		{400, "[]", "expected an object"},
		{400, R"({"ops":[{"target_drian":"t"}]})",
		 "ops[0].target_drian: is not known here"},
		{400, R"({"ops":[{"target_drain":"t","host_drain":"h"}]})",
		 "ops[0]: expected an object with one operation"},
		{400, R"({"ops":[{"target_put":{"name":"t","slots":"x"}}]})",
		 "ops[0].target_put.slots: expected an integer"},
		{400, R"({"ops":[{"target_put":{"name":"t","slots":-1}}]})",
		 "expected an integer of 0 to 4294967295"},
		{400, R"({"ops":[{"target_put":{"slots":1}}]})",
		 "ops[0].target_put.name: expected a string; it is missing"},
		{400,
		 R"({"ops":[{"org_set":{"name":"o","token_hash":"xyz"}}]})",
		 "hexadecimal"},
		{400, R"({"ops":[{"template_put":{"name":"x","params":[
			{"name":"p","kind":"float"}]}}]})",
		 R"(ops[0].template_put.params[0].kind: expected one of)"},
	};

	for (auto &c : cases) {
		Json j = admin.call("POST", "change", c.status, c.body);
		Json error(json_incref(j.at("error")));
		EXPECT_NE(std::string::npos, error.text("detail").find(c.error))
			<< error.text("detail");
	}
	EXPECT_EQ("ops[0].target_drain.name: there is no target 'x'",
		  admin.call("POST", "change", 422,
			     R"({"ops":[{"target_drain":"x"}]})")
			  .text("error"));
}

TEST_F(Admin, DryRunShowsDifferencesAndAppliesNothing)
{
	Json j = admin.call(
		"POST", "change", 200,
		R"({"dry_run":true,"ops":[{"template_put":{"name":"d",
			"rate_per_s":50,"params":[{"name":"rate"}],
			"adapters":[{"name":"{org}-1","base":"llama"}]}}]})");
	ASSERT_EQ(3u, json_array_size(j.at("differences")));
	AUTO_FREE char *org = json_dumps(json_array_get(j.at("differences"), 1),
					 JSON_SORT_KEYS);
	EXPECT_STREQ(
		R"({"fields": {"rate_per_s": [7, 50]}, "kind": "changed", )"
		R"("name": "o", "table": "org"})",
		org);
	Json deleted(json_incref(json_array_get(j.at("differences"), 2)));
	EXPECT_EQ("deleted", deleted.text("kind"));
	EXPECT_EQ("o-2", deleted.text("name"));
	EXPECT_EQ(1, admin.call("GET", "status").num("revision"));
}

TEST_F(Admin, ServesListsInPagesAndSingleRows)
{
	Json page = admin.call("GET", "adapters?limit=3");
	EXPECT_EQ(3u, json_array_size(page.at("adapters")));
	EXPECT_EQ(4, page.num("count"));
	Json rest = admin.call("GET", "adapters?limit=3&after=" +
					      std::to_string(page.num("next")));
	EXPECT_EQ(1u, json_array_size(rest.at("adapters")));
	EXPECT_EQ(nullptr, rest.at("next"));
	EXPECT_EQ(2u, json_array_size(admin.call("GET", "adapters?prefix=o%2d")
					      .at("adapters")));
	EXPECT_EQ("o", admin.call("GET", "adapters/o-1").text("org"));
	EXPECT_EQ(7, admin.call("GET", "orgs/o").num("rate_per_s"));
	EXPECT_EQ("d", admin.call("GET", "templates/d").text("name"));
	EXPECT_EQ("127.0.0.1:2",
		  admin.call("GET", "hosts/h").text("peer_addr"));
	EXPECT_EQ("active", admin.call("GET", "targets/t").text("state"));
	admin.call("GET", "adapters/none", 404);
	admin.call("GET", "nothing", 404);
	admin.call("POST", "adapters", 405);
	admin.call("DELETE", "status", 405);
}

TEST_F(Admin, ShowsDecidedChangesByRevisionAndId)
{
	admin.call("POST", "change", 200, R"({"change_id":"two","author":"bob",
		"ops":[{"adapter_pin":{"name":"a","version":4}}]})");
	Json list = admin.call("GET", "changes");
	EXPECT_EQ(2u, json_array_size(list.at("changes")));
	Json two = admin.call("GET", "changes/two");
	EXPECT_EQ(2, two.num("revision"));
	EXPECT_EQ("adapter_pin a", two.text("summary"));
	EXPECT_EQ(1u, json_array_size(two.at("ops")));
	EXPECT_EQ("ann", admin.call("GET", "changes/1").text("author"));
	Json diff = admin.call("GET", "diff?from=1&to=2");
	EXPECT_EQ(1u, json_array_size(diff.at("changes")));
	EXPECT_TRUE(json_is_true(diff.at("whole")));
	admin.call("GET", "changes/99", 404);
}

TEST_F(Admin, ReportsOnWhichHostsARevisionIsInForce)
{
	admin.known_leader = "127.0.0.1:7";
	Json other = admin.call("GET", "revisions", 421);
	EXPECT_STREQ("127.0.0.1:7", json_string_value(json_object_get(
					    other.at("error"), "leader")));
	admin.live_hosts = {{3, 0, 1}};
	Json lacking = admin.call("GET", "revisions?revision=1&wait_ms=1");
	EXPECT_FALSE(json_is_true(lacking.at("in_force")));
	EXPECT_STREQ("h", json_string_value(
				  json_array_get(lacking.at("lacking"), 0)));
	admin.live_hosts = {{3, 1, 2}};
	EXPECT_TRUE(json_is_true(
		admin.call("GET", "revisions?revision=1").at("in_force")));
	Json changed = admin.call("POST", "change", 200, R"({"wait_ms":1,
		"ops":[{"target_drain":"t"}]})");
	EXPECT_FALSE(json_is_true(
		json_object_get(changed.at("in_force"), "in_force")));
	admin.live_hosts = {{9, 5, 5}}; // a host that is not in the tables
	Json absent = admin.call("GET", "revisions");
	EXPECT_EQ(1u, json_array_size(absent.at("absent")));
}

TEST_F(Admin, PassesExplainAndDrainToTheDaemon)
{
	EXPECT_EQ("a@4",
		  admin.call("GET", "explain?model=a%404").text("model"));
	admin.call("GET", "explain", 400);
	admin.call("POST", "drain", 202);
	EXPECT_EQ(1, admin.drain_calls);
}
