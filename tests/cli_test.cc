// The operators' client against the operators' interface over HTTP, also with
// requests and replies that get lost.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "admin_util.h"
#include "event.h"
#include "cli.h"
#include "httpd.h"
#include "template_file.h"

// A port that is free now.
static int free_port()
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in address = {};
	socklen_t address_size = sizeof(address);

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	EXPECT_EQ(0, bind(fd, (struct sockaddr *)&address, sizeof(address)));
	EXPECT_EQ(0,
		  getsockname(fd, (struct sockaddr *)&address, &address_size));
	close(fd);
	return ntohs(address.sin_port);
}

// The operators' port of one daemon. Several servers may share one FakeAdmin,
// as daemons share the decided tables.
class Server
{
      public:
	Server()
	{
		httpd_cfg_t cfg = {};

		addr = "127.0.0.1:" + std::to_string(free_port());
		cfg.listen = view(addr);
		cfg.threads = 4;
		cfg.head_max = 8192;
		cfg.io_timeout_ms = 5000;
		cfg.keep_alive_ms = 1000;
		cfg.name = "test";
		httpd = httpd_start(&cfg, answer, this);
		EXPECT_NE(nullptr, httpd);
	}

	~Server()
	{
		httpd_stop(httpd);
	}

	FakeAdmin *admin = nullptr; // that of the running test
	std::string addr;
	// How many of the next POSTs are dropped unhandled.
	int posts_to_drop = 0;
	// How many of the next POSTs are handled, but get no reply.
	int replies_to_drop = 0;
	httpd_t *httpd;

      private:
	static void answer(void *ctx, struct mg_connection *conn)
	{
		auto *server = (Server *)ctx;
		const struct mg_request_info *request =
			mg_get_request_info(conn);
		std::string method = request->request_method;
		admin_reply_t reply = {};
		buf_t body = {};

		httpd_read_body(conn, 1 << 20, 5000, &body);
		if (!str_eq(httpd_bearer_token(conn), str_c("right"))) {
			httpd_send_response(conn, 401, "application/json",
					    str_c(""), str_c("{}"));
		} else if (method == "POST" && server->posts_to_drop-- > 0) {
			httpd_abort(conn);
		} else {
			server->admin->handle(method, request->local_uri,
					      request->query_string
						      ? request->query_string
						      : "",
					      text(buf_str(&body)), &reply);
			if (method == "POST" && server->replies_to_drop-- > 0)
				httpd_abort(conn);
			else
				httpd_send_response(conn, reply.http_status,
						    reply.content_type,
						    str_c(""),
						    buf_str(&reply.body));
		}
		buf_free(&reply.body);
		buf_free(&body);
	}
};

class Cli : public ::testing::Test
{
      protected:
	// The servers are shared by all tests, because stopping one takes
	// seconds.
	static void SetUpTestSuite()
	{
		first = new Server;
		second = new Server;
	}

	static void TearDownTestSuite()
	{
		delete first;
		delete second;
	}

	void SetUp() override
	{
		for (Server *s : {first, second}) {
			s->admin = &fake_admin;
			s->posts_to_drop = s->replies_to_drop = 0;
		}
		setenv("DAMASKLUG_TOKEN", "right", 1);
		unsetenv("DAMASKLUG_SERVER");
	}

	// Runs the client with these arguments, and with the servers unless
	// with_server is false. Returns its exit code; out and err get what it
	// printed.
	int run(const std::vector<std::string> &words, bool with_server = true)
	{
		std::vector<std::string> args = {"damasklug"};
		args.insert(args.end(), words.begin(), words.end());
		if (with_server)
			args.push_back("--server=" + server_a.addr + "," +
				       server_b.addr);
		std::vector<char *> argv;
		for (auto &arg : args)
			argv.push_back(&arg[0]);
		argv.push_back(nullptr);
		testing::internal::CaptureStdout();
		testing::internal::CaptureStderr();
		int rc = cli_main((int)args.size(), argv.data());
		out = testing::internal::GetCapturedStdout();
		err = testing::internal::GetCapturedStderr();
		return rc;
	}

	bool printed(const std::string &what)
	{
		return out.find(what) != std::string::npos;
	}

	FakeAdmin fake_admin;
	Server &server_a = *first;
	Server &server_b = *second;
	static Server *first, *second;
	std::string out, err;
};

