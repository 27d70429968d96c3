// Settings files: each fault is reported with its file, line, key and what is
// expected. The last test covers the TOML reader.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <iterator>
#include <string>

#include <unistd.h>

#include "settings.h"
#include "toml.h"

namespace
{

const char *const good_file = "[host]\n"
			      "id = 4\n"
			      "name = \"entry-4\"\n"
			      "zone = \"a\"\n"
			      "region = \"r\"\n"
			      "[listen]\n"
			      "callers = \"127.0.0.1:7004\"\n"
			      "operators = \"127.0.0.1:7104\"\n"
			      "peers = \"127.0.0.1:7204\"\n"
			      "[cluster]\n"
			      "id = \"c\"\n"
			      "secret = \"0123456789abcdef\"\n"
			      "[[cluster.voters]]\n"
			      "id = 1\n"
			      "addr = \"127.0.0.1:7201\"\n"
			      "[operators]\n"
			      "token = \"0123456789abcdef\"\n"
			      "[timing]\n"
			      "heartbeat_ms = 50\n";

class Settings : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		char name[] = "/tmp/damasklug-settings-XXXXXX";

		close(mkstemp(name));
		path = name;
	}
	void TearDown() override
	{
		unlink(path.c_str());
	}
	// The faults that a file with this text has, one a line, without the
	// path in front.
	std::string faults(const std::string &text)
	{
		std::ofstream(path) << text;
		buf_t errors = {};
		int rc = settings_check_file(path.c_str(), &errors);
		std::string out = errors.p ? errors.p : "";

		buf_free(&errors);
		EXPECT_EQ(rc == 0, out.empty());
		for (size_t at;
		     (at = out.find(path + ":")) != std::string::npos;)
			out.erase(at, path.size() + 1);
		return out;
	}
	// good_file, with the first occurrence of from replaced by to.
	static std::string replaced(const std::string &from,
				    const std::string &to)
	{
		std::string text = good_file;
		size_t at = text.find(from);

		EXPECT_NE(at, std::string::npos);
		return text.replace(at, from.size(), to);
	}
	std::string path;
};

} // namespace

TEST_F(Settings, ValidFileGivesItsValuesAndDefaultsForTheRest)
{
	settings_t s;
	buf_t errors = {};

	std::ofstream(path) << good_file;
	ASSERT_EQ(settings_load(&s, path.c_str(), &errors), 0) << errors.p;
	EXPECT_EQ(s.host_id, 4);
	EXPECT_TRUE(str_eq(s.listen_peers, STR("127.0.0.1:7204")));
	EXPECT_EQ(s.timing_heartbeat_ms, 50);
	EXPECT_EQ(s.timing_lease_ms, 1500);
	EXPECT_DOUBLE_EQ(s.serving_store_rate_per_s, 3);
	ASSERT_EQ(s.n_voters, 1u);
	EXPECT_EQ(s.voters[0].id, 1u);
	settings_free(&s);
}

