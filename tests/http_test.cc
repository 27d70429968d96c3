// The HTTP server for callers, with a scripted serving core behind it.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <sodium.h>

#include "counter.h"
#include "http.h"
#include "log.h"

namespace
{

const std::string token = "caller-token-0123456789";

uint16_t free_port()
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	sockaddr_in a = {};
	socklen_t n = sizeof(a);

	a.sin_family = AF_INET;
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	bind(fd, (sockaddr *)&a, sizeof(a));
	getsockname(fd, (sockaddr *)&a, &n);
	close(fd);
	return ntohs(a.sin_port);
}

bool eventually(const std::function<bool()> &ok)
{
	for (int i = 0; i < 4000; i++) {
		if (ok())
			return true;
		std::this_thread::sleep_for(std::chrono::milliseconds(5));
	}
	return false;
}

// A request as it was submitted to the core.
struct SubmittedRequest {
	uint64_t handle;
	std::string model, body, service, path, key, id;
	uint32_t org, max_tokens;
	int32_t priority;
	int64_t deadline_us;
	bool not_repeatable, is_call;
	uint64_t offset;
};

std::string text(str_t s)
{
	return std::string(s.p ? s.p : "", s.n);
}

class Http : public ::testing::Test
{
      protected:
	// All tests share one server, because CivetWeb takes seconds to stop.
	static void SetUpTestSuite()
	{
		shared = start(&shared_port);
	}
	static void TearDownTestSuite()
	{
		http_free(shared);
	}
	static http_t *start(uint16_t *port)
	{
		http_cfg_t cfg = {};
		http_ops_t ops = {submit, cancel,	  addresses,
				  tables, refusal_reason, now};
		std::string addr;

		log_set_level(LOG_ERR);
		*port = free_port();
		addr = "127.0.0.1:" + std::to_string(*port);
		cfg.port.listen = str_c(addr.c_str());
		cfg.port.threads = 8;
		cfg.port.head_max = 8192;
		cfg.port.io_timeout_ms = 1000;
		cfg.port.keep_alive_ms = 200;
		cfg.port.name = "test";
		cfg.body_max = 10000;
		cfg.body_timeout_ms = 300;
		cfg.reader_buffer_max = 4u << 20;
		cfg.address_ttl_ms = 700;

		http_t *h = http_new(&cfg, &ops, &current);

		EXPECT_EQ(http_start(h), 0);
		return h;
	}
	void SetUp() override
	{
		org_t org = {};
		unsigned char hash[32];

		h = shared;
		port = shared_port;
		current = this;
		decided = decided_new();
		org.name = STR("estate");
		hash_token(hash);
		org.token_hash = str_n((char *)hash, sizeof(hash));
		decided_put_org(decided, &org);
	}
	void TearDown() override
	{
		EXPECT_TRUE(eventually(
			[&] { return http_active_requests(h) == 0; }));
		decided_unref(decided);
	}
	static void hash_token(unsigned char out[32]);
	static void submit(void *ctx, const serve_req_t *r)
	{
		Http *self = *(Http **)ctx;
		SubmittedRequest rq = {
			r->handle,	     text(r->model),
			text(r->body),	     text(r->service),
			text(r->path),	     text(r->idempotency_key),
			text(r->request_id), r->org_id,
			r->max_tokens,	     r->priority,
			r->deadline_us,	     r->not_repeatable,
			r->is_call,	     r->resume_offset};

		{
			std::lock_guard<std::mutex> l(self->lock);

			self->submitted.push_back(rq);
		}
		if (self->on_submit)
			self->on_submit(rq);
	}
	static void cancel(void *ctx, uint64_t handle)
	{
		(*(Http **)ctx)->cancelled = handle;
	}
	static size_t addresses(void *ctx, str_t model, serve_addr_t *out,
				size_t max, decided_t **d)
	{
		*d = decided_ref((*(Http **)ctx)->decided);
		if (text(model) != "notice")
			return 0;
		out[0].addr = STR("10.0.0.1:7000");
		out[1].addr = STR("10.0.0.2:7000");
		return 2;
	}
	static decided_t *tables(void *ctx)
	{
		return decided_ref((*(Http **)ctx)->decided);
	}
	static reason_t refusal_reason(void *ctx)
	{
		return (*(Http **)ctx)->refusal;
	}
	static int64_t now(void *)
	{
		return 1000000;
	}
	int open_connection()
	{
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		timeval tv = {20, 0};
		sockaddr_in a = {};

		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		a.sin_port = htons(port);
		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
		EXPECT_EQ(connect(fd, (sockaddr *)&a, sizeof(a)), 0);
		return fd;
	}
	static std::string read_all(int fd)
	{
		std::string all;
		char buf[65536];
		ssize_t n;

		while ((n = recv(fd, buf, sizeof(buf), 0)) > 0)
			all.append(buf, (size_t)n);
		close(fd);
		return all;
	}
	static std::string post(const std::string &path,
				const std::string &body,
				const std::string &extra_headers = "",
				const std::string &auth = token)
	{
		return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" +
		       (auth.empty()
				? ""
				: "Authorization: Bearer " + auth + "\r\n") +
		       extra_headers +
		       "Content-Length: " + std::to_string(body.size()) +
		       "\r\nConnection: close\r\n\r\n" + body;
	}
	std::string send_request(const std::string &request)
	{
		int fd = open_connection();

		EXPECT_EQ(send(fd, request.data(), request.size(),
			       MSG_NOSIGNAL),
			  (ssize_t)request.size());
		return read_all(fd);
	}
	std::string complete(const std::string &body,
			     const std::string &extra_headers = "")
	{
		return send_request(
			post("/v1/completions", body, extra_headers));
	}
	void reply(uint64_t handle, reply_kind_t kind, const std::string &data,
		   reason_t reason = REASON_NONE, int status = 200)
	{
		serve_reply_t r = {};

		r.kind = kind;
		r.http_status = status;
		r.data = str_n(data.data(), data.size());
		r.adapter = STR("notice@1");
		r.attempt = 1;
		r.reason = reason;
		r.run_state = reason_info(reason)->run_state;
		r.retry_ms = reason_info(reason)->retry_ms;
		http_reply(h, handle, &r);
	}
	static bool contains(const std::string &all, const std::string &part)
	{
		return all.find(part) != std::string::npos;
	}
	static http_t *shared;
	static uint16_t shared_port;
	static Http *current;
	http_t *h;
	decided_t *decided;
	uint16_t port;
	std::mutex lock;
	std::vector<SubmittedRequest> submitted;
	std::function<void(const SubmittedRequest &)> on_submit;
	std::atomic<uint64_t> cancelled{0};
	std::atomic<reason_t> refusal{REASON_NONE};
};

