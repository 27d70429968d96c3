/* socket.h - options of TCP sockets that all connections of the site daemon have. */
#ifndef DK_SOCKET_H
#define DK_SOCKET_H

#include <netinet/in.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Limits what the kernel buffers for each connection made from now on, in each
 * direction; 0: no limit. The kernel's own limits are some megabytes, which count
 * toward the memory of the host.
 */
void socket_limit_buffers(uint64_t bytes);
/* How long a peer may acknowledge nothing, or have no room; 0: as at first. */
void socket_set_user_timeout(int fd, int64_t us);
/* No delay, and an end within seconds if the other end is gone. */
void socket_set_options(int fd);
/*
 * A socket that connects, without waiting, from this address (0: any). -1 with errno
 * set where that fails at once.
 */
int socket_connect(const struct sockaddr_in *to, struct in_addr from);
/* A socket that listens. -1 with errno set. */
int socket_listen(const struct sockaddr_in *addr);

#ifdef __cplusplus
}
#endif
#endif
