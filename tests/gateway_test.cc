// Requests through the gateway, between real connections of callers and of
// scripted targets, with a dispatcher that grants what the test says.
#include <gtest/gtest.h>

#include <atomic>
#include <deque>
#include <mutex>
#include <vector>

#include "gateway.h"
#include "log.h"
#include "loop_util.h"

using namespace loop_util;

namespace
{

struct Quiet {
	Quiet()
	{
		log_set_level(LOG_ERR);
	}
} quiet;

// What a target does with one request.
struct Act {
	std::string bytes;
	bool close = false; // after the bytes
	bool hard = false;  // by a reset
	bool wait = false;  // until the other side closes
};

Act answer(int status, const std::string &fields, const std::string &body)
{
	return {"HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
			"Content-Length: " + std::to_string(body.size()) +
			"\r\n\r\n" + body,
		false, false, false};
}
Act good(const std::string &body = "fine")
{
	return answer(200, "Response-Signature: s\r\n", body);
}
std::string chunk(const std::string &s)
{
	char size[16];

	snprintf(size, sizeof(size), "%zx\r\n", s.size());
	return size + s + "\r\n";
}
const char *const STREAM_HEAD = "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
				"Content-Type: text/event-stream\r\n"
				"Transfer-Encoding: chunked\r\n\r\n";

class Target
{
      public:
	explicit Target(std::deque<Act> acts) : acts(acts)
	{
		struct sockaddr_in a = any_addr();
		int one = 1;

		port = free_port();
		a.sin_port = htons(port);
		fd = socket(AF_INET, SOCK_STREAM, 0);
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		bind(fd, (struct sockaddr *)&a, sizeof(a));
		listen(fd, 16);
		thread = std::thread([this] { serve(); });
	}
	~Target()
	{
		over = true;
		shutdown(fd, SHUT_RDWR);
		thread.join();
		close(fd);
	}
	std::string addr() const
	{
		return "127.0.0.1:" + std::to_string(port);
	}
	std::vector<std::string> seen()
	{
		std::lock_guard<std::mutex> g(lock);

		return requests;
	}
	std::atomic<bool> left{false}; // the other side closed while it waited

      private:
	void serve()
	{
		while (!over) {
			int c = accept(fd, nullptr, nullptr);

			if (c < 0)
				return;
			while (one(c))
				;
			close(c);
		}
	}
	// One request on a connection; false: it has ended.
	bool one(int c)
	{
		std::string in;
		char buf[4096];
		size_t need = std::string::npos;
		struct linger l = {1, 0};
		Act act;

		while (in.size() < need) {
			ssize_t n = recv(c, buf, sizeof(buf), 0);
			size_t end, at;

			if (n <= 0)
				return false;
			in.append(buf, (size_t)n);
			end = in.find("\r\n\r\n");
			at = in.find("Content-Length: ");
			if (end != std::string::npos)
				need = end + 4 +
				       (at < end
						? std::stoul(in.substr(at + 16))
						: 0);
		}
		{
			std::lock_guard<std::mutex> g(lock);

			requests.push_back(in);
			if (acts.empty())
				return false;
			act = acts.front();
			acts.pop_front();
		}
		ssize_t n = ::send(c, act.bytes.data(), act.bytes.size(),
				   MSG_NOSIGNAL);

		(void)n;
		if (act.wait) {
			left = recv(c, buf, 1, 0) <= 0;
			return false;
		}
		if (act.hard) {
			usleep(20000);
			setsockopt(c, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
		}
		return !act.close && !act.hard;
	}

	std::deque<Act> acts;
	std::vector<std::string> requests;
	std::mutex lock;
	std::atomic<bool> over{false};
	uint16_t port;
	int fd;
	std::thread thread;
};

class World
{
      public:
	explicit World(std::vector<Target *> targets) : targets(targets)
	{
		static const gateway_ops_t ops = {
			on_send, [](void *) {},
			[](void *ctx) -> reason_t {
				return ((World *)ctx)->refusal;
			},
			[](void *ctx) -> bool {
				return ((World *)ctx)->starting;
			},
			[](void *) { return false; }};
		struct sockaddr_in a = any_addr();

		port = free_port();
		a.sin_port = htons(port);
		up = upstream_new(l.loop);
		gw = gateway_new(l.loop, up, STR("z"), 1, &ops, this);
		timer_sub_init(&timer, on_timer, this);
		manifest = make_manifest();
		gateway_set_manifest(gw, manifest);
		gateway_listen(gw, &a);
		l.start();
	}
	~World()
	{
		l.call([&] {
			timer_svc_cancel(l.timers, &timer);
			gateway_free(gw);
			upstream_free(up);
		});
		l.stop();
		manifest_unref(manifest);
	}