http_t *Http::shared;
uint16_t Http::shared_port;
Http *Http::current;

void Http::hash_token(unsigned char out[32])
{
	crypto_generichash(out, 32, (const unsigned char *)token.data(),
			   token.size(), nullptr, 0);
}

} // namespace

TEST_F(Http, StreamIsRelayedAndTheRequestReachesTheCore)
{
	on_submit = [&](const SubmittedRequest &rq) {
		reply(rq.handle, REPLY_HEAD, "");
		reply(rq.handle, REPLY_CHUNK, "data: {}\n\n");
		reply(rq.handle, REPLY_CHUNK, "data: [DONE]\n\n");
		reply(rq.handle, REPLY_DONE, "");
	};
	std::string all = complete(
		"{\"model\":\"notice@1\",\"prompt\":\"p\",\"max_tokens\":7,"
		"\"stream\":true}",
		"X-Request-Id: r1\r\nX-Priority: -3\r\nX-Deadline-Ms: 5\r\n"
		"X-Resume-Offset: 9\r\n");

	EXPECT_TRUE(contains(all, "HTTP/1.1 200 OK\r\n"));
	EXPECT_TRUE(contains(all, "Content-Type: text/event-stream\r\n"));
	EXPECT_TRUE(contains(all, "X-Adapter: notice@1\r\n"));
	EXPECT_TRUE(contains(all, "X-Request-Id: r1\r\n"));
	EXPECT_TRUE(contains(all, "data: {}\n\n"));
	EXPECT_TRUE(contains(all, "data: [DONE]\n\n"));
	EXPECT_EQ(all.substr(all.size() - 5), "0\r\n\r\n");
	ASSERT_EQ(submitted.size(), 1u);
	EXPECT_EQ(submitted[0].model, "notice@1");
	EXPECT_FALSE(contains(submitted[0].body, "model"));
	EXPECT_EQ(submitted[0].body[0], '{');
	EXPECT_EQ(submitted[0].max_tokens, 7u);
	EXPECT_EQ(submitted[0].priority, -3);
	EXPECT_EQ(submitted[0].deadline_us, 1005000);
	EXPECT_EQ(submitted[0].offset, 9u);
	EXPECT_NE(submitted[0].org, 0u);
}