Server *Cli::first;
Server *Cli::second;

static std::string temp_file(const std::string &content)
{
	char path[] = "/tmp/damasklug_cli_XXXXXX";
	int fd = mkstemp(path);

	EXPECT_EQ((ssize_t)content.size(),
		  write(fd, content.data(), content.size()));
	close(fd);
	return path;
}

static const char *const TEMPLATE = R"(name = "d"
priority = "{urgency}"

[[params]]
name = "urgency"
type = "int"
min = 0
max = 9
default = 3

[[adapters]]
name = "{org}-{n}"
base = "llama"
count = 2
)";

TEST_F(Cli, CreatesChangesAndShowsRowsOfATemplate)
{
	std::string file = temp_file(TEMPLATE);

	ASSERT_EQ(CLI_OK, run({"template", "put", file})) << err;
	EXPECT_TRUE(printed("accepted: revision 1"));
	ASSERT_EQ(CLI_OK, run({"org", "create", "o", "--template=d",
			       "--set=urgency=7", "--new-token"}))
		<< err;
	std::string token = out.substr(out.find("token: ") + 7, 48);
	EXPECT_NE(nullptr, decided_org_by_token(Tables(fake_admin.machine),
						view(token)));
	EXPECT_EQ(CLI_OK, run({"adapter", "publish", "--prefix=o-"}));
	EXPECT_EQ(CLI_OK, run({"adapter", "publish", "x@3", "y@4", "z@4",
			       "--base-model=llama"}));
	EXPECT_EQ(CLI_OK, run({"adapter", "list"}));
	EXPECT_TRUE(printed("o-2   llama  o    1                1"));
	EXPECT_TRUE(printed("z     llama       4                4"));
	EXPECT_EQ(CLI_OK, run({"org", "show", "o"}));
	EXPECT_TRUE(printed("priority         7"));
	EXPECT_EQ(CLI_OK, run({"org", "set", "o", "--unset=urgency", "-n"}));
	EXPECT_TRUE(printed("priority         7 -> 3"));
	EXPECT_EQ(CLI_OK, run({"change", "list"}));
	EXPECT_TRUE(printed("adapter_publish o-1 and 1 more"));
	EXPECT_EQ(CLI_OK, run({"change", "diff", "2", "4", "--json"}));
	EXPECT_EQ(CLI_OK, run({"status"}));
	unlink(file.c_str());
}

TEST_F(Cli, ResendsUnderTheSameIdAfterALostReply)
{
	server_a.replies_to_drop = 1;
	EXPECT_EQ(CLI_OK, run({"adapter", "publish", "x", "--base-model=m"}));
	EXPECT_TRUE(printed("accepted before: revision 1"));
	EXPECT_EQ(1u, decided_revision(Tables(fake_admin.machine)));
	server_a.posts_to_drop = 1;
	EXPECT_EQ(CLI_OK, run({"adapter", "publish", "x"}));
	EXPECT_TRUE(printed("accepted: revision 2"));
	EXPECT_EQ(2u, decided_adapter_by_name(Tables(fake_admin.machine),
					      str_c("x"))
			      ->n_versions);
	// An operator gives the same id again, as after an unknown outcome.
	EXPECT_EQ(CLI_OK, run({"adapter", "publish", "x", "--change-id=me"}));
	EXPECT_EQ(CLI_OK, run({"adapter", "publish", "x", "--change-id=me"}));
	EXPECT_TRUE(printed("accepted before: revision 3"));
	EXPECT_EQ(CLI_INVALID,
		  run({"adapter", "publish", "y", "--change-id=me"}));
}

TEST_F(Cli, TriesTheNextServerWhereOneIsUnreachable)
{
	std::string dead = "127.0.0.1:" + std::to_string(free_port());

	EXPECT_EQ(CLI_OK, run({"target", "list", "--server=" + dead}));
	EXPECT_EQ(CLI_UNREACHABLE,
		  run({"target", "list", "--server=" + dead}, false));
	EXPECT_EQ(CLI_UNREACHABLE, run({"adapter", "publish", "x", "--base=0",
					"--server=" + dead},
				       false));
}

