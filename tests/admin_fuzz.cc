// Sends randomly damaged requests to the operators' interface. Each must get a
// reply, be applied as a whole or not at all, and leave tables that can be
// saved and loaded again.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "admin_util.h"

namespace
{

const char *const BODIES[] = {
	R"({"change_id":"a","base_revision":1,"ops":[{"org_set":{"name":"o",
		"settings":{"params":{"rate":9},"priority":-3},
		"unset":["burst"],"token_hash":"00ff"}}]})",
	R"({"dry_run":true,"ops":[{"template_put":{"name":"d",
		"rate_per_s":"{rate}0","params":[{"name":"rate","kind":"int",
		"default":5,"min":-2,"max":100,"choices":[]}],
		"adapters":[{"name":"{org}-{n}","base":"llama","count":"3",
		"version":2}]}}]})",
	R"({"wait_ms":0,"ops":[{"adapter_publish":{"names":["a","q"],
		"base":"llama","version":4294967295}},{"host_del":"h"},
		{"adapter_retire":{"name":"a","version":4}}]})",
	R"({"ops":[{"target_put":{"name":"t","slots":4,"max_batch":8,
		"checks_fence":true,"url":"http://[::1]:9"}},
		{"host_put":{"name":"h","id":4294967295,"voter":true}}]})",
};

const char *const PATHS[] = {
	"adapters?limit=2&after=1&prefix=o",
	"orgs/o",
	"templates",
	"hosts/h",
	"changes?before=1&limit=9",
	"changes/setup",
	"diff?from=0&to=9",
	"revisions?revision=3&wait_ms=1",
	"explain?model=a%40",
	"status",
};

// Overwrites, removes or repeats some bytes at random places.
std::string damage(std::string s)
{
	static const char bytes[] = "{}[]\",:0-9eE.\\u\0%&=/\xff ";
	int edits = *rc::gen::inRange(0, 6);

	for (int i = 0; i < edits && !s.empty(); i++) {
		size_t pos = *rc::gen::inRange<size_t>(0, s.size());
		size_t pick = *rc::gen::inRange<size_t>(0, sizeof(bytes));
		switch (*rc::gen::inRange(0, 3)) {
		case 0:
			s[pos] = bytes[pick];
			break;
		case 1:
			s.erase(pos, 1 + pick);
			break;
		default:
			s.insert(pos, s.substr(s.size() - pos, pick));
		}
	}
	return s;
}

} // namespace

RC_GTEST_PROP(Admin, DamagedRequestsAreAppliedWholeOrNotAtAll, ())
{
	FakeAdmin admin;
	admin_reply_t reply = {};

	apply_change(admin.machine,
		     ChangeBuilder("setup", 0)
			     .district_template("d", "20", 2)
			     .org(true, "o", "d", {{"district", "n"}})
			     .publish("a", 4)
			     .target("t", 9100)
			     .host("h", 9000)
			     .pack());
	std::string body = damage(*rc::gen::elementOf(std::vector<std::string>(
		std::begin(BODIES), std::end(BODIES))));
	admin.handle("POST", "/v1/admin/change", "", body, &reply);
	RC_ASSERT(reply.http_status == 200 || reply.http_status == 400 ||
		  reply.http_status == 409 || reply.http_status == 422);
	RC_ASSERT(decided_revision(Tables(admin.machine)) <= 2u);
	if (reply.http_status != 200)
		RC_ASSERT(decided_revision(Tables(admin.machine)) == 1u);
	buf_free(&reply.body);

	std::string path = damage(*rc::gen::elementOf(
		std::vector<std::string>(std::begin(PATHS), std::end(PATHS))));
	size_t query_at = path.find('?');
	admin.handle("GET", "/v1/admin/" + path.substr(0, query_at),
		     query_at == std::string::npos ? ""
						   : path.substr(query_at + 1),
		     "", &reply);
	RC_ASSERT(reply.http_status >= 200);
	json_t *parsed =
		json_loadb(reply.body.p, reply.body.n, JSON_ALLOW_NUL, nullptr);
	// FakeAdmin copies the model into the reply of explain without escapes.
	RC_ASSERT(parsed || path.rfind("explain", 0) == 0);
	json_decref(parsed);
	buf_free(&reply.body);
	std::string bytes = save(admin.machine);
	machine_t *copy = machine_new();
	RC_ASSERT(machine_load(copy, view(bytes)) == 0);
	RC_ASSERT(save(copy) == bytes);
	machine_free(copy);
}
