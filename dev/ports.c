/*
 * ports.c - prints N free loopback ports, one per line: ports N
 *
 * The ports lie below the ephemeral range, so that no outgoing connection takes
 * the port of a daemon while it restarts.
 */
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <sys/random.h>
#include <sys/socket.h>

#define PORT_MIN 10000u
#define EPHEMERAL_RANGE_FILE "/proc/sys/net/ipv4/ip_local_port_range"
#define EPHEMERAL_MIN_DEFAULT 32768u

/* First port of the ephemeral range, which outgoing connections use. */
static unsigned int first_ephemeral_port(void)
{
	unsigned int min = EPHEMERAL_MIN_DEFAULT;
	FILE *f = fopen(EPHEMERAL_RANGE_FILE, "r");

	if (!f)
		return min;
	if (fscanf(f, "%u", &min) != 1 || min <= PORT_MIN)
		min = EPHEMERAL_MIN_DEFAULT;
	fclose(f);
	return min;
}

/* Binds a port and leaves it bound, so that it is not printed twice. 0 or -1. */
static int bind_port(unsigned int port)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sa.sin_port = htons((unsigned short)port);
	if (fd >= 0 && bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0)
		return 0;
	if (fd >= 0)
		close(fd);
	return -1;
}

int main(int argc, char **argv)
{
	unsigned int n = argc > 1 ? (unsigned int)atoi(argv[1]) : 1;
	unsigned int n_candidates = first_ephemeral_port() - PORT_MIN;
	unsigned int start = 0;

	if (getrandom(&start, sizeof(start), 0) < 0)
		start = (unsigned int)getpid();
	for (unsigned int i = 0; n && i < n_candidates; i++) {
		unsigned int port = PORT_MIN + (start + i) % n_candidates;

		if (bind_port(port))
			continue;
		printf("%u\n", port);
		n--;
	}
	if (n)
		fprintf(stderr, "ports: no free ports left\n");
	return n ? 1 : 0;
}
