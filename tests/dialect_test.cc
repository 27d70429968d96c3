// The platform's formats: settings, manifests, runner lists, reports, orders,
// header fields and paths.
#include <gtest/gtest.h>

#include <fstream>

#include "dialect.h"
#include "site_times.h"

namespace
{

str_t view(const std::string &s)
{
	return str_n(s.data(), s.size());
}
std::string text(str_t s)
{
	return std::string(s.p ? s.p : "", s.n);
}
std::string text(const buf_t &b)
{
	return std::string(b.p ? b.p : "", b.n);
}

const char *const MANIFEST =
	R"({"version":7,"routes":[)"
	R"({"name":"a","host":"x.example","path_prefix":"/p/","kind":"streaming",)"
	R"("timeout_ms":15000,"slo_ms":800,"priority":1,"service":"llm",)"
	R"("attempts":2,"resumable":true,"gap_aim_ms":250},)"
	R"({"name":"b","host":"x.example","path_prefix":"/p/q/",)"
	R"("kind":"idempotent","timeout_ms":800,"slo_ms":150,"priority":2,)"
	R"("split":[{"service":"llm","weight":90},{"service":"app","weight":10}],)"
	R"("attempts":1}],)"
	R"("services":[{"name":"llm","health_path":"/h","max_conns":390,)"
	R"("engine":{"slots":64,"kv_capacity":1000,"weights_mb":10.0,)"
	R"("adapter_slots":20,"loads_per_s":4.5,"models":[{"name":"m",)"
	R"("weights_mb":9.0,"load_s":1.5,"adapter_mb":40.0,"warm_s":0.4,)"
	R"("disk_s":0.6}]}},{"name":"app","health_path":"/h","max_conns":1}],)"
	R"("limits":{"max_header_bytes":100,"max_body_bytes":200,)"
	R"("header_timeout_ms":3,"idle_timeout_ms":4},"new":{"x":[1]}})";

std::string replaced(std::string s, const std::string &a, const std::string &b)
{
	size_t at = s.find(a);

	EXPECT_NE(std::string::npos, at) << a;
	return s.replace(at, a.size(), b);
}

manifest_t *parse_manifest(const std::string &s, std::string *why = nullptr)
{
	buf_t error = {};
	manifest_t *m = dialect_parse_manifest(view(s), &error);

	if (why)
		*why = text(error);
	buf_free(&error);
	return m;
}

TEST(Dialect, ParsesManifest)
{
	manifest_t *m = parse_manifest(MANIFEST);

	ASSERT_NE(nullptr, m);
	EXPECT_EQ(7u, m->version);
	const route_t *a =
		manifest_find_route(m, STR("X.example:80"), STR("/p/anything"));
	ASSERT_NE(nullptr, a);
	EXPECT_EQ("a", text(a->name));
	EXPECT_EQ(ROUTE_STREAMING, a->kind);
	EXPECT_EQ(15000 * USEC_PER_MSEC, a->timeout_us);
	EXPECT_EQ(2u, a->attempts);
	EXPECT_TRUE(a->resumable);
	const route_t *b =
		manifest_find_route(m, STR("x.example"), STR("/p/q/z"));
	EXPECT_EQ("b", text(b->name));
	EXPECT_EQ(nullptr, manifest_find_route(m, STR("x.example"), STR("/p")));
	EXPECT_EQ(nullptr,
		  manifest_find_route(m, STR("y.example"), STR("/p/")));
	int app = 0;
	for (uint64_t i = 0; i < 100; i++)
		app += text(route_pick_share(b, i)->service) == "app";
	EXPECT_EQ(10, app);
	const service_t *s = manifest_find_service(m, STR("llm"));
	EXPECT_TRUE(s->engine);
	EXPECT_EQ(20u, s->adapter_slots);
	EXPECT_EQ(600 * USEC_PER_MSEC,
		  service_find_model(s, STR("m"))->disk_load_us);
	EXPECT_EQ(200u, m->limits.body_max);
	EXPECT_EQ(3 * USEC_PER_MSEC, m->limits.head_timeout_us);
	manifest_unref(m);
}

TEST(Dialect, InvalidManifestsNameTheFault)
{
	const struct {
		std::string bytes;
		const char *why;
	} invalid[] = {
		{std::string(MANIFEST).substr(0, 200), "not a JSON object"},
		{"[1]", "not a JSON object"},
		{replaced(MANIFEST, "\"version\":7", "\"version\":\"7\""),
		 "version"},
		{replaced(MANIFEST, "\"service\":\"llm\"",
			  "\"service\":\"gone\""),
		 "unknown service"},
		{replaced(MANIFEST, "/p/q/", "/p/"), "share host and prefix"},
		{replaced(replaced(MANIFEST, ":90", ":0"), ":10}", ":0}"),
		 "weights add up to 0"},
		{replaced(MANIFEST, "\"timeout_ms\":800", "\"timeout_ms\":0"),
		 "timeout is 0"},
		{replaced(MANIFEST, "\"timeout_ms\":800,", ""), "timeout is 0"},
		{replaced(MANIFEST, "\"new\":",
			  R"("tenants":[{"name":"a","api_keys":["k","l"]},)"
			  R"({"name":"b","api_keys":["l"]}],"new":)"),
		 "share a key"},
	};

	for (auto &b : invalid) {
		std::string why;

		EXPECT_EQ(nullptr, parse_manifest(b.bytes, &why)) << b.why;
		EXPECT_NE(std::string::npos, why.find(b.why)) << why;
	}
}

int check_manifest(const std::string &s, std::string *why)
{
	buf_t error = {};
	int rc = dialect_check_manifest(view(s), &error);

	*why = text(error);
	buf_free(&error);
	return rc;
}

// The text with the value of each member that is known replaced in turn.
void expect_each_member_checked(const std::string &bytes)
{
	const std::vector<std::string> values = {
		"true", "\"1\"", "-1", "1e15", "2.5", "[7]", "{\"a\":1}"};
	size_t n_refused = 0;

	for (size_t at = 0; (at = bytes.find("\":", at)) != std::string::npos;
	     at++) {
		size_t key = bytes.rfind('"', at - 1) + 1;
		std::string name = bytes.substr(key, at - key), why;

		if (name == "new" || strchr("[{", bytes[at + 2]))
			continue;
		size_t end = bytes[at + 2] == '"'
				     ? bytes.find('"', at + 3) + 1
				     : bytes.find_first_of(",}", at + 2);
		size_t n_before = n_refused;

		for (const std::string &v : values) {
			std::string other =
				bytes.substr(0, at + 2) + v + bytes.substr(end);

			if (check_manifest(other, &why) == 0)
				continue;
			n_refused++;
			EXPECT_NE(std::string::npos, why.find(name + ": "))
				<< why;
		}
		// One value may fit, and another one a number.
		EXPECT_GE(n_refused, n_before + values.size() - 2) << name;
		EXPECT_EQ(0, check_manifest(bytes.substr(0, at + 2) + "null" +
						    bytes.substr(end),
					    &why))
			<< why;
	}
	EXPECT_LT(0u, n_refused);
}

TEST(Dialect, ManifestWithAMemberOfAnotherTypeIsRefused)
{
	std::string orgs = R"("tenants":[{"name":"a","priority":1,"unit":"u",)"
			   R"("plain_tokens":4,"rate_per_s":5.5,"burst":9,)"
			   R"("api_keys":["k"]}],"new":)";
	std::string bytes = replaced(MANIFEST, "\"new\":", orgs), why;

	EXPECT_EQ(0, check_manifest(bytes, &why)) << why;
	expect_each_member_checked(bytes);
	EXPECT_EQ(-1, check_manifest(replaced(bytes, ":90", ":\"90\""), &why));
	EXPECT_EQ("routes[1].split[0].weight: expected a whole number of at "
		  "most 32 bits",
		  why);
	EXPECT_EQ(-1, check_manifest(replaced(bytes, "[\"k\"]", "[\"k\",7]"),
				     &why));
	EXPECT_EQ("tenants[0].api_keys: expected a list of strings", why);
}

TEST(Dialect, VersionOfAnUnreadableAdapterIsNotTheModels)
{
	const std::pair<const char *, int> rows[] = {
		{R"({"model":"m","version":3})", 0},
		{R"({"model":"m","adapter":null,"version":3})", 0},
		{R"({"model":"m","adapter":"a","version":3})", 0},
		{R"({"model":"m","adapter":7,"version":3})", -1},
		{R"({"model":"m","adapter":["a"],"version":3})", -1},
		{R"({"model":7,"version":3})", -1},
		{R"({"model":"m","version":"3"})", -1},
	};

	for (auto &row : rows) {
		adapter_version_t v;
		buf_t error = {};

		EXPECT_EQ(row.second, dialect_parse_adapter_version(
					      str_c(row.first), &v, &error))
			<< row.first;
		adapter_version_free(&v);
		buf_free(&error);
	}
}

TEST(Dialect, RunnerListSkipsInvalidRows)
{
	const std::string list =
		R"({"instances":[)"
		R"({"id":"i-1","service":"llm","addr":"10.0.0.1:80","zone":"z",)"
		R"("slots":64,"state":"ready","born":5,"version":"v1.2","cold_left_ms":0,)"
		R"("models":[{"name":"m",)"
		R"("version":1,"adapters":["a3@2","a4"]}],)"
		R"("at_hand":{"in_memory":[],"on_disk":["m"]}},)"
		R"({"id":"i-2","service":"llm","addr":"10.0.0.2:80","zone":"z",)"
		R"("slots":4,"cold_left_ms":1.5,)"
		R"("state":"draining","remaining_ms":1500,"version":""},)"
		R"({"id":"i-3","service":"llm","addr":"nowhere","state":"ready"},)"
		R"({"id":7,"service":"llm","addr":"10.0.0.1:80","state":"ready"},)"
		R"({"id":"i-4","service":"llm","addr":"10.0.0.1:80",)"
		R"("state":"dreaming"},"rubbish",null],"next":"p-2"})";
	runner_list_t l;

	ASSERT_EQ(0, dialect_parse_runner_list(view(list), &l));
	ASSERT_EQ(2u, l.n);
	EXPECT_EQ(5u, l.n_invalid);
	EXPECT_EQ("p-2", text(l.next_page));
	EXPECT_EQ("i-1", text(l.rows[0].id));
	EXPECT_EQ(5u, l.rows[0].start_time_ms);
	EXPECT_EQ("v1.2", text(l.rows[0].build));
	EXPECT_EQ("", text(l.rows[1].build));
	EXPECT_TRUE(l.rows[0].models_known);
	ASSERT_EQ(2u, l.rows[0].n_adapters);
	EXPECT_EQ("a3", text(l.rows[0].adapters[0].adapter));
	EXPECT_EQ(2u, l.rows[0].adapters[0].version);
	EXPECT_EQ(0u, l.rows[0].adapters[1].version);
	ASSERT_EQ(1u, l.rows[0].n_local_weights);
	EXPECT_FALSE(l.rows[0].local_weights[0].in_memory);
	EXPECT_TRUE(l.rows[1].draining);
	EXPECT_FALSE(l.rows[1].models_known);
	EXPECT_EQ(1500 * USEC_PER_MSEC, l.rows[1].leaves_in_us);
	runner_list_free(&l);
	EXPECT_EQ(-1, dialect_parse_runner_list(STR("{\"instances\":3}"), &l));
	EXPECT_EQ(-1, dialect_parse_runner_list(STR("{"), &l));
}

std::string row(const std::string &id)
{
	return R"({"id":")" + id +
	       R"(","service":"llm","addr":"10.0.0.1:80","zone":"z","slots":64,)"
	       R"("state":"ready","version":"v1","cold_left_ms":0})";
}

