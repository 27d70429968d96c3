/*
 * lab.h - what the stand-ins of the third review share: sockets, HTTP messages, the
 * settings of daemons, and the record of what was sent, answered and run.
 */
#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define HOSTS_MAX 8
#define DISKS 3 /* the first hosts have one, and are the core */
#define FIELDS_MAX 48

/* A message's first line, its fields, and its body. */
typedef struct msg {
	char text[32768]; /* head; the pointers below point into it */
	char *line;
	char *name[FIELDS_MAX], *value[FIELDS_MAX];
	int n_fields;
	char *body;
	size_t body_n;
} msg_t;

/* A connection with bytes that were read and not used. */
typedef struct conn {
	int fd;
	char in[65536];
	size_t n;
} conn_t;

/* The daemons under test. */
typedef struct lab {
	char dir[256];
	char net[20]; /* first three numbers of all addresses */
	char bin[256];
	int front, ready, control, directory, peer, list;
	int n;			  /* daemons; set before lab_init() */
	pid_t pid[HOSTS_MAX + 1]; /* by number, from 1 */
	/* The host that read the platform's list last: it dispatches. */
	_Atomic int reader;
} lab_t;

double now_s(void);
void sleep_s(double s);

/* Writes a line, with the time, to the record. */
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void record_open(const char *path);

void host_ip(const lab_t *l, int host, char *out, size_t size);
int listen_on(const char *ip, int *port);
/* -1: it fails, or takes longer. */
int connect_to(const char *ip, int port, double timeout);
/* Number of the host at the other end; 0: none of them. */
int peer_host(const lab_t *l, int fd);

bool send_all(int fd, const char *p, size_t n);
/* Reads a message: false where the connection ends first. status: of an answer. */
bool read_msg(conn_t *c, msg_t *m, bool is_answer, int *status);
void msg_free(msg_t *m);
const char *msg_field(const msg_t *m, const char *name);

/* One call on a connection of its own: the status, or 0. */
int call(const char *ip, int port, const char *method, const char *path,
	 const char *body);

/* Chooses addresses and ports, and writes the settings of all hosts. */
void lab_init(lab_t *l, const char *bin, const char *dir);
void lab_start(lab_t *l, int host);
void lab_stop_all(lab_t *l);
/* Kills the host; wipe: its disk is lost, too, and it is no first start any more. */
void lab_kill(lab_t *l, int host, bool wipe);
/* Until all hosts are ready and the manifest is confirmed; false: not in time. */
bool lab_wait_ready(lab_t *l, const char *manifest);
/* Serves the platform's list, whose rows the function writes. */
void lab_serve_list(lab_t *l, void (*rows)(char *out, size_t size));

#endif