TEST_F(Http, InvalidRequestsGetAJsonErrorWithReasonAndRun)
{
	const std::string good = "{\"model\":\"a\",\"prompt\":\"p\"}";
	const struct {
		std::string request;
		int status;
		const char *reason;
	} cases[] = {
		{post("/v1/completions", good, "", ""), 401, "unauthenticated"},
		{post("/v1/completions", good, "", "wrong"), 401,
		 "unauthenticated"},
		{post("/v1/completions", "{"), 400, "bad_request"},
		{post("/v1/completions", "[]"), 400, "bad_request"},
		{post("/v1/completions", "{\"prompt\":\"p\"}"), 400,
		 "bad_request"},
		{post("/v1/completions", "{\"model\":\"a\"}"), 400,
		 "bad_request"},
		{post("/v1/completions",
		      "{\"model\":\"a\",\"model\":\"b\",\"prompt\":\"p\"}"),
		 400, "bad_request"},
		{post("/v1/completions", good, "X-Deadline-Ms: soon\r\n"), 400,
		 "bad_request"},
		{post("/v1/completions", good, "X-Priority: 99999\r\n"), 400,
		 "bad_request"},
		{post("/v1/completions", good, "X-Not-Repeatable: yes\r\n"),
		 400, "bad_request"},
		{post("/v1/completions", std::string(10001, 'x')), 413,
		 "body_too_large"},
		{post("/v1/call/", "{}"), 404, "bad_request"},
		{post("/v1/call/s/a%20b", "{}"), 400, "bad_request"},
		{post("/v1/nothing", "{}"), 404, "bad_request"},
	};

	for (const auto &c : cases) {
		std::string all = send_request(c.request);

		EXPECT_TRUE(
			contains(all, "HTTP/1.1 " + std::to_string(c.status)))
			<< c.request << "\n"
			<< all;
		EXPECT_TRUE(
			contains(all, std::string("\"reason\":\"") + c.reason))
			<< all;
		EXPECT_TRUE(contains(all, "\"run\":\"no\"")) << all;
	}
	EXPECT_TRUE(submitted.empty());
}

TEST_F(Http, FailureBeforeTheHeadIsAnErrorResponse)
{
	on_submit = [&](const SubmittedRequest &rq) {
		reply(rq.handle, REPLY_FAIL, "", REASON_QUEUE_FULL);
	};
	std::string all = complete("{\"model\":\"a\",\"prompt\":\"p\"}");

	EXPECT_TRUE(contains(all, "HTTP/1.1 503 "));
	EXPECT_TRUE(contains(all, "Retry-After: 1\r\n"));
	EXPECT_TRUE(contains(all, "\"reason\":\"queue_full\",\"run\":\"no\","
				  "\"retry_after_ms\":1000"));
}

TEST_F(Http, FailureAfterTheHeadLeavesTheAnswerIncomplete)
{
	on_submit = [&](const SubmittedRequest &rq) {
		reply(rq.handle, REPLY_HEAD, "");
		reply(rq.handle, REPLY_CHUNK, "data: {\"cut");
		reply(rq.handle, REPLY_FAIL, "", REASON_STREAM_TRUNCATED);
	};
	std::string sse =
		complete("{\"model\":\"a\",\"prompt\":\"p\",\"stream\":true}");
	std::string json = complete("{\"model\":\"a\",\"prompt\":\"p\"}");

	EXPECT_TRUE(contains(sse, "event: error\ndata: {\"error\":{\"reason\":"
				  "\"stream_truncated\",\"run\":\"yes\""));
	EXPECT_FALSE(contains(sse, "[DONE]"));
	// An incomplete document lacks the last chunk, which ends the body.
	EXPECT_FALSE(contains(json, "0\r\n\r\n"));
}

TEST_F(Http, RequestOfADisconnectedCallerIsCancelled)
{
	std::string request =
		post("/v1/completions", "{\"model\":\"a\",\"prompt\":\"p\"}");
	int fd = open_connection();

	ASSERT_EQ(send(fd, request.data(), request.size(), MSG_NOSIGNAL),
		  (ssize_t)request.size());
	ASSERT_TRUE(eventually([&] {
		std::lock_guard<std::mutex> l(lock);
		return submitted.size() == 1;
	}));
	EXPECT_EQ(cancelled, 0u);
	close(fd);
	EXPECT_TRUE(
		eventually([&] { return cancelled == submitted[0].handle; }));
	EXPECT_TRUE(eventually([&] { return http_active_requests(h) == 0; }));
}

TEST_F(Http, SlowCallerIsCutOffWhenItsBufferIsFull)
{
	std::string request =
		post("/v1/completions", "{\"model\":\"a\",\"prompt\":\"p\","
					"\"stream\":true}");
	std::string piece(1 << 20, 'x');
	uint64_t before = counter_get_refused(REASON_SLOW_READER);
	int fd = open_connection();

	ASSERT_EQ(send(fd, request.data(), request.size(), MSG_NOSIGNAL),
		  (ssize_t)request.size());
	ASSERT_TRUE(eventually([&] {
		std::lock_guard<std::mutex> l(lock);
		return submitted.size() == 1;
	}));
	reply(submitted[0].handle, REPLY_HEAD, "");
	for (int i = 0; i < 64 && !cancelled; i++)
		reply(submitted[0].handle, REPLY_CHUNK, piece);
	EXPECT_EQ(cancelled, submitted[0].handle);
	EXPECT_TRUE(eventually([&] {
		return counter_get_refused(REASON_SLOW_READER) == before + 1;
	}));
	EXPECT_FALSE(contains(read_all(fd), "0\r\n\r\n"));
}