// Only the rows before and behind it may be left, and the token of the next page.
void expect_others_hold(const std::string &bad)
{
	std::string list = R"({"instances":[)" + row("i-1") + "," + bad + "," +
			   row("i-2") + R"(],"next":"p-2"})";
	runner_list_t l;

	ASSERT_EQ(0, dialect_parse_runner_list(view(list), &l)) << bad;
	ASSERT_EQ(2u, l.n) << bad;
	EXPECT_EQ("i-1", text(l.rows[0].id)) << bad;
	EXPECT_EQ("i-2", text(l.rows[1].id)) << bad;
	EXPECT_EQ("p-2", text(l.next_page)) << bad;
	EXPECT_LE(1u, l.n_invalid) << bad;
	runner_list_free(&l);
}

TEST(Dialect, RowOfAnotherWriterNamesNoRunnerAndTheOthersHold)
{
	const char *const fields[] = {"id",	 "service",	"addr",
				      "zone",	 "slots",	"state",
				      "version", "cold_left_ms"};
	const std::vector<std::string> values = {"null",
						 "[]",
						 "true",
						 "{\"a\":1}",
						 "98765432109876543210",
						 "1e999",
						 "\"z\xff\xfe\"",
						 "\"a\\u0000b\"",
						 "\"\x01\"",
						 "\"\\q\"",
						 "\"\\ud800\""};
	std::string sound = row("i-9");

	for (const char *field : fields) {
		std::string key = "\"" + std::string(field) + "\":";
		size_t at = sound.find(key), end = at + key.size();

		end = sound[end] == '"' ? sound.find('"', end + 1) + 1
					: sound.find_first_of(",}", end);
		expect_others_hold(sound.substr(0, at) + "\"other\":0" +
				   sound.substr(end));
		for (const std::string &v : values)
			expect_others_hold(sound.substr(0, at) + key + v +
					   sound.substr(end));
	}
	// Also in a field that is not known, in its name, and outside of all fields.
	for (const std::string &v : values)
		if (v.size() > 4 && v != "true" && v != "{\"a\":1}")
			expect_others_hold("{\"new\":" + v + "," +
					   sound.substr(1));
	expect_others_hold("{\"\xff\":1," + sound.substr(1));
	expect_others_hold("\xff\xfe");
	expect_others_hold("{\"id\"}");
	expect_others_hold("{\"id\":\"i-9\",}");
	expect_others_hold(std::string(5000, '[') + std::string(5000, ']'));
}

