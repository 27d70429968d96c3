// The HTTP client to the targets against a scripted server on a raw socket:
// which responses count as complete, whether a failed request may have reached
// the target, and how silent targets are detected. Also the host list's parser.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "broken_answers.h"
#include "client.h"
#include "hostlist.h"
#include "log.h"
#include "target.h"

namespace
{

std::string sse(const std::string &body, const std::string &extra = "")
{
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	       "X-Boot-Id: 77\r\n" +
	       extra + "Connection: close\r\n\r\n" + body;
}

std::string json(int status, const std::string &body)
{
	return "HTTP/1.1 " + std::to_string(status) +
	       " X\r\nContent-Type: application/json\r\nX-Boot-Id: 77\r\n"
	       "Content-Length: " +
	       std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string event = "data: {\"id\":\"r\",\"model\":\"a@1\",\"choices\":"
			  "[{\"index\":0,\"text\":\"hi \"}]}\n\n";

// Answers each request with the next scripted response. An empty one closes the
// connection; "stall" keeps it open and sends nothing.
class Server
{
      public:
	explicit Server(std::vector<std::string> responses)
	    : responses_(std::move(responses))
	{
		sockaddr_in a = {};
		socklen_t n = sizeof(a);

		fd_ = socket(AF_INET, SOCK_STREAM, 0);
		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bind(fd_, (sockaddr *)&a, sizeof(a));
		listen(fd_, 16);
		getsockname(fd_, (sockaddr *)&a, &n);
		url = "http://127.0.0.1:" + std::to_string(ntohs(a.sin_port));
		thread_ = std::thread([this] { run(); });
	}
	~Server()
	{
		stop_ = true;
		thread_.join();
		for (int fd : open_)
			close(fd);
		close(fd_);
	}
	std::vector<std::string> requests()
	{
		std::lock_guard<std::mutex> g(lock_);

		return requests_;
	}
	std::string url;
	std::atomic<int> connections{0};

      private:
	void run()
	{
		while (!stop_) {
			std::vector<pollfd> fds = {{fd_, POLLIN, 0}};

			for (int fd : open_)
				fds.push_back({fd, POLLIN, 0});
			if (poll(fds.data(), fds.size(), 5) <= 0)
				continue;
			for (size_t i = 1; i < fds.size(); i++)
				if (fds[i].revents)
					serve(fds[i].fd);
			if (fds[0].revents) {
				open_.push_back(accept(fd_, nullptr, nullptr));
				connections++;
			}
		}
	}
	void drop(int fd)
	{
		close(fd);
		open_.erase(std::find(open_.begin(), open_.end(), fd));
	}
	void serve(int fd)
	{
		std::string text;
		char buf[4096];
		size_t head_end, body_length = 0;

		do {
			ssize_t n = recv(fd, buf, sizeof(buf), 0);

			if (n <= 0)
				return drop(fd);
			text.append(buf, (size_t)n);
			head_end = text.find("\r\n\r\n");
			size_t at = text.find("Content-Length: ");
			if (at != std::string::npos)
				body_length = std::stoul(text.substr(at + 16));
		} while (head_end == std::string::npos ||
			 text.size() < head_end + 4 + body_length);
		answer(fd, text);
	}
	void answer(int fd, const std::string &request)
	{
		std::string a;
		{
			std::lock_guard<std::mutex> g(lock_);

			a = requests_.size() < responses_.size()
				    ? responses_[requests_.size()]
				    : "";
			requests_.push_back(request);
		}
		if (a == "stall")
			return;
		if (!a.empty())
			(void)!send(fd, a.data(), a.size(), MSG_NOSIGNAL);
		if (a.find("Content-Length") == std::string::npos)
			drop(fd);
	}
	std::vector<std::string> responses_;
	std::vector<std::string> requests_;
	std::vector<int> open_;
	std::mutex lock_;
	std::atomic<bool> stop_{false};
	std::thread thread_;
	int fd_;
};

struct SeenEvent {
	engine_event_kind_t kind;
	std::string text; // EVENT_HEAD: served_by, else data
	reason_t reason;
	bool sent, old_fence, leaving;
	int status;
	uint64_t offset, boot_id;
	uint32_t tokens;
	size_t n_resident;
};

class TargetClient : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		target_client_cfg_t cfg;

		log_set_level(LOG_ERR);
		target_client_cfg_default(&cfg);
		cfg.progress_timeout_us = 300000;
		client = target_client_new(&cfg, on_event, this);
		ASSERT_EQ(target_client_start(client), 0);
	}
	void TearDown() override
	{
		target_client_free(client);
	}
	static void on_event(void *ctx, const engine_event_t *ev)
	{
		TargetClient *self = (TargetClient *)ctx;
		std::lock_guard<std::mutex> g(self->lock);
		str_t s = ev->kind == EVENT_HEAD ? ev->served_by : ev->data;

		self->seen.push_back(
			{ev->kind, std::string(s.p ? s.p : "", s.n), ev->reason,
			 ev->sent, ev->old_fence, ev->target_leaving,
			 ev->http_status, ev->offset, ev->boot_id, ev->tokens,
			 ev->n_resident});
		if (engine_event_is_final(ev))
			self->n_final++;
		self->changed.notify_all();
	}
	engine_order_t order(const Server &s, order_kind_t kind)
	{
		engine_order_t o = {};

		o.id = ++last_id;
		o.kind = kind;
		o.target = 1;
		o.url = str_c(s.url.c_str());
		o.fence = 9;
		o.adapter = STR("a@1");
		o.run_id = STR("r");
		o.path = STR("/v1/completions");
		o.body = STR("{\"prompt\":\"p\"}");
		o.idempotent = true;
		return o;
	}
	bool wait_for_final(int n)
	{
		std::unique_lock<std::mutex> g(lock);

		return changed.wait_for(g, std::chrono::seconds(20),
					[&] { return n_final >= n; });
	}
	// Submits one order, waits for its final event and returns that event.
	SeenEvent run(const engine_order_t &o)
	{
		int n = n_final + 1;

		target_client_submit(client, &o);
		EXPECT_TRUE(wait_for_final(n));
		return seen.back();
	}
	std::string relayed()
	{
		std::string all;

		for (const SeenEvent &s : seen)
			if (s.kind == EVENT_CHUNK)
				all += s.text;
		return all;
	}
	target_client_t *client;
	std::mutex lock;
	std::condition_variable changed;
	std::vector<SeenEvent> seen;
	int n_final = 0;
	uint64_t last_id = 0;
};

} // namespace

