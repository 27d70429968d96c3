/* socket.c - TCP sockets of the site daemon. */
#include "socket.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "util.h"

#define LISTEN_BACKLOG 512
/*
 * TCP_USER_TIMEOUT: a peer that acknowledges nothing for so long is gone. The kernel
 * also ends the connection of a peer that is there but has no room for so long.
 */
#define USER_TIMEOUT_MS 4000
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 3

/* Bounds of socket_limit_buffers(): a connection has to stay fast. */
#define BUFFER_MIN (64u << 10)
#define BUFFER_MAX (1u << 20)

/* Of each socket; 0: the kernel chooses. Used on the loop's thread alone. */
static int buffer_bytes;

void socket_limit_buffers(uint64_t bytes)
{
	if (bytes && bytes < BUFFER_MIN)
		bytes = BUFFER_MIN;
	buffer_bytes = (int)(bytes < BUFFER_MAX ? bytes : BUFFER_MAX);
}

/*
 * What is sent but not acknowledged is bounded by what the other end takes, so only
 * bytes that cannot be sent yet have to be limited.
 */
static void limit_buffers(int fd)
{
	setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &buffer_bytes,
		   sizeof(buffer_bytes));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
		   sizeof(buffer_bytes));
}

void socket_set_user_timeout(int fd, int64_t us)
{
	const unsigned int ms =
		us ? (unsigned int)(us / USEC_PER_MSEC) : USER_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

void socket_set_options(int fd)
{
	const int one = 1;
	const int idle = KEEPALIVE_INTERVAL_S;
	const int probes = KEEPALIVE_PROBES;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	socket_set_user_timeout(fd, 0);
	if (buffer_bytes)
		limit_buffers(fd);
}

/* The port is chosen when the socket connects: each peer has all ports. */
static int bind_to(int fd, struct in_addr from)
{
	const struct sockaddr_in addr = {.sin_family = AF_INET,
					 .sin_addr = from};
	const int one = 1;

	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one, sizeof(one));
	return bind(fd, (const struct sockaddr *)&addr, sizeof(addr));
}

int socket_connect(const struct sockaddr_in *to, struct in_addr from)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (from.s_addr && bind_to(fd, from) < 0)
		goto fail;
	if (connect(fd, (const struct sockaddr *)to, sizeof(*to)) < 0 &&
	    errno != EINPROGRESS)
		goto fail;
	return fd;
fail:
	close(fd);
	return -1;
}

int socket_listen(const struct sockaddr_in *addr)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	const int one = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (const struct sockaddr *)addr, sizeof(*addr)) < 0 ||
	    listen(fd, LISTEN_BACKLOG) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}