TEST_F(Cli, ExitCodeTellsTheKindOfFailure)
{
	EXPECT_EQ(CLI_INVALID, run({"target", "drain", "none"}));
	EXPECT_NE(std::string::npos,
		  err.find("ops[0].target_drain.name: there is no target"));
	run({"adapter", "publish", "x", "--base-model=m"});
	EXPECT_EQ(CLI_CONFLICT, run({"adapter", "publish", "x", "--base=0"}));
	EXPECT_NE(std::string::npos, err.find("made revision 1"));
	EXPECT_EQ(CLI_NOT_FOUND, run({"adapter", "show", "none"}));
	EXPECT_EQ(CLI_USAGE, run({"adapter", "publish"}));
	EXPECT_EQ(CLI_USAGE, run({"adapter", "bogus"}));
	EXPECT_EQ(CLI_USAGE, run({"adapter", "list", "--bogus"}));
	EXPECT_EQ(CLI_USAGE, run({"adapter", "list"}, false));
	EXPECT_EQ(CLI_USAGE, run({"org", "create", "o", "--set=novalue"}));
	EXPECT_EQ(CLI_OK, run({"--version"}, false));
	EXPECT_EQ(CLI_OK, run({"--help"}, false));
	setenv("DAMASKLUG_TOKEN", "wrong", 1);
	EXPECT_EQ(CLI_UNAUTHORIZED, run({"adapter", "list"}));
}

TEST_F(Cli, WaitsUntilAChangeIsInForce)
{
	fake_admin.live_hosts = {{1, 1, 1}};
	EXPECT_EQ(CLI_OK, run({"host", "put", "h", "--id=1", "--zone=z",
			       "--caller-addr=127.0.0.1:1",
			       "--peer-addr=127.0.0.1:2", "--wait=5"}))
		<< err;
	EXPECT_TRUE(printed("in force on 1 live hosts"));
	EXPECT_EQ(CLI_NOT_IN_FORCE, run({"host", "drain", "h", "--wait=1"}));
	EXPECT_NE(std::string::npos, err.find("not in force on: h"));
	fake_admin.live_hosts.clear();
	EXPECT_EQ(CLI_NOT_IN_FORCE, run({"host", "undrain", "h", "--wait=1"}));
}

TEST_F(Cli, ReportsTemplateFaultsWithLineAndKey)
{
	std::string good = temp_file(TEMPLATE);
	std::string bad = temp_file("name = \"d\"\npriority = \"{none}\"\n");
	std::string worse =
		temp_file("name = \"d\"\n[[params]]\nname = \"p\"\ncolour = 1\n"
			  "min = \"x\"\n");

	EXPECT_EQ(CLI_OK, run({"check", good}, false)) << err;
	EXPECT_EQ(CLI_USAGE, run({"check", bad}, false));
	EXPECT_EQ(bad + ":2: priority: names no parameter: {none}\n", err);
	EXPECT_EQ(CLI_USAGE, run({"template", "put", worse}));
	EXPECT_EQ(worse + ":4: colour: is not a key of a template\n" + worse +
			  ":5: min: an integer\n",
		  err);
	for (auto &path : {good, bad, worse})
		unlink(path.c_str());
}

TEST_F(Cli, AllExampleFilesAreValid)
{
	std::vector<std::string> words = {"check"};

	for (auto &e :
	     std::filesystem::recursive_directory_iterator("examples")) {
		std::string path = e.path();
		if (e.path().extension() == ".toml" &&
		    e.path().filename() != "bench.toml")
			words.push_back(path);
	}
	ASSERT_GT(words.size(), 4u);
	EXPECT_EQ(CLI_OK, run(words, false)) << err;
}

static std::string file_text(const std::string &path)
{
	std::ifstream in(path);
	std::stringstream s;

	s << in.rdbuf();
	return s.str();
}

TEST(Pages, AreThoseOfTheTablesInTheCode)
{
	const struct {
		const char *path;
		void (*page)(buf_t *out);
	} pages[] = {
		{"docs/reasons.md", cli_reasons_page},
		{"docs/logs.md", event_manual},
		{"docs/counters.md", cli_counters_page},
		{"docs/commands.md", cli_manual},
	};

	for (auto &p : pages) {
		buf_t b = {};
		p.page(&b);
		EXPECT_TRUE(text(buf_str(&b)) == file_text(p.path))
			<< p.path << " is out of date; run make pages";
		buf_free(&b);
	}
}