TEST_F(TargetClient, StreamIsRelayedAfterItsHead)
{
	std::string body = event + event + "data: [DONE]\n\n";
	Server s({sse(body)});
	SeenEvent last = run(order(s, ORDER_RUN));

	EXPECT_EQ(last.kind, EVENT_DONE);
	ASSERT_EQ(seen[0].kind, EVENT_HEAD);
	EXPECT_EQ(seen[0].text, "a@1");
	EXPECT_EQ(seen[0].boot_id, 77u);
	EXPECT_EQ(relayed(), body);
	EXPECT_NE(s.requests()[0].find("X-Fence: 9\r\n"), std::string::npos);
	EXPECT_NE(s.requests()[0].find("X-Request-Id: r\r\n"),
		  std::string::npos);
	EXPECT_NE(s.requests()[0].find(
			  "\r\n\r\n{\"model\":\"a@1\",\"prompt\":\"p\"}"),
		  std::string::npos);
}

TEST_F(TargetClient, StreamWithoutDoneIsTruncatedAndCanBeResumed)
{
	Server s({sse(event), sse("data: [DONE]\n\n"),
		  sse("NE]\n\n", "Content-Length: 5\r\n")});
	SeenEvent last = run(order(s, ORDER_RUN));

	EXPECT_EQ(last.kind, EVENT_FAILED);
	EXPECT_EQ(last.reason, REASON_STREAM_TRUNCATED);
	EXPECT_TRUE(last.sent);

	engine_order_t again = order(s, ORDER_RESUME);
	again.resume_offset = event.size();
	EXPECT_EQ(run(again).kind, EVENT_DONE);
	EXPECT_EQ(seen[seen.size() - 2].offset, event.size());
	EXPECT_NE(s.requests()[1].find("X-Resume-Offset: "), std::string::npos);

	// The resumed part may begin inside the last line.
	again = order(s, ORDER_RESUME);
	again.resume_offset = event.size() + 9;
	EXPECT_EQ(run(again).kind, EVENT_DONE);
}

