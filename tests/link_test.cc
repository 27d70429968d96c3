// Links between real sockets on loopback: delivery, proofs, silence, bounds,
// and hostile bytes.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <random>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "counter.h"
#include "link.h"
#include "log.h"

namespace
{

int bound_socket(uint16_t *port)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;
	sockaddr_in a = {};
	socklen_t n = sizeof(a);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	a.sin_family = AF_INET;
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	bind(fd, (sockaddr *)&a, sizeof(a));
	getsockname(fd, (sockaddr *)&a, &n);
	*port = ntohs(a.sin_port);
	return fd;
}

std::string free_addr()
{
	uint16_t port;
	int fd = bound_socket(&port);

	close(fd);
	return "127.0.0.1:" + std::to_string(port);
}

// Waits for a condition; generous, for slow machines.
bool eventually(const std::function<bool()> &ok)
{
	for (int i = 0; i < 2000; i++) {
		if (ok())
			return true;
		std::this_thread::sleep_for(std::chrono::milliseconds(5));
	}
	return false;
}

struct Node {
	explicit Node(host_id_t id, const char *secret = "0123456789abcdef",
		      const char *cluster = "c", uint32_t queue_max = 1 << 20)
	    : id(id), addr(free_addr())
	{
		link_cfg_t cfg = {};
		link_ops_t ops = {on_recv, on_link_changed};

		cfg.self = id;
		cfg.cluster = str_c(cluster);
		cfg.secret = str_c(secret);
		cfg.listen = str_c(addr.c_str());
		cfg.frame_max = 65536;
		cfg.queue_max = queue_max;
		cfg.heartbeat_us = 20000;
		cfg.silence_timeout_us = 200000;
		timers = timer_svc_new_real();
		links = links_new(&cfg, &ops, this, timers);
		EXPECT_EQ(links_start(links), 0);
	}
	~Node()
	{
		links_free(links);
		timer_svc_free(timers);
	}
	static void on_recv(void *ctx, host_id_t from, link_channel_t ch,
			    const void *p, size_t n)
	{
		Node *self = (Node *)ctx;
		std::lock_guard<std::mutex> g(self->lock);

		self->got.push_back(std::to_string(from) + ":" +
				    std::to_string(ch) + ":" +
				    std::string((const char *)p, n));
	}
	static void on_link_changed(void *ctx, host_id_t peer, bool up)
	{
		Node *self = (Node *)ctx;
		std::lock_guard<std::mutex> g(self->lock);

		(up ? self->ups : self->downs)++;
	}
	size_t count()
	{
		std::lock_guard<std::mutex> g(lock);

		return got.size();
	}
	int n_downs()
	{
		std::lock_guard<std::mutex> g(lock);

		return downs;
	}
	void know(const Node &o)
	{
		links_set_peer(links, o.id, str_c(o.addr.c_str()));
	}
	bool send(const Node &to, const std::string &text)
	{
		return links_send(links, to.id, LINK_STATE, text.data(),
				  text.size());
	}
	host_id_t id;
	std::string addr;
	timer_svc_t *timers;
	links_t *links;
	std::mutex lock;
	std::vector<std::string> got;
	int ups = 0;
	int downs = 0;
};

int raw_connect(const std::string &addr)
{
	sockaddr_in a = {};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_family = AF_INET;
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	a.sin_port = htons(std::stoi(addr.substr(addr.find(':') + 1)));
	EXPECT_EQ(connect(fd, (sockaddr *)&a, sizeof(a)), 0);
	return fd;
}

// Sends raw bytes and waits until the node has closed the connection.
void send_raw(const Node &n, const std::string &bytes)
{
	int fd = raw_connect(n.addr);
	char sink[4096];

	(void)!send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
	shutdown(fd, SHUT_WR);
	while (recv(fd, sink, sizeof(sink), 0) > 0)
		;
	close(fd);
}

class Link : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		log_set_level(LOG_ERR);
	}
};

} // namespace

TEST_F(Link, DeliversBothWaysInOrderOverOneDial)
{
	Node a(1), b(2);

	a.know(b);
	b.know(a);
	for (int i = 0; i < 100; i++)
		ASSERT_TRUE(a.send(b, std::to_string(i)));
	ASSERT_TRUE(eventually([&] { return b.count() == 100; }));
	for (int i = 0; i < 100; i++)
		EXPECT_EQ(b.got[i], "1:1:" + std::to_string(i));
	uint64_t dials = counter_get(CTR_LINK_DIALS);

	ASSERT_TRUE(b.send(a, "back"));
	ASSERT_TRUE(eventually([&] { return a.count() == 1; }));
	EXPECT_EQ(counter_get(CTR_LINK_DIALS), dials);
}

TEST_F(Link, CutsWrongSecretClusterAndUnknownPeers)
{
	Node a(1), secret(2, "fedcba9876543210"),
		cluster(3, "0123456789abcdef", "other"), unknown(4);
	const struct {
		Node *node;
		counter_t counter;
		bool known;
	} cases[] = {
		{&secret, CTR_LINK_CUT_SECRET, true},
		{&cluster, CTR_LINK_CUT_CLUSTER, true},
		{&unknown, CTR_LINK_CUT_UNKNOWN, false},
	};

	for (const auto &c : cases) {
		uint64_t before = counter_get(c.counter);

		c.node->know(a);
		if (c.known)
			a.know(*c.node);
		c.node->send(a, "x");
		EXPECT_TRUE(eventually(
			[&] { return counter_get(c.counter) > before; }));
		EXPECT_TRUE(eventually([&] { return c.node->n_downs() > 0; }));
	}
	EXPECT_EQ(a.count(), 0u);
}