	std::string ask(const std::string &path, const std::string &fields = "",
			const std::string &body = "")
	{
		Client c(port);

		c.send("POST " + path +
		       " HTTP/1.1\r\nHost: x\r\nRequest-Id: r1\r\n"
		       "Connection: close\r\n" +
		       fields + "Content-Length: " +
		       std::to_string(body.size()) + "\r\n\r\n" + body);
		std::string got = c.read_all();

		reset = c.reset;
		return got;
	}
	std::vector<int> outcomes()
	{
		std::vector<int> out;

		l.call([&] { out = done; });
		return out;
	}

	Loop l;
	gateway_t *gw;
	upstream_t *up;
	manifest_t *manifest;
	uint16_t port;
	std::atomic<reason_t> refusal{REASON_NONE};
	std::atomic<bool> starting{false};
	bool grants = true;
	bool reset = false;
	std::atomic<int> asks{0};

      private:
	static manifest_t *make_manifest()
	{
		static const struct {
			const char *prefix;
			route_kind_t kind;
			bool resumable;
			uint32_t attempts;
		} routes[] = {
			{"/once/", ROUTE_NON_IDEMPOTENT, false, 1},
			{"/twice/", ROUTE_NON_IDEMPOTENT, false, 2},
			{"/again/", ROUTE_IDEMPOTENT, false, 2},
			{"/stream/", ROUTE_STREAMING, false, 1},
			{"/resume/", ROUTE_STREAMING, true, 2},
		};
		manifest_t *m = manifest_new();
		service_t *s = manifest_add_service(m);
		buf_t error = {};

		s->name = str_copy(STR("app"));
		for (auto &row : routes) {
			route_t *r = manifest_add_route(m);
			route_share_t *share = route_add_share(r);

			r->name = str_copy(str_c(row.prefix));
			r->host = str_copy(STR("x"));
			r->prefix = str_copy(str_c(row.prefix));
			r->kind = row.kind;
			r->resumable = row.resumable;
			r->attempts = row.attempts;
			r->timeout_us = 1500 * USEC_PER_MSEC;
			r->target_us = 150 * USEC_PER_MSEC;
			share->service = str_copy(STR("app"));
			share->weight = 1;
		}
		EXPECT_EQ(0, manifest_compile(m, &error));
		return m;
	}

	// The dispatcher answers in a turn of its own.
	static void on_send(void *ctx, const Dispatch__Msg *msg)
	{
		World *w = (World *)ctx;

		if (msg->body_case == DISPATCH__MSG__BODY_DONE)
			w->done.push_back((int)msg->done->outcome);
		if (msg->body_case != DISPATCH__MSG__BODY_ASK || !w->grants)
			return;
		w->asked.push_back(msg->ask->id);
		timer_svc_arm(w->l.timers, &w->timer,
			      timer_svc_now(w->l.timers));
	}
	static void on_timer(void *ctx, int64_t)
	{
		World *w = (World *)ctx;

		while (!w->asked.empty()) {
			uint64_t id = w->asked.front();
			size_t n = (size_t)w->asks++;

			w->asked.pop_front();
			if (n < w->targets.size())
				w->grant(id, n);
			else
				w->refuse(id);
		}
	}
	void grant(uint64_t id, size_t n)
	{
		Dispatch__Grant g = DISPATCH__GRANT__INIT;
		Dispatch__Msg msg = DISPATCH__MSG__INIT;
		std::string addr = targets[n]->addr();
		std::string runner = "i-" + std::to_string(n);

		g.id = id;
		g.runner = {runner.size(), (uint8_t *)runner.data()};
		g.addr = {addr.size(), (uint8_t *)addr.data()};
		msg.body_case = DISPATCH__MSG__BODY_GRANT;
		msg.grant = &g;
		gateway_recv(gw, &msg);
	}
	void refuse(uint64_t id)
	{
		Dispatch__Refusal r = DISPATCH__REFUSAL__INIT;
		Dispatch__Msg msg = DISPATCH__MSG__INIT;

		r.id = id;
		r.reason = REASON_QUEUE_FULL;
		r.retry_us = 250 * USEC_PER_MSEC;
		msg.body_case = DISPATCH__MSG__BODY_REFUSAL;
		msg.refusal = &r;
		gateway_recv(gw, &msg);
	}