// A time in nanoseconds has 19 digits.
TEST(Dialect, IntegerOf64BitsSpoilsNoRowBesideOneThatCannotBeRead)
{
	for (const char *bad : {"", ",\"\xff\""}) {
		std::string list = R"({"instances":[{"a":1796495201915361000,)"
				   R"("b":9223372036854775807,)"
				   R"("c":-9223372036854775808,)" +
				   row("i-1").substr(1) + bad + "]}";
		runner_list_t l;

		ASSERT_EQ(0, dialect_parse_runner_list(view(list), &l));
		EXPECT_EQ(1u, l.n) << bad;
		runner_list_free(&l);
	}
	expect_others_hold(R"({"a":9223372036854775808,)" +
			   row("i-9").substr(1));
	expect_others_hold(R"({"a":-9223372036854775809,)" +
			   row("i-9").substr(1));
}

TEST(Dialect, RowOfAnotherWriterReplacesNoRunnerOfItsId)
{
	expect_others_hold(R"({"service":"app","addr":"10.0.0.9:80","zone":7,)"
			   R"("slots":"6","state":"ready","id":"i-1"})");
	expect_others_hold(R"({"service":"app","addr":"10.0.0.9:80",)"
			   R"("state":"ready","id":"i-1"})");
}

TEST(Dialect, ReportWithAPartThatCannotBeReadKeepsTheRest)
{
	runner_info_t r;

	ASSERT_EQ(0, dialect_parse_runner_report(
			     STR("{\"seq\":2,\"new\":\"\xff\",\"running\":"
				 "98765432109876543210,\"waiting\":3}"),
			     &r));
	EXPECT_EQ(2u, r.seq);
	EXPECT_EQ(3u, r.waiting);
	EXPECT_EQ(0u, r.running);
	runner_info_free(&r);
}

