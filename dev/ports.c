/* ports.c - prints N free loopback ports, one a line: ports N */
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <sys/socket.h>

/* Binds a free port and keeps it, so that the next one differs; or -1. */
static int free_port(void)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	socklen_t n = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)&sa, n) ||
	    getsockname(fd, (struct sockaddr *)&sa, &n))
		return -1;
	return ntohs(sa.sin_port);
}

int main(int argc, char **argv)
{
	int n = argc > 1 ? atoi(argv[1]) : 1;

	for (int i = 0; i < n; i++) {
		int port = free_port();

		if (port < 0) {
			perror("ports");
			return 1;
		}
		printf("%d\n", port);
	}
	return 0;
}
