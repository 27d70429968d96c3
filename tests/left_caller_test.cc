// Callers that leave, in each state of their request: nothing of it may go on.
#include "counter.h"
#include "gateway_world.h"

namespace
{

const char *const EVENT = "id: 1\ndata: x\n\n";
const host_id_t PEER = 0x7f000001;	       // of the fixture's tunnels
const in_addr_t PEER_FROM = htonl(0x7f000002); // their connections to targets

// Sends a request and stays until the target has read it.
struct Caller : Client {
	explicit Caller(GatewayFixture &f) : Client(f.port)
	{
	}
	void ask(const std::string &path, const std::string &more = "")
	{
		send("GET " + path +
		     " HTTP/1.1\r\nHost: x\r\nRequest-Id: r1\r\n" + more +
		     "\r\n");
	}
	void ask_and_wait(Target &t, const std::string &path)
	{
		size_t before = t.received().size();

		ask(path);
		for (int i = 0; i < 400 && t.received().size() == before; i++)
			usleep(5000);
	}
};

void expect_closed(const Target &t)
{
	for (int i = 0; i < 100 && !t.closed_by_peer; i++)
		usleep(5000);
	EXPECT_TRUE(t.closed_by_peer);
}

void expect_no_request(GatewayFixture &f)
{
	size_t n = 1;

	for (int i = 0; i < 100 && n; i++) {
		f.l.call([&] { n = gateway_active_requests(f.gateway); });
		usleep(5000);
	}
	EXPECT_EQ(0u, n);
}

// Nothing is left of the request at the gateway, nor at the dispatcher.
void expect_cancelled(GatewayFixture &f)
{
	expect_no_request(f);
	ASSERT_FALSE(f.outcomes().empty());
	EXPECT_EQ(PLACE_CANCELLED, f.outcomes().back());
}

const Action SILENT = {"", false, false, true};
const Action BEGUN = {STREAM_HEAD + chunk(EVENT), false, false, true};

TEST(LeftCaller, WhileItsBodyIsReadLeavesNothing)
{
	Target t({ok_response()});
	GatewayFixture f({&t});

	{
		Caller c(f);

		c.ask("/again/x", "Content-Length: 9\r\n");
		usleep(50000);
	}
	expect_no_request(f);
	EXPECT_EQ(0u, t.received().size());
}

TEST(LeftCaller, WhileAPlaceIsAskedForGivesItBack)
{
	Target t({ok_response()});
	GatewayFixture f({&t});

	f.dispatcher_replies = false;
	{
		Caller c(f);

		c.ask("/again/x");
		usleep(50000);
	}
	expect_cancelled(f);
	EXPECT_EQ(0u, t.received().size());
}

// Its queue is full, so that the kernel answers no SYN until it is emptied.
struct FullPort {
	FullPort()
	{
		fd = listen_loopback(&port, 0);
		for (int i = 0; i < 4; i++) {
			struct sockaddr_in a = loopback_addr();

			a.sin_port = htons(port);
			fds[i] =
				socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
			(void)!connect(fds[i], (struct sockaddr *)&a,
				       sizeof(a));
		}
	}
	~FullPort()
	{
		for (int one : fds)
			close(one);
		close(fd);
	}
	int fd, fds[4];
	uint16_t port;
};

// The second connection is begun after 150 ms.
TEST(LeftCaller, WhileTwoConnectionsAreMadeSendsOnNeither)
{
	Target t({ok_response()});
	uint16_t own_port = t.port;
	FullPort full;
	GatewayFixture f({&t});

	t.port = full.port;
	f.peer = PEER;
	{
		Caller c(f);

		c.ask("/again/x");
		usleep(250000);
	}
	expect_cancelled(f);
	t.port = own_port;
	EXPECT_EQ(0u, t.received().size());
}

TEST(LeftCaller, BeforeAndInTheAnswerEndsTheRun)
{
	for (const Action &a : {SILENT, BEGUN}) {
		Target t({a});
		GatewayFixture f({&t});

		{
			Caller c(f);

			c.ask_and_wait(t, "/stream/x");
			usleep(30000);
		}
		expect_closed(t);
		expect_cancelled(f);
	}
}

TEST(LeftCaller, EndsTheRunByWayOfAnotherDaemon)
{
	for (const Action &a : {SILENT, BEGUN}) {
		Target lost_a({4, ok_response()}), lost_b({4, ok_response()});
		Target t({a});
		GatewayFixture f({&lost_a, &lost_b, &lost_a, &lost_b, &t});
		size_t n_by_peer;

		f.lose_own_path();
		n_by_peer = f.n_by_peer;
		{
			Caller c(f);

			c.ask_and_wait(t, "/stream/x");
			usleep(30000);
		}
		expect_closed(t);
		expect_cancelled(f);
		EXPECT_EQ(n_by_peer + 1, f.n_by_peer);
	}
}

TEST(LeftCaller, BetweenTwoAttemptsBeginsNoOther)
{
	Target a({response(500, "Request-Id: r1\r\n", "")}), b({ok_response()});
	GatewayFixture f({&a, &b});

	f.n_replies = 1;
	{
		Caller c(f);

		c.ask_and_wait(a, "/again/x");
		usleep(50000);
	}
	expect_cancelled(f);
	EXPECT_EQ(0u, b.received().size());
}

TEST(LeftCaller, EndsTheRunThatGoesOnWithAStream)
{
	Target a({{STREAM_HEAD + chunk(EVENT), true}}), b({SILENT});
	GatewayFixture f({&a, &b});

	{
		Caller c(f);

		c.ask_and_wait(b, "/resume/x");
	}
	expect_closed(b);
	expect_cancelled(f);
}

TEST(LeftCaller, ThatReadNothingEndsTheRunOfATargetThatIsHeldBack)
{
	Action flood = {STREAM_HEAD};
	flood.repeated = chunk(EVENT);
	Target t({flood});
	GatewayFixture f({&t});

	{
		Caller c(f);

		c.ask_and_wait(t, "/stream/x");
		usleep(200000);
	}
	expect_closed(t);
	expect_cancelled(f);
}

TEST(LeftCaller, WithTheRequestInOneReadLeavesNothing)
{
	Target t({SILENT, SILENT});
	GatewayFixture f({&t});

	f.l.call([&] {
		Caller c(f);

		c.ask("/again/x");
	});
	expect_cancelled(f);
	for (int i = 0; i < 20 && t.received().empty(); i++)
		usleep(5000);
	if (!t.received().empty())
		expect_closed(t);
}

TEST(LeftCaller, WhileTheHostStartsIsNotServed)
{
	Target t({ok_response()});
	GatewayFixture f({&t});
	size_t n = 1;

	f.refusal = REASON_STALE;
	f.starting = true;
	{
		Caller c(f);

		c.ask("/again/x");
		usleep(50000);
	}
	usleep(50000);
	f.refusal = REASON_NONE;
	usleep(100000);
	f.l.call([&] { n = gateway_active_requests(f.gateway); });
	EXPECT_EQ(0u, n);
	EXPECT_EQ(0u, t.received().size());
}

// Runs whose close may not arrive. The target can't be cut off here: it tells by what it
// receives whether the order came.

const Action STOPPED = response(200, "", "{\"handle\":\"h1\",\"made\":1}");

void let_targets_stop_runs(GatewayFixture &f)
{
	f.peer = PEER;
	f.l.call([&] { f.manifest->services[0].stops_runs = true; });
}

void await_received(Target &t, size_t n)
{
	for (int i = 0; i < 200 && t.received().size() < n; i++)
		usleep(5000);
}

// A caller begins a stream and leaves; until the target has received so many requests.
void leave_stream(Target &t, size_t n_received)
{
	GatewayFixture f({&t});

	let_targets_stop_runs(f);
	{
		Caller c(f);

		c.ask_and_wait(t, "/stream/x");
	}
	await_received(t, n_received);
}

TEST(LeftCaller, RunOnASilentPathIsStoppedByWayOfAnotherDaemon)
{
	Target t({BEGUN, STOPPED, ok_response()});
	GatewayFixture f({&t});

	let_targets_stop_runs(f);
	{
		Caller c(f);

		c.ask_and_wait(t, "/stream/x");
		c.read_until("data: x");
		t.only_from = PEER_FROM;
	}
	await_received(t, 3);
	ASSERT_EQ(3u, t.received().size());
	EXPECT_TRUE(has(t.received()[1], "\"id\":\"r1\"")) << t.received()[1];
	EXPECT_TRUE(has(t.received()[1], "Expect-Instance: i-0"));
	EXPECT_TRUE(has(t.received()[2], "DELETE ")) << t.received()[2];
	EXPECT_TRUE(has(t.received()[2], "/h1 "));
}

TEST(LeftCaller, RunIsNotOrderedToStopByAHostThatHearsTargets)
{
	Action events = {STREAM_HEAD + chunk(EVENT)};
	events.later.assign(40, {10, chunk(EVENT)});
	Target silent({BEGUN}), heard({events});
	GatewayFixture f({&silent, &heard});

	let_targets_stop_runs(f);
	{
		Caller left(f), stays(f);

		left.ask_and_wait(silent, "/stream/x");
		stays.ask_and_wait(heard, "/stream/x");
		left.close_socket();
		usleep(300000);
	}
	expect_closed(silent);
	EXPECT_EQ(1u, silent.received().size());
}

TEST(LeftCaller, StreamOverdueIsStoppedWhateverElseTheHostHears)
{
	Action events = {STREAM_HEAD + chunk(EVENT)};
	events.later.assign(80, {10, chunk(EVENT)});
	Target silent({BEGUN, STOPPED, ok_response()}), heard({events});
	GatewayFixture f({&silent, &heard});

	let_targets_stop_runs(f);
	{
		Caller left(f), stays(f);

		left.ask_and_wait(silent, "/stream/x");
		stays.ask_and_wait(heard, "/stream/x");
		usleep(400000); // the route allows 300 ms between events
		left.close_socket();
		usleep(200000);
	}
	await_received(silent, 3);
	EXPECT_EQ(3u, silent.received().size());
}

TEST(LeftCaller, RunOfATargetThatStopsNoneIsNotOrderedTo)
{
	Target t({BEGUN, STOPPED});
	GatewayFixture f({&t});

	f.peer = PEER;
	{
		Caller c(f);

		c.ask_and_wait(t, "/stream/x");
	}
	expect_closed(t);
	usleep(300000);
	EXPECT_EQ(1u, t.received().size());
}

TEST(LeftCaller, RunThatGoesOnForWantOfRoomIsOrderedToStopOnceMore)
{
	Target t({BEGUN, response(503, "", ""), STOPPED, ok_response()});

	leave_stream(t, 4);
	EXPECT_EQ(4u, t.received().size());
}

// Guards against a run that goes on, as what its target answered is no answer.
TEST(LeftCaller, RunIsOrderedToStopOnceMoreWhereTheAnswerIsBroken)
{
	Action broken = STOPPED;

	broken.bytes.replace(0, strlen("HTTP/1.1 200"), "HTTP/1.1 000");
	broken.close = true;
	Target t({BEGUN, broken, STOPPED, ok_response()});

	leave_stream(t, 4);
	ASSERT_EQ(4u, t.received().size());
	EXPECT_TRUE(has(t.received()[3], "DELETE ")) << t.received()[3];
}

TEST(LeftCaller, RunThatNobodyReachesIsGivenUpAndCounted)
{
	Target t({BEGUN, STOPPED});
	GatewayFixture f({&t});
	uint64_t before = counter_get(CTR_RUNS_NOT_STOPPED);

	let_targets_stop_runs(f);
	t.only_from = htonl(INADDR_LOOPBACK); // not from the other daemon
	{
		Caller c(f);

		c.ask_and_wait(t, "/stream/x");
	}
	for (int i = 0; i < 400 && counter_get(CTR_RUNS_NOT_STOPPED) == before;
	     i++)
		usleep(5000);
	EXPECT_EQ(before + 1, counter_get(CTR_RUNS_NOT_STOPPED));
	EXPECT_EQ(1u, t.received().size());
}

} // namespace