TEST(Dialect, ParsesReportsAndWritesOrders)
{
	runner_info_t r;
	buf_t out = {};
	runner_order_t o = {};

	ASSERT_EQ(0, dialect_parse_runner_report(
			     STR("{\"seq\":2,\"models\":[],\"waiting\":1,"
				 "\"running\":12,\"coming\":[\"m/a9@4\"]}"),
			     &r));
	EXPECT_TRUE(r.seq_known);
	EXPECT_EQ(2u, r.seq);
	ASSERT_EQ(1u, r.n_adapters);
	EXPECT_TRUE(r.adapters[0].loading);
	EXPECT_EQ(4u, r.adapters[0].version);
	runner_info_free(&r);
	ASSERT_EQ(0,
		  dialect_parse_runner_report(
			  STR("{\"seq\":\"x\",\"remaining_ms\":1e300}"), &r));
	EXPECT_FALSE(r.seq_known);
	EXPECT_EQ(-1, r.leaves_in_us);
	EXPECT_FALSE(r.models_known);
	runner_info_free(&r);
	o.load = true;
	o.model = STR("m");
	o.adapter = STR("a3");
	o.version = 4;
	o.holder = STR("host-1");
	o.fence = 41;
	o.expected_seq = 2;
	dialect_write_order(&out, &o);
	EXPECT_EQ("{\"op\":\"load\",\"model\":\"m\",\"adapter\":\"a3\","
		  "\"version\":4,\"expect\":2,\"holder\":\"host-1\","
		  "\"fence\":41}",
		  text(out));
	buf_free(&out);
}