TEST_F(Settings, EachFaultIsReportedWithLineKeyAndExpectation)
{
	const struct {
		std::string from, to, fault;
	} cases[] = {
		{"id = 4", "id = 0",
		 "2: host.id: expected an integer from 1 to 1000000\n"},
		{"id = 4", "id = \"4\"",
		 "2: host.id: expected an integer from 1 to 1000000\n"},
		{"name = \"entry-4\"\n", "",
		 "0: host.name: missing; expected a string of 1 to 64 bytes\n"},
		{"127.0.0.1:7104", "127.0.0.1:0",
		 "8: listen.operators: expected \"ip:port\" with a port from 1 "
		 "to 65535\n"},
		{"127.0.0.1:7104", "127.0.0.1:7004",
		 "8: listen.operators: address used twice; expected one that "
		 "no "
		 "other key has\n"},
		{"127.0.0.1:7201", "127.0.0.1:7204",
		 "15: cluster.voters.addr: address used twice; listen.peers of "
		 "this host has it\n"},
		{"[timing]\n", "[timing]\nfan = 1\n",
		 "19: timing.fan: unknown key; expected heartbeat_ms, "
		 "election_ms, lease_ms, stale_ms, drift_ppm, fanout, "
		 "drain_max_ms, snapshot_entries\n"},
		{"[timing]", "[timings]",
		 "19: timings.heartbeat_ms: unknown key in an unknown "
		 "section\n"},
		{"heartbeat_ms = 50", "heartbeat_ms = 400",
		 "0: timing.election_ms: expected at least twice "
		 "timing.heartbeat_ms\n"},
		{"id = 1", "id = 4",
		 "2: host.data: missing; expected a folder, "
		 "because this host is a voter\n"},
		{"addr =", "address =",
		 "15: cluster.voters.address: unknown key; expected id, addr "
		 "or "
		 "operators\n13: cluster.voters.addr: missing; expected "
		 "\"ip:port\" of the voter's peer link\n"},
		{"[operators]\ntoken = \"0123456789abcdef\"\n", "",
		 "0: operators.token: missing; expected token or token_file\n"},
		{"heartbeat_ms = 50", "heartbeat_ms = [50]",
		 "19: timing.heartbeat_ms: expected an integer from 10 to "
		 "60000\n"},
	};

	for (const auto &c : cases) {
		std::string reported = faults(replaced(c.from, c.to));

		// Renaming the voter's addr gives a second fault: the missing
		// key, at the line of the voter's first key.
		if (c.from == "addr =")
			EXPECT_NE(reported.find("cluster.voters.addr: missing"),
				  std::string::npos);
		else
			EXPECT_EQ(reported, c.fault);
	}
}

TEST_F(Settings, AllFaultsOfAFileAreReported)
{
	std::string reported =
		faults(replaced("id = 4\n", "id = -1\nnick = 1\n"));

	EXPECT_EQ(std::count(reported.begin(), reported.end(), '\n'), 2);
	EXPECT_NE(faults("[host\n").find("1: "), std::string::npos);
}

TEST_F(Settings, ExampleHostFilesAreValid)
{
	for (const char *dir : {"estate-rounds", "council-budget"})
		for (const char *file : {"host-voter", "host-learner"}) {
			std::string example = std::string("examples/") + dir +
					      "/" + file + ".toml";
			buf_t errors = {};

			EXPECT_EQ(settings_check_file(example.c_str(), &errors),
				  0)
				<< (errors.p ? errors.p : "");
			buf_free(&errors);
		}
}

TEST(SettingsPage, MatchesTheTableOfKeys)
{
	std::ifstream in("docs/settings.md");
	std::string page{std::istreambuf_iterator<char>(in),
			 std::istreambuf_iterator<char>()};
	buf_t generated = {};

	settings_manual(&generated);
	EXPECT_EQ(page, generated.p) << "run: damasklug serve --manual";
	buf_free(&generated);
}

TEST(Toml, ArraysAndNestedTablesBecomeAFlatList)
{
	buf_t errors = {};
	toml_doc_t *doc = toml_parse(STR("a = [\"x\", \"y\"]\n[t.u]\nk = true\n"
					 "[[v]]\nn = 1.5\n[[v]]\nn = 2\n"),
				     STR("f"), &errors);

	ASSERT_NE(doc, nullptr);
	ASSERT_EQ(toml_item_count(doc), 5u);
	EXPECT_EQ(toml_item_at(doc, 1)->element_index, 2u);
	EXPECT_TRUE(str_eq(toml_item_at(doc, 2)->section, STR("t.u")));
	EXPECT_EQ(toml_item_at(doc, 4)->table_index, 2u);
	EXPECT_EQ(toml_item_at(doc, 4)->line, 7u);
	toml_free(doc);
	EXPECT_EQ(toml_parse(STR("a ="), STR("f"), &errors), nullptr);
	EXPECT_EQ(strncmp(errors.p, "f:1: ", 5), 0);
	buf_free(&errors);
}