TEST_F(TargetClient, DocumentIsRelayedOnlyIfComplete)
{
	std::string body = "{\"model\":\"a@1\",\"choices\":[],"
			   "\"usage\":{\"completion_tokens\":3}}";
	Server s({json(200, body),
		  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" +
			  body.substr(0, 20),
		  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n5\r\n{\"mod"});

	EXPECT_EQ(run(order(s, ORDER_RUN)).kind, EVENT_DONE);
	EXPECT_EQ(seen[0].text, "a@1");
	EXPECT_EQ(seen[1].tokens, 3u);
	EXPECT_EQ(relayed(), body);
	for (int i = 0; i < 2; i++) {
		SeenEvent last = run(order(s, ORDER_RUN));

		EXPECT_EQ(last.kind, EVENT_FAILED);
		EXPECT_TRUE(last.sent);
	}
	EXPECT_EQ(relayed(), body);
}

TEST_F(TargetClient, ErrorBodyTellsRefusalFromFailure)
{
	Server s({json(409, "{\"error\":\"old_fence\"}"),
		  json(503, "{\"error\":\"refused\"}"),
		  json(503, "{\"error\":\"leaving\"}"),
		  json(500, "{\"error\":\"boom\"}")});
	SeenEvent fence = run(order(s, ORDER_RUN));
	SeenEvent refused = run(order(s, ORDER_RUN));
	SeenEvent leaving = run(order(s, ORDER_RUN));
	SeenEvent error = run(order(s, ORDER_RUN));

	EXPECT_EQ(fence.reason, REASON_TARGET_REFUSED);
	EXPECT_TRUE(fence.old_fence);
	EXPECT_EQ(refused.reason, REASON_TARGET_REFUSED);
	EXPECT_FALSE(refused.old_fence);
	EXPECT_TRUE(leaving.leaving);
	EXPECT_EQ(error.reason, REASON_TARGET_ERROR);
	EXPECT_EQ(error.status, 500);
	EXPECT_TRUE(error.sent);
}

TEST_F(TargetClient, RefusedConnectionIsReportedAsNotSent)
{
	engine_order_t o;
	SeenEvent last;
	std::string url;

	{
		Server s({});

		url = s.url;
		o = order(s, ORDER_RUN);
	}
	o.url = str_c(url.c_str());
	last = run(o);
	EXPECT_EQ(last.kind, EVENT_FAILED);
	EXPECT_EQ(last.reason, REASON_TARGET_LOST);
	EXPECT_FALSE(last.sent);
}

TEST_F(TargetClient, SilentTargetIsStalledAndGetsAFreshConnection)
{
	std::string ok = json(200, "{\"model\":\"a@1\"}");
	Server s({ok, "stall", ok});

	EXPECT_EQ(run(order(s, ORDER_STATE)).kind, EVENT_STATE);
	SeenEvent last = run(order(s, ORDER_STATE));
	EXPECT_EQ(last.reason, REASON_TARGET_STALLED);
	EXPECT_TRUE(last.sent);
	EXPECT_EQ(s.connections, 1);
	EXPECT_EQ(run(order(s, ORDER_STATE)).kind, EVENT_STATE);
	EXPECT_EQ(s.connections, 2);
}

// Else a late second refusal of an earlier run would be taken for that of the
// run that is in progress.
TEST_F(TargetClient, EachRunHasAConnectionOfItsOwn)
{
	std::string ok = json(200, "{\"model\":\"a@1\"}");
	Server s({ok, ok});

	EXPECT_EQ(run(order(s, ORDER_RUN)).kind, EVENT_DONE);
	EXPECT_EQ(run(order(s, ORDER_RUN)).kind, EVENT_DONE);
	EXPECT_EQ(s.connections, 2);
}

// The server closes a pooled connection without a response. curl would then
// send the request again, but a non-idempotent order must not reach the target
// twice.
TEST_F(TargetClient, NonIdempotentOrderIsSentOnceOnAFreshConnection)
{
	std::string ok = json(200, "{\"run\":1}");
	Server s({ok, "", ok});
	engine_order_t call = order(s, ORDER_RUN);

	call.path = STR("/do");
	call.adapter = str_n(nullptr, 0);
	EXPECT_EQ(run(call).kind, EVENT_DONE);
	call.id = ++last_id;
	call.idempotent = false;
	call.idempotency_key = STR("k");
	SeenEvent last = run(call);
	EXPECT_EQ(last.kind, EVENT_FAILED);
	EXPECT_TRUE(last.sent);
	EXPECT_EQ(s.requests().size(), 2u);
	EXPECT_EQ(s.connections, 2);
}

TEST_F(TargetClient, ServiceResponsesAreRelayedUnchangedUnlessRefused)
{
	Server s({json(404, "{\"no\":1}"), json(503, "{\"error\":\"refused\"}"),
		  json(503, "{\"error\":\"other\"}")});
	engine_order_t call = order(s, ORDER_RUN);

	call.path = STR("/do");
	EXPECT_EQ(run(call).kind, EVENT_DONE);
	EXPECT_EQ(seen[0].status, 404);
	EXPECT_EQ(relayed(), "{\"no\":1}");
	call.id = ++last_id;
	EXPECT_EQ(run(call).reason, REASON_TARGET_REFUSED);
	call.id = ++last_id;
	EXPECT_EQ(run(call).kind, EVENT_DONE);
}

TEST_F(TargetClient, CancelEndsTheRunAndTellsTheTarget)
{
	Server s({"stall", json(200, "{}")});
	engine_order_t o = order(s, ORDER_RUN);
	engine_order_t c = order(s, ORDER_CANCEL);

	o.progress_timeout_us = 60 * USEC_PER_SEC;
	target_client_submit(client, &o);
	while (s.requests().empty())
		std::this_thread::yield();
	c.cancel_order_id = o.id;
	target_client_submit(client, &c);
	ASSERT_TRUE(wait_for_final(1));
	EXPECT_EQ(seen.back().reason, REASON_CANCELLED);
	for (int i = 0; i < 2000 && s.requests().size() < 2; i++)
		std::this_thread::sleep_for(std::chrono::milliseconds(5));
	ASSERT_EQ(s.requests().size(), 2u);
	EXPECT_EQ(s.requests()[1].rfind("POST /v1/cancel ", 0), 0u);
	EXPECT_NE(s.requests()[1].find("{\"request_id\":\"r\"}"),
		  std::string::npos);
	EXPECT_EQ(n_final, 1);
}

TEST_F(TargetClient, StateLoadAndUnloadOrdersReportTheirOutcome)
{
	Server s({json(200, "{\"data\":[{\"id\":\"a@1\",\"loading\":true,"
			    "\"running\":2},{\"id\":\"b@1\"}],"
			    "\"running\":2}"),
		  json(200, "{}"), json(500, "{\"error\":\"load_failed\"}"),
		  json(200, "{}")});
	SeenEvent state = run(order(s, ORDER_STATE));

	EXPECT_EQ(state.kind, EVENT_STATE);
	EXPECT_EQ(state.n_resident, 2u);
	EXPECT_EQ(state.boot_id, 77u);
	EXPECT_EQ(run(order(s, ORDER_LOAD)).kind, EVENT_DONE);
	EXPECT_EQ(run(order(s, ORDER_LOAD)).reason, REASON_LOAD_FAILED);
	EXPECT_EQ(run(order(s, ORDER_UNLOAD)).kind, EVENT_DONE);
	EXPECT_EQ(s.requests()[0].rfind("GET /v1/models ", 0), 0u);
	EXPECT_NE(s.requests()[1].find("\"lora_name\":\"a@1\""),
		  std::string::npos);
}

TEST_F(TargetClient, StopEndsEachOrderOnceWithShutdown)
{
	Server s({"stall", "stall", "stall"});

	for (int i = 0; i < 3; i++) {
		engine_order_t o = order(s, ORDER_RUN);

		target_client_submit(client, &o);
	}
	target_client_stop(client);
	EXPECT_EQ(n_final, 3);
	for (const SeenEvent &e : seen)
		EXPECT_EQ(e.reason, REASON_SHUTDOWN);
}

// No run takes these for an answer, nor for a part of one.
class TargetBrokenAnswer : public TargetClient
{
      protected:
	// The last event of a run that gets this answer.
	SeenEvent answer(const std::string &bytes, const char *path = "/do")
	{
		Server s({bytes});
		engine_order_t o = order(s, ORDER_RUN);

		o.path = str_c(path);
		seen.clear();
		return run(o);
	}
	void expect_refused(const std::string &bytes, const char *path)
	{
		SeenEvent last = answer(bytes, path);

		EXPECT_EQ(last.kind, EVENT_FAILED) << path << bytes;
		EXPECT_TRUE(last.sent) << bytes;
		EXPECT_EQ(relayed(), "") << path << bytes;
	}
	void expect_all_refused(const std::vector<std::string> &answers)
	{
		for (const std::string &bytes : answers)
			for (const char *path : {"/do", "/v1/completions"})
				expect_refused(bytes, path);
	}
	void expect_relayed(const std::string &bytes,
			    const std::string &body = "{}")
	{
		EXPECT_EQ(answer(bytes).kind, EVENT_DONE) << bytes;
		EXPECT_EQ(relayed(), body) << bytes;
	}
};

const std::string JSON_BODY = "Content-Length: 2\r\n\r\n{}";

TEST_F(TargetBrokenAnswer, StatusLineThatIsNoneIsNoAnswer)
{
	const std::string sound = "HTTP/1.1 200 OK\r\n" + JSON_BODY;

	for (const std::string &line : BROKEN_STATUS_LINES)
		expect_all_refused(
			{line + "\r\n" + JSON_BODY, line + "\r\n\r\n" + sound});
	for (const std::string &line : SOUND_STATUS_LINES)
		expect_relayed(line + "\r\n" + JSON_BODY);
	expect_relayed("HTTP/1.1 103 \r\nLink: </a>\r\n\r\n" + sound);
}

TEST_F(TargetBrokenAnswer, FieldLineThatIsNoneIsNoAnswer)
{
	const std::string line = "HTTP/1.1 200 OK\r\n";

	for (const std::string &field : BROKEN_FIELD_LINES)
		expect_all_refused({line + field + "\r\n" + JSON_BODY,
				    "HTTP/1.1 103 X\r\n" + field + "\r\n\r\n" +
					    line + JSON_BODY});
	for (const std::string &field : SOUND_FIELD_LINES)
		expect_relayed(line + field + "\r\n" + JSON_BODY);
}

TEST_F(TargetBrokenAnswer, AnswersWithoutABodyEndWithTheirHeads)
{
	for (const char *bytes :
	     {"HTTP/1.1 204 X\r\n\r\n",
	      "HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n",
	      "HTTP/1.1 304 X\r\n\r\n",
	      "HTTP/1.1 304 X\r\nContent-Length: 2\r\n\r\n"})
		expect_relayed(bytes, "");
	for (const char *first : {"HTTP/1.1 204 X\r\n", "HTTP/1.1 103 X\r\n"}) {
		std::string head = first;

		expect_all_refused(
			{head + "Content-Length: 2\r\n\r\n{}" + head,
			 head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"});
	}
}

// What of a broken body has come may be passed on, but not as a whole one.
TEST_F(TargetBrokenAnswer, ChunksAndTrailersThatAreBrokenEndNoAnswer)
{
	const std::string head = "HTTP/1.1 200 OK\r\n"
				 "Transfer-Encoding: chunked\r\n\r\n";
	std::vector<std::string> bodies = BROKEN_CHUNKS;

	for (const char *size_line : {"2 X", "2;a\x01", "0x2", "2\rX"})
		bodies.push_back(size_line +
				 std::string("\r\n{}\r\n0\r\n\r\n"));
	for (const std::string &line : BROKEN_FIELD_LINES)
		bodies.push_back("2\r\n{}\r\n0\r\n" + line + "\r\n\r\n");
	for (const std::string &body : bodies)
		for (const char *path : {"/do", "/v1/completions"})
			EXPECT_EQ(answer(head + body, path).kind, EVENT_FAILED)
				<< path << body;
	expect_relayed(head + "1;a=b\r\n{\r\n01\r\n}\r\n0\r\nA: b\r\n\r\n");
}

// Guards against hosts that are named by a list which is no answer.
TEST(HostList, BrokenAnswersNameNoHosts)
{
	const std::string list =
		"{\"hosts\":[{\"name\":\"a\",\"state\":\"live\"}]}";
	std::vector<std::string> answers = broken_answers(list);
	const size_t n_broken = answers.size();

	answers.push_back("HTTP/1.1 200 OK\r\n\r\n" + list);
	Server s(answers);
	std::atomic<size_t> asked{0};
	auto note = [&] { asked = s.requests().size(); };
	hostlist_t *h = hostlist_start(
		str_c(s.url.c_str()), 1,
		[](void *ctx, str_t, bool) { (*(decltype(note) *)ctx)(); },
		&note);

	for (int i = 0; i < 2000 && !asked; i++)
		usleep(5000);
	hostlist_stop(h);
	EXPECT_GT(asked, n_broken);
}

// Guards against replies to an operator that no daemon gave.
TEST(Client, BrokenAnswersAreNoReplies)
{
	for (const std::string &bytes : broken_answers("{\"ok\":1}")) {
		Server s({bytes});
		client_t c = {};
		json_t *reply = nullptr;

		ASSERT_EQ(0, client_init(&c));
		EXPECT_EQ(CLIENT_REPLY_LOST,
			  client_get_from(&c, s.url.substr(7).c_str(), "/x",
					  &reply))
			<< bytes;
		EXPECT_EQ(nullptr, reply);
		client_free(&c);
	}
}

const std::string NO_ANSWER = "HTTP/1.1 500 X\r\nB: 1\r\n" + JSON_BODY;
const std::string FOLDED = "HTTP/1.1 500 X\r\n A: 1\r\n" + JSON_BODY;

// Guards against a daemon that ends, as libcurl reads memory that is freed.
TEST(HostList, FoldedLinesBehindAStatusAreReadAgainAndAgain)
{
	Server s({NO_ANSWER, FOLDED, NO_ANSWER, FOLDED, NO_ANSWER, FOLDED});
	hostlist_t *h = hostlist_start(
		str_c(s.url.c_str()), 1, [](void *, str_t, bool) {}, nullptr);

	for (int i = 0; i < 1000 && s.requests().size() < 8; i++)
		usleep(5000);
	hostlist_stop(h);
	EXPECT_GE(s.requests().size(), 8u);
}

TEST(Client, FoldedLinesBehindAStatusAreReadAgainAndAgain)
{
	Server s({NO_ANSWER, FOLDED, NO_ANSWER, FOLDED, NO_ANSWER, FOLDED});
	client_t c = {};
	json_t *reply = nullptr;

	ASSERT_EQ(0, client_init(&c));
	for (int i = 0; i < 6; i++) {
		client_get_from(&c, s.url.substr(7).c_str(), "/x", &reply);
		json_decref(reply);
	}
	client_free(&c);
	EXPECT_EQ(s.requests().size(), 6u);
}

TEST(HostList, ReportsOnlyNamedRowsWithKnownStates)
{
	std::string rows;
	auto add = [](void *ctx, str_t name, bool leaving) {
		*(std::string *)ctx +=
			std::string(name.p, name.n) + (leaving ? "-" : "+");
	};

	EXPECT_EQ(hostlist_parse(STR("{\"hosts\":[{\"name\":\"a\",\"state\":"
				     "\"live\"},{\"name\":\"b\",\"state\":"
				     "\"leaving\"},{\"name\":\"c\",\"state\":"
				     "\"odd\"},{\"state\":\"live\"},7]}"),
				 add, &rows),
		  0);
	EXPECT_EQ(rows, "a+b-");
	for (const char *bad :
	     {"{\"name\":\"c\\u0000\",\"state\":\"live\"}", "{\"name\":\"c\",}",
	      "{\"name\":\"\xff\",\"state\":\"live\"}",
	      "{\"name\":\"c\",\"state\":\"live\",\"n\":"
	      "98765432109876543210}"}) {
		std::string list =
			"{\"hosts\":[{\"name\":\"a\",\"state\":\"live\"}," +
			std::string(bad) +
			",{\"name\":\"b\",\"state\":\"leaving\"}]}";

		rows = "";
		EXPECT_EQ(hostlist_parse(str_n(list.data(), list.size()), add,
					 &rows),
			  0);
		EXPECT_EQ(rows, "a+b-") << bad;
	}
	EXPECT_EQ(hostlist_parse(STR("[]"), add, &rows), -1);
	EXPECT_EQ(hostlist_parse(STR("not json"), add, &rows), -1);
}