http1_head_t
head(std::initializer_list<std::pair<const char *, const char *>> f,
     int status = 0)
{
	http1_head_t h = {};

	h.status = status;
	for (auto &e : f)
		h.fields[h.n_fields++] = {str_c(e.first), str_c(e.second)};
	return h;
}

TEST(Dialect, ReadsFieldsOfRequestHead)
{
	http1_head_t h = head({{"request-id", "9c41"},
			       {"Host", "x.example"},
			       {"Model", "m/a3"},
			       {"Token-Usage", "1460,80"},
			       {"Prompt-Prefix", "5c:800,91:410,bad"},
			       {"Deadline-Ms", "1500"},
			       {"Last-Event-Id", "12"},
			       {"Resumes", "abc"}});
	request_info_t info;

	dialect_read_request_head(&h, &info);
	EXPECT_EQ("9c41", text(info.id));
	EXPECT_EQ("m", text(info.model));
	EXPECT_EQ("a3", text(info.adapter));
	EXPECT_EQ(1460u, info.tokens_in);
	EXPECT_EQ(80u, info.tokens_out);
	ASSERT_EQ(2u, info.n_parts);
	EXPECT_EQ(410u, info.parts[1].tokens);
	EXPECT_EQ(1500 * USEC_PER_MSEC, info.left_us);
	EXPECT_TRUE(info.resumes);
	EXPECT_EQ(12u, info.resume_after);
	EXPECT_EQ("abc", text(info.resumed_stream));
	h = head({{"Deadline-Ms", "-5"}});
	dialect_read_request_head(&h, &info);
	EXPECT_EQ(-1, info.left_us);
	EXPECT_FALSE(info.resumes);
}

TEST(Dialect, ReadsTheLimitThatARunnerNames)
{
	struct {
		const char *text;
		double per_s;
	} cases[] = {{"3.2", 3.2},	{"0", 0},	    {"0.25", 0.25},
		     {"12", 12},	{"", LIMIT_NONE},   {"-1", LIMIT_NONE},
		     {"x", LIMIT_NONE}, {"1,5", LIMIT_NONE}};

	for (auto &c : cases) {
		http1_head_t h = head({{"Server-Limit", c.text}});
		response_info_t info;

		dialect_read_response_head(&h, &info);
		EXPECT_EQ(c.per_s, info.limit_per_s) << c.text;
	}
}