TEST_F(Http, IncompleteBodyIsRefusedAfterTheTimeout)
{
	int fd = open_connection();
	std::string request = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
			      "Content-Length: 100\r\n\r\n{";

	ASSERT_EQ(send(fd, request.data(), request.size(), MSG_NOSIGNAL),
		  (ssize_t)request.size());
	EXPECT_TRUE(contains(read_all(fd), "\"reason\":\"body_timeout\""));
}

TEST_F(Http, ConnectionIsReusedForTheNextRequest)
{
	int fd = open_connection();
	char buf[4096];
	std::string get =
		"GET /v1/addresses?model=notice HTTP/1.1\r\nHost: x\r\n\r\n";

	for (int i = 0; i < 3; i++) {
		ASSERT_EQ(send(fd, get.data(), get.size(), MSG_NOSIGNAL),
			  (ssize_t)get.size());
		ssize_t n = recv(fd, buf, sizeof(buf), 0);

		ASSERT_GT(n, 0);
		EXPECT_TRUE(contains(std::string(buf, (size_t)n),
				     "{\"addresses\":[\"10.0.0.1:7000\","
				     "\"10.0.0.2:7000\"],\"ttl_ms\":700}"));
	}
	close(fd);
}

TEST_F(Http, AddressesNeedFreshTablesAndAModel)
{
	std::string get = "GET /v1/addresses?model=notice HTTP/1.1\r\n"
			  "Host: x\r\nConnection: close\r\n\r\n";

	refusal = REASON_STALE;
	EXPECT_TRUE(contains(send_request(get), "\"reason\":\"stale\""));
	refusal = REASON_NONE;
	EXPECT_TRUE(contains(send_request(get), "HTTP/1.1 200 OK"));
	EXPECT_TRUE(contains(send_request(
				     "GET /v1/addresses HTTP/1.1\r\nHost: x\r\n"
				     "Connection: close\r\n\r\n"),
			     "HTTP/1.1 400"));
}

TEST_F(Http, ServiceCallsReachTheCoreUnchanged)
{
	on_submit = [&](const SubmittedRequest &rq) {
		reply(rq.handle, REPLY_HEAD, "");
		reply(rq.handle, REPLY_CHUNK, "{\"ok\":1}");
		reply(rq.handle, REPLY_DONE, "");
	};
	std::string all = send_request(
		post("/v1/call/records/a/b", "{\"model\":\"kept\"}",
		     "Idempotency-Key: k1\r\nX-Not-Repeatable: 1\r\n"));

	EXPECT_TRUE(contains(all, "{\"ok\":1}"));
	send_request(post("/v1/call/records", "{}"));
	ASSERT_EQ(submitted.size(), 2u);
	EXPECT_TRUE(submitted[0].is_call);
	EXPECT_EQ(submitted[0].service, "records");
	EXPECT_EQ(submitted[0].path, "/a/b");
	EXPECT_EQ(submitted[0].body, "{\"model\":\"kept\"}");
	EXPECT_EQ(submitted[0].key, "k1");
	EXPECT_TRUE(submitted[0].not_repeatable);
	EXPECT_EQ(submitted[1].path, "/");
	EXPECT_FALSE(submitted[1].not_repeatable);
}

// Guards against bytes behind a head that no body follows: they are no answer.
TEST_F(Http, AnswersWithoutABodyEndWithTheirHeads)
{
	for (int status : {204, 304}) {
		on_submit = [&](const SubmittedRequest &rq) {
			reply(rq.handle, REPLY_HEAD, "", REASON_NONE, status);
			reply(rq.handle, REPLY_DONE, "");
		};
		std::string all = send_request(post("/v1/call/records", "{}"));

		EXPECT_TRUE(
			contains(all, "HTTP/1.1 " + std::to_string(status)));
		EXPECT_EQ(all.size(), all.find("\r\n\r\n") + 4) << all;
		EXPECT_FALSE(contains(all, "Transfer-Encoding")) << all;
	}
}

TEST_F(Http, StopFailsWaitingRequestsWithShutdown)
{
	h = start(&port);

	std::string answer;
	std::thread t([&] {
		answer = complete("{\"model\":\"a\",\"prompt\":\"p\"}");
	});

	ASSERT_TRUE(eventually([&] {
		std::lock_guard<std::mutex> l(lock);
		return submitted.size() == 1;
	}));
	http_stop(h);
	t.join();
	http_free(h);
	h = shared;
	EXPECT_TRUE(contains(answer,
			     "\"reason\":\"shutdown\",\"run\":\"unknown\""));
}
