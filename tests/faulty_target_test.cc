// What callers get from targets that write bytes of other answers, break off, or
// fail after another has begun, on both ways to a target: a connection of this
// host's own, and a tunnel through another daemon.
#include "target_ways.h"

namespace
{

const char *const REJECTION = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n"
			      "Content-Length: 0\r\n\r\n";
const size_t KB = 1024;
const size_t MANY = 24;
const size_t LIMIT_OF_ALL = 256 * KB;

// So many targets begin a response and leave it so. Returns the most bytes that the gateway
// has held of them; another request is served meanwhile, and nothing is held in the end.
size_t most_held(const std::string &path, const std::string &begun)
{
	std::vector<std::unique_ptr<Target>> faulty;
	std::vector<std::unique_ptr<Client>> callers;
	std::vector<Target *> order;
	Target sound({ok_response()});
	size_t most = 0;
	size_t now = 0;

	for (size_t i = 0; i < MANY; i++) {
		faulty.push_back(std::make_unique<Target>(
			std::deque<Action>{{begun, false, false, true}}));
		order.push_back(faulty.back().get());
	}
	order.push_back(&sound);
	GatewayFixture f(order);
	f.l.call([&] { gateway_limit_unsent(f.gateway, LIMIT_OF_ALL); });
	for (size_t i = 0; i < MANY; i++) {
		callers.push_back(std::make_unique<Client>(f.port));
		callers.back()->send(
			"GET " + path + " HTTP/1.1\r\nHost: x\r\n" +
			"Request-Id: f" + std::to_string(i) + "\r\n\r\n");
	}
	for (int i = 0; i < 60; i++) {
		f.l.call([&] { now = gateway_unsent_bytes(f.gateway); });
		most = std::max(most, now);
		usleep(10000);
	}
	EXPECT_EQ(200, status(f.ask("/once/sound")));
	callers.clear();
	for (int i = 0; i < 200 && now; i++) {
		f.l.call([&] { now = gateway_unsent_bytes(f.gateway); });
		usleep(10000);
	}
	EXPECT_EQ(0u, now);
	return most;
}

// Beyond the limit each request may have its least part, and one piece that was read.
const size_t HELD_MAX = LIMIT_OF_ALL + MANY * 34 * KB;

// Guards against the memory of a host that many targets fill with what is no answer.
TEST(FaultyTarget, EventsWithoutEndAreHeldUpToTheLimitOfAll)
{
	EXPECT_LE(most_held("/stream/x",
			    STREAM_HEAD + chunk(std::string(240 * KB, 'x'))),
		  HELD_MAX);
}

TEST(FaultyTarget, FailuresWithoutEndAreHeldUpToTheLimitOfAll)
{
	EXPECT_LE(most_held("/once/x", "HTTP/1.1 500 X\r\nContent-Length: "
				       "900000\r\n\r\n" +
					       std::string(240 * KB, 'x')),
		  HELD_MAX);
}

TEST(FaultyTarget, ResponsesWithoutEndAreHeldUpToTheLimitOfAll)
{
	EXPECT_LE(most_held("/once/x", "HTTP/1.1 200 X\r\nResponse-Signature: "
				       "s\r\nContent-Length: "
				       "900000\r\n\r\n" +
					       std::string(240 * KB, 'x')),
		  HELD_MAX);
}

TEST(FaultyTarget, HeadsWithoutEndAreHeldUpToTheLimitOfAll)
{
	EXPECT_LE(most_held("/once/x", "HTTP/1.1 200 X\r\nA: " +
					       std::string(62 * KB, 'x')),
		  HELD_MAX);
}

// An earlier refusal, written once more, is no promise about this request.
void expect_unnamed_rejection_not_believed(bool by_peer, const char *path)
{
	Target a({{REJECTION}});
	Target b({ok_response()});
	Way way(by_peer, {&a, &b});
	std::string got = way.ask(path);

	EXPECT_EQ(502, status(got)) << path << name_of(by_peer);
	EXPECT_FALSE(has(got, "\"run\":\"no\"")) << path << name_of(by_peer);
	EXPECT_EQ(0u, b.received().size()) << path << name_of(by_peer);
}

TEST(FaultyTarget, RejectionThatNamesNoRequestIsNoPromise)
{
	for (bool by_peer : {false, true})
		for (const char *path : {"/once/x", "/stream/x"})
			expect_unnamed_rejection_not_believed(by_peer, path);
}

TEST(FaultyTarget, ConnectionWithBytesBeforeTheRequestCarriesNone)
{
	for (const char *path : {"/once/x", "/stream/x"}) {
		Target a({ok_response("ran")});
		Target b({response(200, "Response-Signature: s\r\n",
				   "id: 1\ndata: b\n\n")});
		a.greeting = REJECTION;
		Way way(false, {&a, &b});

		// The bytes are there before the gateway sees its connection.
		way.fixture->pause_ms = 100;
		EXPECT_EQ(200, status(way.ask(path))) << path;
		EXPECT_EQ(0u, a.received().size()) << path;
		EXPECT_EQ(1u, b.received().size()) << path;
	}
}

TEST(FaultyTarget, GreetingOfATargetNeverMakesARequestRunTwice)
{
	for (bool by_peer : {false, true})
		for (const char *path : {"/once/x", "/stream/x"}) {
			Target a({ok_response("ran")});
			Target b({ok_response()});
			a.greeting = REJECTION;
			Way way(by_peer, {&a, &b});
			std::string got = way.ask(path);
			size_t n = a.received().size() + b.received().size();

			EXPECT_LE(n, 1u) << path << name_of(by_peer);
			EXPECT_TRUE(!n || !has(got, "\"run\":\"no\"")) << got;
		}
}

// The complete head of an answer, each byte of which it may end behind.
const std::string PLAIN_HEAD = "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
			       "Request-Id: r1\r\nContent-Length: 4\r\n\r\n";

TEST(FaultyTarget, HeadCutAtAnyByteIsNoSuccess)
{
	for (bool by_peer : {false, true})
		for (const char *path : {"/once/x", "/stream/x"}) {
			std::string head = std::string(path) == "/once/x"
						   ? PLAIN_HEAD
						   : STREAM_HEAD;
			std::deque<Action> actions;

			for (size_t n = 1; n <= head.size(); n++)
				actions.push_back(cut(head, n, false));
			Target a(actions);
			Way way(by_peer,
				std::vector<Target *>(head.size(), &a));
			for (size_t n = 1; n <= head.size(); n++)
				EXPECT_EQ(502, status(way.ask(path)))
					<< path << name_of(by_peer) << n;
			EXPECT_EQ(head.size(), a.received().size());
		}
}

TEST(FaultyTarget, HeadCutAtAnyByteIsRetriedWhereThatIsSafe)
{
	for (bool by_peer : {false, true}) {
		size_t size = PLAIN_HEAD.size();
		std::deque<Action> actions;
		std::vector<Target *> order;
		Target b(std::deque<Action>(size, ok_response()));

		for (size_t n = 1; n <= size; n++)
			actions.push_back(cut(PLAIN_HEAD, n, false));
		Target a(actions);
		for (size_t n = 1; n <= size; n++)
			order.insert(order.end(), {&a, &b});
		Way way(by_peer, order);
		for (size_t n = 1; n <= size; n++)
			EXPECT_TRUE(has(way.ask("/again/x"), "\r\n\r\nfine"))
				<< name_of(by_peer) << n;
	}
}

// The head of the target that takes a stream up is cut; so is its first event.
TEST(FaultyTarget, ResumedStreamWhoseNextHeadIsCutAtAnyByteIsNotEnded)
{
	std::string next = STREAM_HEAD + chunk(EVENT_2);

	for (bool by_peer : {false, true}) {
		std::deque<Action> first, cut_ones;
		std::vector<Target *> order;

		for (size_t n = 1; n < next.size(); n++) {
			first.push_back(
				cut(STREAM_HEAD + chunk(EVENT_1), 999, false));
			cut_ones.push_back(cut(next, n, n % 2));
		}
		Target a(first), b(cut_ones);
		for (size_t n = 1; n < next.size(); n++)
			order.insert(order.end(), {&a, &b});
		Way way(by_peer, order);
		for (size_t n = 1; n < next.size(); n++) {
			std::string got = way.ask("/resume/x");

			EXPECT_TRUE(has(got, EVENT_1)) << name_of(by_peer) << n;
			EXPECT_FALSE(has(got, "0\r\n\r\n"))
				<< name_of(by_peer) << n;
			EXPECT_EQ(got.find("HTTP/1.1"), got.rfind("HTTP/1.1"));
		}
	}
}

const std::vector<std::string> ERROR_FRAMINGS = {
	"Content-Length: 7\r\n\r\nbroke\n\n",
	"Transfer-Encoding: chunked\r\n\r\n7\r\nbroke\n\n\r\n0\r\n\r\n",
	"\r\nbroke\n\n",
};

// A stream has begun: an error of the next target is no part and no end of it.
void expect_error_not_relayed(bool by_peer, const std::string &fields,
			      const std::string &error)
{
	Target a({cut(STREAM_HEAD + chunk(EVENT_1), 999, false)});
	Target b({{error, true}});
	Way way(by_peer, {&a, &b});
	std::string got = way.ask("/resume/x", fields);

	EXPECT_TRUE(has(got, EVENT_1)) << error << name_of(by_peer);
	EXPECT_FALSE(has(got, "broke")) << error << name_of(by_peer);
	EXPECT_EQ(0u, got.rfind("HTTP/1.1")) << error << name_of(by_peer);
	EXPECT_FALSE(has(got, "0\r\n\r\n")) << error << name_of(by_peer);
	EXPECT_TRUE(way.reset) << error << name_of(by_peer);
}

TEST(FaultyTarget, ErrorAfterTheFirstEventIsNoPartOfTheStream)
{
	for (bool by_peer : {false, true})
		for (const char *first :
		     {"500 X", "404 X", "503 X\r\nNot-Executed: 1", "204 X"})
			for (const std::string &framing : ERROR_FRAMINGS)
				expect_error_not_relayed(
					by_peer, "",
					std::string("HTTP/1.1 ") + first +
						"\r\nResponse-Signature: s\r\n"
						"Request-Id: r1\r\n" +
						framing);
}

TEST(FaultyTarget, SuccessOfAnotherTypeAfterTheFirstEventIsNoPartOfTheStream)
{
	for (bool by_peer : {false, true})
		for (const std::string &framing : ERROR_FRAMINGS)
			expect_error_not_relayed(
				by_peer, "",
				"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
				"Content-Type: application/json\r\n" +
					framing);
}

TEST(FaultyTarget, ErrorWhereACallerTakesAStreamUpIsNoSuccess)
{
	for (bool by_peer : {false, true})
		for (const std::string &framing : ERROR_FRAMINGS) {
			Target a({{"HTTP/1.1 500 X\r\nResponse-Signature: "
				   "s\r\n" +
					   framing,
				   true}});
			Way way(by_peer, {&a});
			std::string got =
				way.ask("/stream/x", "Last-Event-Id: 1\r\n");

			EXPECT_NE(200, status(got)) << framing;
			EXPECT_EQ(0u, got.rfind("HTTP/1.1")) << framing;
		}
}

TEST(FaultyTarget, ErrorWrittenIntoABrokenStreamIsNoEndOfIt)
{
	for (bool by_peer : {false, true})
		for (const std::string &framing : ERROR_FRAMINGS) {
			Target a({{STREAM_HEAD + chunk(EVENT_1) +
					   "HTTP/1.1 500 X\r\n" + framing,
				   true}});
			Way way(by_peer, {&a});
			std::string got = way.ask("/stream/x");

			EXPECT_TRUE(has(got, EVENT_1)) << framing;
			EXPECT_FALSE(has(got, "broke")) << framing;
			EXPECT_FALSE(has(got, "0\r\n\r\n")) << framing;
			EXPECT_EQ(0u, got.rfind("HTTP/1.1")) << framing;
		}
}

} // namespace