TEST(Dialect, APromptPartHasOneIdHoweverItIsWritten)
{
	http1_head_t h = head({{"Prompt-Prefix", "5c1e07a2:1,005C1E07A2:1,"
						 "5c1e07a25c1e07a25:1,zz:1,"
						 "5c1e07a25c1e07a26:1"}});
	request_info_t info;

	dialect_read_request_head(&h, &info);
	ASSERT_EQ(5u, info.n_parts);
	EXPECT_EQ(0x5c1e07a2u, info.parts[0].id);
	EXPECT_EQ(info.parts[0].id, info.parts[1].id);
	EXPECT_NE(info.parts[2].id, info.parts[4].id);
	EXPECT_NE(info.parts[2].id, info.parts[3].id);
}

TEST(Dialect, DropsCallersSystemFieldsAndWritesItsOwn)
{
	target_fields_t f = {};
	buf_t out = {};

	for (const char *name :
	     {"Hold", "pin-ms", "Kv-Backup", "KV-FROM", "Kv-Fetch",
	      "Expect-Instance", "Expect-Version", "Request-Priority",
	      "Deadline-Ms"})
		EXPECT_TRUE(dialect_drops_field(str_c(name))) << name;
	for (const char *name : {"Model", "Token-Usage", "Prompt-Prefix",
				 "Request-Id", "X-Anything"})
		EXPECT_FALSE(dialect_drops_field(str_c(name))) << name;
	f.runner = STR("i-1");
	f.left_us = 1234567;
	f.adapter_version = 3;
	f.resumes = true;
	f.resume_after = 9;
	dialect_write_target_fields(&out, &f);
	EXPECT_EQ("Expect-Instance: i-1\r\nExpect-Version: 3\r\n"
		  "Deadline-Ms: 1234\r\n"
		  "Last-Event-Id: 9\r\n",
		  text(out));
	buf_free(&out);
}

TEST(Dialect, ReadsFieldsOfResponseHead)
{
	response_info_t info;
	http1_head_t h = head({{"Not-Executed", "1"}}, 503);

	dialect_read_response_head(&h, &info);
	EXPECT_TRUE(info.not_run);
	h = head({{"Instance-Id", "i-2"}}, 421);
	dialect_read_response_head(&h, &info);
	EXPECT_TRUE(info.not_run);
	EXPECT_EQ("i-2", text(info.runner));
	for (int status : {408, 429, 503}) {
		h = head({}, status);
		dialect_read_response_head(&h, &info);
		EXPECT_FALSE(info.not_run) << status;
		EXPECT_TRUE(info.denies_run) << status;
	}
	h = head({}, 500);
	dialect_read_response_head(&h, &info);
	EXPECT_FALSE(info.denies_run);
	h = head({{"Response-Signature", "x"}}, 200);
	dialect_read_response_head(&h, &info);
	EXPECT_TRUE(info.has_proof);
}

TEST(Dialect, ReadsWhatARunnerWantsOfLaterRequests)
{
	static const struct {
		const char *text;
		int64_t hold_off_us;
	} rows[] = {{"2", 2 * USEC_PER_SEC},
		    {"0.25", 250 * USEC_PER_MSEC},
		    {"0", 0},
		    {"-1", 0},
		    {"soon", 0},
		    {"1x", 0},
		    {"1e30", 0},
		    {"", 0}};
	response_info_t info;
	http1_head_t h;

	for (auto &row : rows) {
		h = head({{"Not-Executed", "1"}, {"Retry-After", row.text}},
			 503);
		dialect_read_response_head(&h, &info);
		EXPECT_EQ(row.hold_off_us, info.hold_off_us) << row.text;
		EXPECT_FALSE(info.leaving);
	}
	h = head({{"Retry-After", "2"}}, 500);
	dialect_read_response_head(&h, &info);
	EXPECT_EQ(0, info.hold_off_us);
	h = head({{"Server-Leaving", "1"}}, 200);
	dialect_read_response_head(&h, &info);
	EXPECT_TRUE(info.leaving);
}

