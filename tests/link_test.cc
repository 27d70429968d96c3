// Links over real sockets on loopback: delivery, authentication, detection of
// silent peers, bounded queues, and hostile bytes.
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

// Waits up to 10 s, enough for slow machines, until the condition holds.
bool eventually(const std::function<bool()> &condition)
{
	for (int i = 0; i < 2000; i++) {
		if (condition())
			return true;
		std::this_thread::sleep_for(std::chrono::milliseconds(5));
	}
	return false;
}

// One host's end of all its links, with what its callbacks received.
struct Node {
	explicit Node(host_id_t id, const char *secret = "0123456789abcdef",
		      const char *cluster = "c", uint32_t queue_max = 1 << 20,
		      int64_t silence_timeout_us = 200000)
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
		cfg.silence_timeout_us = silence_timeout_us;
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

		self->received.push_back(std::to_string(from) + ":" +
					 std::to_string(ch) + ":" +
					 std::string((const char *)p, n));
	}
	static void on_link_changed(void *ctx, host_id_t peer, bool up)
	{
		Node *self = (Node *)ctx;
		std::lock_guard<std::mutex> g(self->lock);

		(up ? self->ups : self->downs)++;
	}
	size_t n_received()
	{
		std::lock_guard<std::mutex> g(lock);

		return received.size();
	}
	int n_downs()
	{
		std::lock_guard<std::mutex> g(lock);

		return downs;
	}
	void set_peer(const Node &o)
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
	std::vector<std::string> received;
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

// Sends bytes on a connection of their own and waits until the node closes it.
void send_raw_and_wait(const Node &n, const std::string &bytes)
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

	a.set_peer(b);
	b.set_peer(a);
	for (int i = 0; i < 100; i++)
		ASSERT_TRUE(a.send(b, std::to_string(i)));
	ASSERT_TRUE(eventually([&] { return b.n_received() == 100; }));
	for (int i = 0; i < 100; i++)
		EXPECT_EQ(b.received[i], "1:1:" + std::to_string(i));
	uint64_t dials_before = counter_get(CTR_LINK_DIALS);

	ASSERT_TRUE(b.send(a, "back"));
	ASSERT_TRUE(eventually([&] { return a.n_received() == 1; }));
	EXPECT_EQ(counter_get(CTR_LINK_DIALS), dials_before);
}

TEST_F(Link, ClosesAndCountsWrongSecretOtherClusterAndUnknownHost)
{
	Node a(1), secret(2, "fedcba9876543210"),
		cluster(3, "0123456789abcdef", "other"), unknown(4);
	const struct {
		Node *node;
		counter_t counter;
		bool is_peer;
	} cases[] = {
		{&secret, CTR_LINK_CUT_SECRET, true},
		{&cluster, CTR_LINK_CUT_CLUSTER, true},
		{&unknown, CTR_LINK_CUT_UNKNOWN, false},
	};

	for (const auto &c : cases) {
		uint64_t count_before = counter_get(c.counter);

		c.node->set_peer(a);
		if (c.is_peer)
			a.set_peer(*c.node);
		c.node->send(a, "x");
		EXPECT_TRUE(eventually(
			[&] { return counter_get(c.counter) > count_before; }));
		EXPECT_TRUE(eventually([&] { return c.node->n_downs() > 0; }));
	}
	EXPECT_EQ(a.n_received(), 0u);
}

TEST_F(Link, DropsMessagesWhileThePeerIsDownAndReconnects)
{
	Node a(1);
	std::string addr = free_addr();
	uint64_t dials_before = counter_get(CTR_LINK_DIALS);

	links_set_peer(a.links, 2, str_c(addr.c_str()));
	links_send(a.links, 2, LINK_STATE, "x", 1);
	ASSERT_TRUE(eventually([&] { return a.n_downs() > 0; }));
	EXPECT_GT(counter_get(CTR_LINK_DIALS), dials_before);
	// Messages to unknown hosts and oversized ones are dropped at once.
	EXPECT_FALSE(links_send(a.links, 9, LINK_STATE, "x", 1));
	std::string large(70000, 'x');
	EXPECT_FALSE(
		links_send(a.links, 2, LINK_STATE, large.data(), large.size()));

	Node b(2);
	b.set_peer(a);
	a.set_peer(b);
	EXPECT_TRUE(eventually([&] {
		a.send(b, "y");
		return b.n_received() > 0;
	}));
}

// The first SYN is lost: it meets a full backlog, as it would a host without
// power. The next connection is begun long before the silence timeout, and the
// message that waited is delivered by it.
TEST_F(Link, DialsAgainWithoutWaitingForALostSyn)
{
	const int64_t never_us = 3600 * 1000000ll;
	Node a(1, "0123456789abcdef", "c", 1 << 20, never_us);
	uint16_t port;
	int full = bound_socket(&port);
	std::string addr = "127.0.0.1:" + std::to_string(port);
	uint64_t dials_before = counter_get(CTR_LINK_DIALS);

	listen(full, 0);
	int fill = raw_connect(addr); // the backlog holds one connection
	links_set_peer(a.links, 2, str_c(addr.c_str()));
	EXPECT_TRUE(links_send(a.links, 2, LINK_STATE, "x", 1));
	EXPECT_TRUE(eventually([&] {
		return counter_get(CTR_LINK_DIALS) >= dials_before + 3;
	}));
	EXPECT_EQ(0, a.n_downs());
	close(fill);
	close(full);
	Node b(2);
	b.set_peer(a);
	a.set_peer(b);
	EXPECT_TRUE(eventually([&] { return b.n_received() > 0; }));
}

