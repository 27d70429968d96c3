// Connections to targets by way of another daemon: bytes, ends, and what is refused.
#include <gtest/gtest.h>

#include <atomic>
#include <mutex>

#include "loop_util.h"
#include "tunnel.h"

using namespace loop_util;

namespace
{

const str_t SECRET = STR("secret");

// A target that sends bytes to the first connection, then closes, resets or waits.
struct Target {
	enum End {
		CLOSE,
		RESET,
		WAIT
	};

	// opened: sent after the first bytes; the others after the next ones.
	Target(const std::string &bytes, End end,
	       const std::string &opened = "")
	    : bytes(bytes), opened(opened), end(end)
	{
		fd = listen_loopback(&port);
		thread = std::thread([this] { serve(); });
	}
	~Target()
	{
		shutdown(fd, SHUT_RDWR);
		thread.join();
		close(fd);
	}
	void serve()
	{
		struct linger abort_on_close = {1, 0};
		char buf[256];
		int c = accept(fd, nullptr, nullptr);

		if (c < 0)
			return;
		ssize_t n = recv(c, buf, sizeof(buf), 0);
		if (n > 0 && !opened.empty()) {
			(void)!send(c, opened.data(), opened.size(),
				    MSG_NOSIGNAL);
			n = recv(c, buf, sizeof(buf), 0);
		}
		if (n > 0)
			received.assign(buf, (size_t)n);
		(void)!send(c, bytes.data(), bytes.size(), MSG_NOSIGNAL);
		if (end == RESET) {
			usleep(30000);
			setsockopt(c, SOL_SOCKET, SO_LINGER, &abort_on_close,
				   sizeof(abort_on_close));
		}
		if (end == WAIT)
			closed_by_peer = recv(c, buf, 1, 0) <= 0;
		close(c);
	}
	std::string addr() const
	{
		return "127.0.0.1:" + std::to_string(port);
	}

	std::string bytes, opened, received;
	End end;
	uint16_t port;
	int fd;
	std::atomic<bool> closed_by_peer{false};
	std::thread thread;
};

// What an http1 connection by way of the daemon brings.
struct Response {
	http1_conn_t *conn = nullptr;
	std::string body;
	bool connected = false, complete = false, closed = false;
	http1_close_reason_t why = HTTP1_CLOSED_LOCALLY;
};

struct Fixture {
	Fixture()
	{
		tunnels_cfg_t cfg = {loopback_addr(), {}, SECRET};

		port = free_port();
		cfg.listen.sin_port = htons(port);
		tunnels = tunnels_new(l.loop, &cfg);
		l.start();
	}
	~Fixture()
	{
		l.call([&] { tunnels_free(tunnels); });
		l.stop();
	}
	void connect(Response &r, const std::string &target,
		     str_t secret = SECRET)
	{
		static const http1_ops_t ops = {
			[](void *ctx) {
				Response *r = (Response *)ctx;

				r->connected = true;
				http1_send(r->conn, "GET / HTTP/1.1\r\n\r\n",
					   18);
			},
			nullptr,
			[](void *ctx, str_t p) {
				((Response *)ctx)->body.append(p.p, p.n);
			},
			[](void *ctx) { ((Response *)ctx)->complete = true; },
			[](void *ctx, http1_close_reason_t why) {
				((Response *)ctx)->why = why;
				((Response *)ctx)->closed = true;
			},
			nullptr};

		l.call([&] {
			http1_dial_t dial = {loopback_addr(), {}, USEC_PER_SEC};
			buf_t opening = {};

			dial.to.sin_port = htons(port);
			tunnel_write_open(&opening, secret,
					  str_n(target.data(), target.size()),
					  500 * USEC_PER_MSEC);
			dial.opening = buf_str(&opening);
			dial.opened = tunnel_read_opened;
			r.conn = http1_connect(l.loop, &dial, &ops, &r);
			buf_free(&opening);
		});
	}
	void await(const bool &flag)
	{
		for (int i = 0; i < 300; i++) {
			bool is_set = false;

			l.call([&] { is_set = flag; });
			if (is_set)
				return;
			usleep(10000);
		}
		ADD_FAILURE() << "nothing came";
	}
	size_t n_open()
	{
		size_t n = 0;

		l.call([&] { n = tunnels_count(tunnels); });
		return n;
	}