// Guards against a host that counts as large, or as nothing, by a limit misread.
TEST(Dialect, CapacityOfTheHostIsReadFromItsLimits)
{
	static const struct {
		const char *limits;
		host_capacity_t expected;
	} rows[] = {
		{R"({"cpu_share":0.09,"cores":7,"memory_mb":120,"max_fds":3075,)"
		 R"("link_mbps":7.5})",
		 {0.09, 7.5, 120, 3075, true}},
		{R"({"cores":2,"link_mbps":100})", {2, 100, 0, 0, true}},
		{R"({"cpu_share":4,"cores":2})", {2, 0, 0, 0, true}},
		{R"({"cpu_share":-1,"cores":"x","memory_mb":1e300,"max_fds":-4})",
		 {0, 0, 0, 0, true}},
		{"{}", {0, 0, 0, 0, true}},
		{"7", {0, 0, 0, 0, true}},
	};
	char path[] = "/tmp/dialect_test.XXXXXX";

	close(mkstemp(path));
	for (auto &row : rows) {
		site_settings_t s;
		buf_t errors = {};

		std::ofstream(path) << R"({"node":"n","ip":"10.1.0.3","zone":)"
				    << R"("z","port_range":[1,2],"data_dir":)"
				    << R"("/d","limits":)" << row.limits << "}";
		ASSERT_EQ(0, dialect_load_settings(&s, path, &errors))
			<< text(errors);
		EXPECT_DOUBLE_EQ(row.expected.cores, s.capacity.cores)
			<< row.limits;
		EXPECT_DOUBLE_EQ(row.expected.link_mbit_per_s,
				 s.capacity.link_mbit_per_s);
		EXPECT_EQ(row.expected.memory_mb, s.capacity.memory_mb);
		EXPECT_EQ(row.expected.fds, s.capacity.fds);
		EXPECT_EQ(row.expected.has_disk, s.capacity.has_disk);
		site_settings_free(&s);
	}
	unlink(path);
}

TEST(Dialect, FieldThatIsNotKnownMayHoldAnythingInSettings)
{
	const std::vector<std::string> values = {
		"98765432109876543210", "\"a\\u0000b\"", "\"\xff\"", "1e999",
		"{\"a\":[98765432109876543210]}"};
	char path[] = "/tmp/dialect_test.XXXXXX";

	close(mkstemp(path));
	for (const std::string &v : values) {
		site_settings_t s;
		buf_t errors = {};

		std::ofstream(path)
			<< R"({"node":"n","ip":"10.1.0.3","zone":"z",)"
			   R"("port_range":[7380,7395],"new":)" +
				   v + R"(,"data_dir":"/d"})";
		EXPECT_EQ(0, dialect_load_settings(&s, path, &errors))
			<< v << text(errors);
		EXPECT_EQ("/d", text(s.data_dir)) << v;
		site_settings_free(&s);
		buf_free(&errors);
	}
	unlink(path);
}

TEST(Dialect, InvalidSettingsNameEveryFault)
{
	char path[] = "/tmp/dialect_test.XXXXXX";
	int fd = mkstemp(path);
	site_settings_t s;
	buf_t errors = {};

	close(fd);
	std::ofstream(path)
		<< R"({"node":"n","ip":"10.1.0.3","zone":"z","port_range":)"
		   R"([7380,7395],"listen":{"front":"10.1.0.3:1"},"seeds":)"
		   R"(["10.1.0.3:8144"],"bootstrap":true,"tolerate":)"
		   R"({"machines":1},"bounds":{"grace_s":8,"fencing":true},)"
		   R"("cloud":{"addr":"10.2.0.1:1"},"unknown":{"new":1}})";
	ASSERT_EQ(0, dialect_load_settings(&s, path, &errors)) << text(errors);
	EXPECT_EQ(7380, s.peer_port);
	EXPECT_TRUE(s.bootstrap);
	EXPECT_TRUE(s.runners_check_fence);
	EXPECT_EQ(8 * USEC_PER_SEC, s.grace_us);
	EXPECT_EQ("10.1.0.3", text(s.seed_ips[0]));
	site_settings_free(&s);
	std::ofstream(path) << R"({"listen":{"front":"x"},"seeds":["y"]})";
	EXPECT_EQ(-1, dialect_load_settings(&s, path, &errors));
	for (const char *key : {"node", "ip", "port_range", "front", "seeds"})
		EXPECT_NE(std::string::npos, text(errors).find(key)) << key;
	site_settings_free(&s);
	std::ofstream(path) << "{";
	EXPECT_EQ(-1, dialect_load_settings(&s, path, &errors));
	buf_free(&errors);
	unlink(path);
}