// The peer accepts connections and never sends a byte, as one behind a NAT that
// has lost its entry.
TEST_F(Link, ClosesASilentConnectionAndDialsAgain)
{
	Node a(1);
	uint16_t port;
	int fd = bound_socket(&port);
	std::string addr = "127.0.0.1:" + std::to_string(port);
	uint64_t silent_before = counter_get(CTR_LINK_CUT_SILENT);
	uint64_t dials_before = counter_get(CTR_LINK_DIALS);

	listen(fd, 8);
	links_set_peer(a.links, 2, str_c(addr.c_str()));
	EXPECT_TRUE(eventually([&] {
		links_send(a.links, 2, LINK_STATE, "x", 1);
		return counter_get(CTR_LINK_CUT_SILENT) > silent_before &&
		       counter_get(CTR_LINK_DIALS) > dials_before + 1;
	}));
	EXPECT_TRUE(eventually([&] { return a.n_downs() > 0; }));
	close(fd);
}

TEST_F(Link, BoundsTheQueueOfAPeer)
{
	Node a(1, "0123456789abcdef", "c", 10000);
	uint16_t port;
	int fd = bound_socket(&port);
	std::string addr = "127.0.0.1:" + std::to_string(port);
	int n_accepted = 0;

	listen(fd, 8);
	links_set_peer(a.links, 2, str_c(addr.c_str()));
	std::string message(1000, 'x');
	for (int i = 0; i < 100; i++)
		n_accepted += links_send(a.links, 2, LINK_STATE, message.data(),
					 message.size());
	EXPECT_GE(n_accepted, 1);
	EXPECT_LE(n_accepted, 10);
	close(fd);
}

TEST_F(Link, ReconnectsToARestartedPeer)
{
	Node a(1);
	std::string addr;

	{
		Node b(2);

		addr = b.addr;
		a.set_peer(b);
		b.set_peer(a);
		a.send(b, "x");
		ASSERT_TRUE(eventually([&] { return b.n_received() == 1; }));
	}
	ASSERT_TRUE(eventually([&] { return a.n_downs() > 0; }));
	Node b(2);
	b.set_peer(a);
	a.set_peer(b);
	EXPECT_TRUE(eventually([&] {
		a.send(b, "y");
		return b.n_received() > 0;
	}));
}

TEST_F(Link, ClosesAndCountsOversizedAndMalformedFrames)
{
	Node a(1);
	uint64_t oversize_before = counter_get(CTR_LINK_CUT_OVERSIZE);
	uint64_t malformed_before = counter_get(CTR_LINK_CUT_MALFORMED);

	send_raw_and_wait(a, std::string("\x7f\xff\xff\xff", 4));
	EXPECT_TRUE(eventually([&] {
		return counter_get(CTR_LINK_CUT_OVERSIZE) ==
		       oversize_before + 1;
	}));
	send_raw_and_wait(a, std::string("\0\0\0\4\xff\xff\xff\xff", 8));
	send_raw_and_wait(a, std::string("\0\0\0\0", 4));
	// A data frame before the handshake.
	send_raw_and_wait(a, std::string("\0\0\0\7\x1a\5\x08\1\x12\1x", 11));
	EXPECT_TRUE(eventually([&] {
		return counter_get(CTR_LINK_CUT_MALFORMED) ==
		       malformed_before + 3;
	}));
	EXPECT_EQ(a.n_received(), 0u);
}

// Random and mutated frames are never delivered as messages, and leave the link
// to another peer up.
TEST_F(Link, SurvivesRandomAndMutatedFrames)
{
	Node a(1), b(2);
	std::mt19937 rng(20261203);
	// A well-formed hello of host 2, to be mutated.
	std::string hello("\0\0\0\x2d\x0a\x2b\x08\1\x12\1c\x18\2\x20\1\x2a\x20",
			  17);

	hello += std::string(32, 'n');
	a.set_peer(b);
	b.set_peer(a);
	ASSERT_TRUE(b.send(a, "first"));
	ASSERT_TRUE(eventually([&] { return a.n_received() == 1; }));
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
		send_raw_and_wait(a, bytes);
	}
	ASSERT_TRUE(b.send(a, "last"));
	ASSERT_TRUE(eventually([&] { return a.n_received() >= 2; }));
	EXPECT_EQ(a.received[0], "2:1:first");
	EXPECT_EQ(a.received[1], "2:1:last");
	EXPECT_EQ(a.n_received(), 2u);
}