	Loop l;
	tunnels_t *tunnels;
	uint16_t port;
};

const char *const HEAD = "HTTP/1.1 200 OK\r\n\r\n";

TEST(Tunnel, BytesGoBothWaysAndAnOrderlyCloseEndsTheResponse)
{
	std::string body(300000, 'x');
	Target t(HEAD + body, Target::CLOSE);
	Fixture f;
	Response r;

	f.connect(r, t.addr());
	f.await(r.complete);
	EXPECT_EQ(body, r.body);
	EXPECT_EQ("GET / HTTP/1.1\r\n\r\n", t.received);
	for (int i = 0; i < 100 && f.n_open(); i++)
		usleep(10000);
	EXPECT_EQ(0u, f.n_open());
}

TEST(Tunnel, AResetOfTheTargetDoesNotEndTheResponse)
{
	Target t(std::string(HEAD) + "begin", Target::RESET);
	Fixture f;
	Response r;

	f.connect(r, t.addr());
	f.await(r.closed);
	EXPECT_EQ(HTTP1_RESET, r.why);
	EXPECT_FALSE(r.complete);
}

TEST(Tunnel, AnEndOfTheOtherDaemonDoesNotEndTheResponse)
{
	Target t(std::string(HEAD) + "begin", Target::WAIT);
	Fixture f;
	Response r;

	f.connect(r, t.addr());
	f.await(r.connected);
	usleep(100000);
	// As the kernel does it for a process that is killed.
	f.l.call([&] {
		tunnels_free(f.tunnels);
		f.tunnels = nullptr;
	});
	f.await(r.closed);
	EXPECT_EQ(HTTP1_RESET, r.why);
	EXPECT_FALSE(r.complete);
}

const std::string OPENED("\0\0\0\2\x08\1", 6); // the reply to an opening

TEST(Tunnel, BytesThatComeWithTheReplyToTheOpeningAreNoAnswer)
{
	std::string greeting = std::string("\0\0\0\x18", 4) + HEAD + "begin";
	Target daemon("", Target::CLOSE, OPENED + greeting);
	Fixture f;
	Response r;

	f.port = daemon.port;
	f.connect(r, "127.0.0.1:1");
	f.await(r.closed);
	EXPECT_FALSE(r.connected);
	EXPECT_EQ("", r.body);
	EXPECT_EQ("", daemon.received);
}

// What a daemon sends whose process is killed: no frame that ends the target's bytes.
TEST(Tunnel, AnOrderlyCloseWithoutTheEmptyFrameDoesNotEndTheResponse)
{
	std::string sent = std::string("\0\0\0\x18", 4) + HEAD + "begin";
	Target daemon(sent, Target::CLOSE, OPENED);
	Fixture f;
	Response r;

	ASSERT_EQ(0x18u, std::string(HEAD).size() + 5);
	f.port = daemon.port;
	f.connect(r, "127.0.0.1:1");
	f.await(r.closed);
	EXPECT_TRUE(r.connected);
	EXPECT_EQ("begin", r.body);
	EXPECT_EQ(HTTP1_RESET, r.why);
	EXPECT_FALSE(r.complete);
}

TEST(Tunnel, TheTargetIsClosedOnceTheOpenerIsGone)
{
	Target t(std::string(HEAD) + "begin", Target::WAIT);
	Fixture f;
	Response r;

	f.connect(r, t.addr());
	f.await(r.connected);
	usleep(50000);
	f.l.call([&] { http1_close(r.conn); });
	for (int i = 0; i < 100 && !t.closed_by_peer; i++)
		usleep(10000);
	EXPECT_TRUE(t.closed_by_peer);
}

// A plain connection to the daemon: opens a tunnel, and sends without reading.
struct Opener : Client {
	Opener(Fixture &f, const std::string &target) : Client(f.port)
	{
		buf_t opening = {};

		tunnel_write_open(&opening, SECRET,
				  str_n(target.data(), target.size()),
				  500 * USEC_PER_MSEC);
		send(std::string(opening.p, opening.n));
		buf_free(&opening);
	}
	// Nothing may be sent before the daemon has said that the tunnel is open.
	void await_open()
	{
		size_t before;

		do {
			before = received.size();
			read_bytes(before + 1);
		} while (received.size() > before &&
			 tunnel_read_opened(
				 str_n(received.data(), received.size())) == 0);
	}
};

void expect_no_tunnel(Fixture &f)
{
	for (int i = 0; i < 100 && f.n_open(); i++)
		usleep(5000);
	EXPECT_EQ(0u, f.n_open());
}

TEST(Tunnel, EndsAsItsOpenerLeavesWithoutReadingTheTarget)
{
	Target t(HEAD + std::string(8 << 20, 'x'), Target::CLOSE);
	Fixture f;

	{
		Opener o(f, t.addr());

		o.await_open();
		o.send("GET / HTTP/1.1\r\n\r\n");
		usleep(100000);
		EXPECT_EQ(1u, f.n_open());
	}
	expect_no_tunnel(f);
}

// Guards against the memory of a host that serves tunnels of openers that do not read.
TEST(Tunnel, WhatWaitsInManyTunnelsIsHeldUpToTheLimitOfAll)
{
	const size_t many = 16;
	const size_t limit = 128 << 10;
	std::vector<std::unique_ptr<Target>> targets;
	std::vector<std::unique_ptr<Opener>> openers;
	Fixture f;
	size_t unsent = 0;
	size_t most = 0;

	f.l.call([&] { tunnels_limit_unsent(f.tunnels, limit); });
	for (size_t i = 0; i < many; i++) {
		targets.push_back(std::make_unique<Target>(
			HEAD + std::string(16 << 20, 'x'), Target::CLOSE));
		openers.push_back(
			std::make_unique<Opener>(f, targets.back()->addr()));
		openers.back()->await_open();
		openers.back()->send("GET / HTTP/1.1\r\n\r\n");
	}
	for (int i = 0; i < 60; i++) {
		f.l.call([&] { unsent = tunnels_unsent_bytes(f.tunnels); });
		most = std::max(most, unsent);
		usleep(10000);
	}
	EXPECT_GE(most, limit / 2);
	// Beyond the limit each may have its least part, and one piece that was read.
	EXPECT_LE(most, limit + many * (21 << 10));
	openers.clear();
	expect_no_tunnel(f);
	f.l.call([&] { unsent = tunnels_unsent_bytes(f.tunnels); });
	EXPECT_EQ(0u, unsent);
}

TEST(Tunnel, EndsAsItsOpenerLeavesBeforeItIsOpen)
{
	Fixture f;

	{
		Client o(f.port);

		o.send(std::string("\0\0", 2));
		for (int i = 0; i < 100 && !f.n_open(); i++)
			usleep(5000);
		usleep(50000);
		EXPECT_EQ(1u, f.n_open());
	}
	expect_no_tunnel(f);
}

TEST(Tunnel, ATargetThatCannotBeConnectedIsRefused)
{
	Fixture f;
	Response r;

	f.connect(r, "127.0.0.1:" + std::to_string(free_port()));
	f.await(r.closed);
	EXPECT_EQ(HTTP1_REFUSED, r.why);
	EXPECT_FALSE(r.connected);
}

TEST(Tunnel, WhoDoesNotProveTheSecretIsCutOff)
{
	Target t(HEAD, Target::CLOSE);
	Fixture f;
	Response r;

	f.connect(r, t.addr(), STR("another secret"));
	f.await(r.closed);
	EXPECT_FALSE(r.connected);
	EXPECT_EQ("", t.received);
}

} // namespace