TEST_F(Link, DropsWhileThePeerIsDownAndRecovers)
{
	Node a(1);
	std::string addr = free_addr();
	uint64_t dials = counter_get(CTR_LINK_DIALS);

	links_set_peer(a.links, 2, str_c(addr.c_str()));
	links_send(a.links, 2, LINK_STATE, "x", 1);
	ASSERT_TRUE(eventually([&] { return a.n_downs() > 0; }));
	EXPECT_GT(counter_get(CTR_LINK_DIALS), dials);
	// Unknown hosts and oversized messages are refused at once.
	EXPECT_FALSE(links_send(a.links, 9, LINK_STATE, "x", 1));
	std::string large(70000, 'x');
	EXPECT_FALSE(
		links_send(a.links, 2, LINK_STATE, large.data(), large.size()));

	Node b(2);
	b.know(a);
	a.know(b);
	EXPECT_TRUE(eventually([&] {
		a.send(b, "y");
		return b.count() > 0;
	}));
}

// A peer that accepts and then never speaks, as one behind a lost NAT entry.
TEST_F(Link, FindsASilentPeerAndDialsAgain)
{
	Node a(1);
	uint16_t port;
	int fd = bound_socket(&port);
	std::string addr = "127.0.0.1:" + std::to_string(port);
	uint64_t silent = counter_get(CTR_LINK_CUT_SILENT);
	uint64_t dials = counter_get(CTR_LINK_DIALS);

	listen(fd, 8);
	links_set_peer(a.links, 2, str_c(addr.c_str()));
	EXPECT_TRUE(eventually([&] {
		links_send(a.links, 2, LINK_STATE, "x", 1);
		return counter_get(CTR_LINK_CUT_SILENT) > silent &&
		       counter_get(CTR_LINK_DIALS) > dials + 1;
	}));
	EXPECT_TRUE(eventually([&] { return a.n_downs() > 0; }));
	close(fd);
}

TEST_F(Link, QueueOfOnePeerIsBounded)
{
	Node a(1, "0123456789abcdef", "c", 10000);
	uint16_t port;
	int fd = bound_socket(&port);
	std::string addr = "127.0.0.1:" + std::to_string(port);
	int taken = 0;

	listen(fd, 8);
	links_set_peer(a.links, 2, str_c(addr.c_str()));
	std::string kb(1000, 'x');
	for (int i = 0; i < 100; i++)
		taken += links_send(a.links, 2, LINK_STATE, kb.data(),
				    kb.size());
	EXPECT_GE(taken, 1);
	EXPECT_LE(taken, 10);
	close(fd);
}

TEST_F(Link, RestartedPeerIsReachedAgain)
{
	Node a(1);
	std::string addr;

	{
		Node b(2);

		addr = b.addr;
		a.know(b);
		b.know(a);
		a.send(b, "x");
		ASSERT_TRUE(eventually([&] { return b.count() == 1; }));
	}
	ASSERT_TRUE(eventually([&] { return a.n_downs() > 0; }));
	Node b(2);
	b.know(a);
	a.know(b);
	EXPECT_TRUE(eventually([&] {
		a.send(b, "y");
		return b.count() > 0;
	}));
}

TEST_F(Link, OversizedAndMalformedFramesAreCutAndCounted)
{
	Node a(1);
	uint64_t oversize = counter_get(CTR_LINK_CUT_OVERSIZE);
	uint64_t malformed = counter_get(CTR_LINK_CUT_MALFORMED);

	send_raw(a, std::string("\x7f\xff\xff\xff", 4));
	EXPECT_TRUE(eventually([&] {
		return counter_get(CTR_LINK_CUT_OVERSIZE) == oversize + 1;
	}));
	send_raw(a, std::string("\0\0\0\4\xff\xff\xff\xff", 8));
	send_raw(a, std::string("\0\0\0\0", 4));
	// Data before any proof.
	send_raw(a, std::string("\0\0\0\7\x1a\5\x08\1\x12\1x", 11));
	EXPECT_TRUE(eventually([&] {
		return counter_get(CTR_LINK_CUT_MALFORMED) == malformed + 3;
	}));
	EXPECT_EQ(a.count(), 0u);
}

// Random and mutated frames never reach the core and never hurt a good link.
TEST_F(Link, SurvivesRandomAndMutatedFrames)
{
	Node a(1), b(2);
	std::mt19937 rng(20261203);
	// A well-formed hello of host 2, to be mutated.
	std::string hello("\0\0\0\x2d\x0a\x2b\x08\1\x12\1c\x18\2\x20\1\x2a\x20",
			  17);

	hello += std::string(32, 'n');
	a.know(b);
	b.know(a);
	ASSERT_TRUE(b.send(a, "first"));
	ASSERT_TRUE(eventually([&] { return a.count() == 1; }));
	for (int round = 0; round < 300; round++) {
		std::string bytes = hello;

		if (round % 3 == 0) {
			bytes.resize(rng() % 200);
			for (char &c : bytes)
				c = (char)rng();
		} else {
			for (unsigned k = rng() % 4 + 1; k; k--)
				bytes[rng() % bytes.size()] = (char)rng();
			if (round % 3 == 1)
				bytes += bytes;
		}
		send_raw(a, bytes);
	}
	ASSERT_TRUE(b.send(a, "last"));
	ASSERT_TRUE(eventually([&] { return a.count() >= 2; }));
	EXPECT_EQ(a.got[0], "2:1:first");
	EXPECT_EQ(a.got[1], "2:1:last");
	EXPECT_EQ(a.count(), 2u);
}