	std::vector<Target *> targets; // of the first ask, the second, ...
	std::deque<uint64_t> asked;
	std::vector<int> done;
	timer_sub_t timer;
};

bool has(const std::string &s, const std::string &part)
{
	return s.find(part) != std::string::npos;
}
int status(const std::string &s)
{
	return s.size() > 12 ? std::stoi(s.substr(9, 3)) : 0;
}

TEST(Gateway, PassesOnWhatWasSent)
{
	Target t({answer(201,
			 "Response-Signature: sig\r\nX-Own: 1\r\n"
			 "Keep-Alive: timeout=3\r\nRequest-Id: r1\r\n",
			 "the answer")});
	World w({&t});
	std::string got = w.ask("/once/a%20b?q=1&r",
				"Hold: h1\r\nExpect-Instance: i-9\r\n"
				"Deadline-Ms: 1000\r\nX-Mine: y\r\n"
				"X-Hop: z\r\nKeep-Alive: timeout=9\r\n",
				"the body");
	std::string seen = t.seen().at(0);

	EXPECT_EQ(201, status(got));
	EXPECT_TRUE(has(got, "Response-Signature: sig\r\n"));
	EXPECT_TRUE(has(got, "X-Own: 1\r\n"));
	EXPECT_FALSE(has(got, "Keep-Alive"));
	EXPECT_TRUE(has(got, "\r\n\r\nthe answer"));
	EXPECT_EQ(0u, seen.find("POST /once/a%20b?q=1&r HTTP/1.1\r\n"));
	EXPECT_TRUE(has(seen, "X-Mine: y\r\n"));
	EXPECT_TRUE(has(seen, "Request-Id: r1\r\n"));
	EXPECT_TRUE(has(seen, "Expect-Instance: i-0\r\n"));
	EXPECT_FALSE(has(seen, "i-9"));
	EXPECT_FALSE(has(seen, "Hold"));
	EXPECT_FALSE(has(seen, "Keep-Alive"));
	EXPECT_TRUE(has(seen, "Deadline-Ms: 99") ||
		    has(seen, "Deadline-Ms: 9"));
	EXPECT_TRUE(has(seen, "\r\n\r\nthe body"));
	EXPECT_EQ(std::vector<int>{PLACE_ANSWERED}, w.outcomes());
}

TEST(Gateway, WhatMustNotRepeatIsSentOnce)
{
	Target t({{"", false, true, false}});
	Target other({good()});
	World w({&t, &other});

	EXPECT_EQ(502, status(w.ask("/once/x")));
	EXPECT_EQ(1u, t.seen().size());
	EXPECT_EQ(0u, other.seen().size());
	EXPECT_EQ(std::vector<int>{PLACE_BROKEN}, w.outcomes());
}

// Whatever number of attempts its route allows.
TEST(Gateway, WhatMustNotRepeatHasOneAttempt)
{
	Target a({{"", true}});
	Target b({good()});
	World w({&a, &b});

	EXPECT_EQ(502, status(w.ask("/twice/x")));
	EXPECT_EQ(0u, b.seen().size());
}

TEST(Gateway, WhatMayRepeatIsTriedAgain)
{
	Target t({{"", false, true, false}});
	Target other({good("second")});
	World w({&t, &other});

	EXPECT_TRUE(has(w.ask("/again/x"), "\r\n\r\nsecond"));
	EXPECT_EQ(1u, other.seen().size());
}

TEST(Gateway, AttemptsBoundTheTargetsThatRunIt)
{
	Target a({{"", false, true, false}});
	Target b({{"", false, true, false}});
	Target c({good()});
	World w({&a, &b, &c});

	EXPECT_EQ(502, status(w.ask("/again/x")));
	EXPECT_EQ(0u, c.seen().size());
}

TEST(Gateway, FailureOfATargetIsPassedOnWhereNoOtherDoesBetter)
{
	Target a({answer(500, "Response-Signature: s1\r\n", "broke")});
	World w({&a}); // the second ask is refused
	std::string got = w.ask("/again/x");

	EXPECT_EQ(500, status(got));
	EXPECT_TRUE(has(got, "Response-Signature: s1"));
	EXPECT_TRUE(has(got, "broke"));
}

TEST(Gateway, NotRunIsTriedElsewhere)
{
	Target a({answer(503, "Not-Executed: 1\r\n", "")});
	Target b({answer(421, "Instance-Id: i-7\r\n", "")});
	Target c({good("third")});
	World w({&a, &b, &c});

	EXPECT_TRUE(has(w.ask("/once/x"), "third"));
	EXPECT_EQ((std::vector<int>{PLACE_NOT_RUN, PLACE_OTHER_RUNNER,
				    PLACE_ANSWERED}),
		  w.outcomes());
}

TEST(Gateway, RefusalsSayWhenToComeBack)
{
	World w({});
	std::string got = w.ask("/once/x");

	EXPECT_EQ(503, status(got));
	EXPECT_TRUE(has(got, "Retry-After: 0.250\r\n"));
	EXPECT_TRUE(has(got, "\"run\":\"no\""));
	EXPECT_EQ(404, status(w.ask("/nowhere/x")));
	w.refusal = REASON_NO_MANIFEST;
	EXPECT_EQ(503, status(w.ask("/nowhere/x")));
}

// A host that has just started learns within a moment what is decided.
TEST(Gateway, RequestsWaitForAHostThatStarts)
{
	Target t({good()});
	World w({&t});
	std::string got;

	w.refusal = REASON_NO_MANIFEST;
	w.starting = true;
	std::thread caller([&] { got = w.ask("/once/x"); });

	usleep(100000);
	w.refusal = REASON_NONE;
	caller.join();
	EXPECT_EQ(200, status(got));
}

TEST(Gateway, RequestsDoNotWaitForeverForAHostThatStarts)
{
	World w({});

	w.refusal = REASON_NO_MANIFEST;
	w.starting = true;
	EXPECT_EQ(503, status(w.ask("/once/x")));
}

TEST(Gateway, SilenceAfterSendingIsNeverNotRun)
{
	Target t({{"", false, false, true}});
	World w({&t});
	std::string got = w.ask("/once/x");

	EXPECT_EQ(504, status(got));
	EXPECT_FALSE(has(got, "Retry-After"));
	EXPECT_EQ(1u, t.seen().size());
}

TEST(Gateway, NoPlaceInTimeHasNotRun)
{
	World w({});

	w.grants = false;
	EXPECT_EQ(503, status(w.ask("/once/x")));
}

TEST(Gateway, SuccessWithoutProofIsNoSuccess)
{
	Target a({answer(200, "", "unproven")});
	Target b({answer(200,
			 "Response-Signature: s\r\nContent-Encoding: "
			 "gzip\r\n",
			 "packed")});
	World w({&a, &b});

	EXPECT_EQ(502, status(w.ask("/once/x")));
	EXPECT_EQ(502, status(w.ask("/once/x")));
}

TEST(Gateway, AnswersOfOtherRequestsArePassedOver)
{
	Act late = answer(200, "Response-Signature: s\r\nRequest-Id: other\r\n",
			  "not mine");

	late.bytes += answer(200, "Response-Signature: s\r\nRequest-Id: r1\r\n",
			     "mine")
			      .bytes;
	Target t({late});
	World w({&t});
	std::string got = w.ask("/once/x");

	EXPECT_TRUE(has(got, "\r\n\r\nmine"));
	EXPECT_FALSE(has(got, "not mine"));
}

TEST(Gateway, StreamThatBreaksDoesNotLookWhole)
{
	Target t({{std::string(STREAM_HEAD) + chunk("id: 1\ndata: a\n\n") +
			   chunk("id: 2\nda"),
		   false, true, false}});
	World w({&t});
	std::string got = w.ask("/stream/x");

	EXPECT_TRUE(has(got, "id: 1\ndata: a\n\n"));
	EXPECT_FALSE(has(got, "id: 2"));
	EXPECT_FALSE(has(got, "0\r\n\r\n"));
}

TEST(Gateway, StreamGoesOnAfterTheLastWholeEvent)
{
	Target a({{std::string(STREAM_HEAD) + chunk("id: 1\ndata: a\n\n") +
			   chunk("id: 2\ndata: b\n\nid: 3\nda"),
		   false, true, false}});
	Target b({{std::string(STREAM_HEAD) + chunk("id: 3\ndata: c\n\n") +
			   chunk("id: 4\ndata: d\n\n") + "0\r\n\r\n",
		   false, false, false}});
	World w({&a, &b});
	std::string got = w.ask("/resume/x");
	size_t at = 0;

	for (const char *event : {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n",
				  "id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n"}) {
		size_t next = got.find(event, at);

		ASSERT_NE(std::string::npos, next) << event << got;
		at = next + 1;
	}
	EXPECT_EQ(got.find("id: 3"), got.rfind("id: 3"));
	EXPECT_EQ(got.find("HTTP/1.1"), got.rfind("HTTP/1.1"));
	EXPECT_TRUE(has(got, "0\r\n\r\n"));
	EXPECT_TRUE(has(b.seen().at(0), "Last-Event-Id: 2\r\n"));
}

// An event that does not end is passed on in pieces, and not sent again.
TEST(Gateway, EventsBeyondTheBoundAreNotKept)
{
	std::string piece = "data: " + std::string(600000, 'x');
	Target a({{STREAM_HEAD + chunk("id: 1\ndata: a\n\n") + chunk(piece),
		   true}});
	Target b({{STREAM_HEAD + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n"}});
	World w({&a, &b});
	std::string got = w.ask("/resume/x");

	EXPECT_GT(got.size(), 300000u);
	EXPECT_FALSE(has(got, "data: b"));
	EXPECT_EQ(0u, b.seen().size());
}

TEST(Gateway, StreamThatMayNotBeResumedIsNot)
{
	Target a({{std::string(STREAM_HEAD) + chunk("id: 1\ndata: a\n\n"),
		   false, true, false}});
	Target b({good()});
	World w({&a, &b});

	w.ask("/stream/x");
	EXPECT_EQ(0u, b.seen().size());
}

TEST(Gateway, CallerThatLeavesEndsTheRun)
{
	Target t({{"", false, false, true}});
	World w({&t});

	{
		Client c(w.port);

		c.send("GET /once/x HTTP/1.1\r\nHost: x\r\n\r\n");
		for (int i = 0; i < 200 && t.seen().empty(); i++)
			usleep(5000);
	}
	for (int i = 0; i < 100 && !t.left; i++)
		usleep(5000);
	EXPECT_TRUE(t.left);
	EXPECT_EQ(std::vector<int>{PLACE_CANCELLED}, w.outcomes());
}

TEST(Gateway, BodyBeyondTheBoundIsRefused)
{
	Target t({good()});
	World w({&t});

	w.l.call([&] { w.manifest->limits.body_max = 10; });
	EXPECT_EQ(413, status(w.ask("/once/x", "", "eleven bytes")));
	EXPECT_EQ(0u, t.seen().size());
}

} // namespace