TEST(Dialect, MatchesCallsAndWritesAddresses)
{
	buf_t out = {};
	str_t addrs[] = {STR("10.0.0.1:1"), STR("10.0.0.2:1")};

	EXPECT_EQ(CALL_READY,
		  dialect_match_call(STR("GET"), STR("/damasklug/ready")));
	EXPECT_EQ(CALL_ADDRESSES,
		  dialect_match_call(STR("GET"),
				     STR("/damasklug/resolve?zone=a")));
	EXPECT_EQ(CALL_PUT_MANIFEST,
		  dialect_match_call(STR("POST"),
				     STR("/damasklug/config/put")));
	EXPECT_EQ(CALL_UNKNOWN,
		  dialect_match_call(STR("GET"), STR("/damasklug/config/put")));
	EXPECT_EQ("z-1", text(dialect_caller_zone(
				 STR("/x?name=n&zone=z-1&region=r"))));
	EXPECT_EQ("", text(dialect_caller_zone(STR("/x"))));
	dialect_write_addresses(&out, addrs, 2, 2 * USEC_PER_SEC);
	EXPECT_EQ("{\"addrs\":[\"10.0.0.1:1\",\"10.0.0.2:1\"],\"ttl_s\":2}",
		  text(out));
	buf_free(&out);
}

// Guards against times that stay as they are where a deployment asks for shorter ones.
TEST(SiteTimes, ShrinkWithTheTightestBoundAndNeverGrow)
{
	site_settings_t s = {};
	site_times_t usual, half, twice;

	s.contact_us = 3 * USEC_PER_SEC;
	s.manifest_deadline_us = 2 * USEC_PER_SEC;
	s.catch_up_us = 4 * USEC_PER_SEC;
	usual = site_times(&s);
	EXPECT_EQ(2200 * USEC_PER_MSEC, usual.voter_lost_us);
	for (int64_t site_settings_t::*bound :
	     {&site_settings_t::contact_us,
	      &site_settings_t::manifest_deadline_us,
	      &site_settings_t::catch_up_us}) {
		s.*bound /= 2;
		half = site_times(&s);
		EXPECT_EQ(usual.heartbeat_us / 2, half.heartbeat_us);
		EXPECT_EQ(usual.election_us / 2, half.election_us);
		EXPECT_EQ(usual.lease_us / 2, half.lease_us);
		EXPECT_EQ(usual.max_staleness_us / 2, half.max_staleness_us);
		EXPECT_EQ(usual.link_heartbeat_us / 2, half.link_heartbeat_us);
		EXPECT_LT(half.voter_lost_us + 4 * half.election_us,
			  s.catch_up_us + 1);
		s.*bound /= 8;
		EXPECT_EQ(half.heartbeat_us, site_times(&s).heartbeat_us);
		s.*bound *= 32;
		twice = site_times(&s);
		EXPECT_EQ(usual.heartbeat_us, twice.heartbeat_us);
		EXPECT_EQ(usual.lease_us, twice.lease_us);
		s.*bound /= 2;
	}
	s.catch_up_us *= 2;
	EXPECT_EQ(6200 * USEC_PER_MSEC, site_times(&s).voter_lost_us);
}

} // namespace
