/*
 * host_share.h - decides how often each host is listed in answers to address
 * requests, from its capacity and its load, and judges the load of this host.
 * The caller passes in time and random draws; no I/O and no lock.
 */
#ifndef DK_HOST_SHARE_H
#define DK_HOST_SHARE_H

#include "decided.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What a host may use; 0 in a field: not known, so it bounds nothing. */
typedef struct host_capacity {
	double cores; /* of processor time in each second */
	double link_mbit_per_s;
	uint32_t memory_mb;
	uint32_t fds;
	bool has_disk; /* it may carry the replicated log */
} host_capacity_t;

bool host_capacity_is_known(const host_capacity_t *c);
/* Appends the body of a host's capacity document. */
void host_capacity_write(const host_capacity_t *c, buf_t *out);
/* 0, or -1 where body is of no known form; *out is zeroed then. */
int host_capacity_read(str_t body, host_capacity_t *out);
/* Streams that the host can relay at once, bounded by its scarcest resource. */
double host_capacity_streams(const host_capacity_t *c);

/* X(NAME, "name") - in the order of severity. */
#define HOST_LOADS(X)           \
	X(NORMAL, "normal")     \
	X(STRAINED, "strained") \
	X(FULL, "full")

typedef enum host_load {
#define X(name, text) HOST_LOAD_##name,
	HOST_LOADS(X)
#undef X
	HOST_LOAD_COUNT,
} host_load_t;

const char *host_load_name(host_load_t load);

/* A live host, for host_share_select(). */
typedef struct host_row {
	host_id_t id;
	str_t zone;
	host_capacity_t capacity;
	host_load_t load;
	bool is_leader;
} host_row_t;

/*
 * Most and fewest addresses of an answer that lists hosts by their shares. A caller
 * keeps an answer for some seconds. In them two hosts may fail at once, and a third
 * restart: one of four is left. A caller opens few connections by one answer, so more
 * than sixteen addresses help none.
 */
#define HOST_SHARE_LIST_MAX 16u
#define HOST_SHARE_LIST_MIN 4u

/*
 * Fills out with the hosts that one caller is told, as indexes into rows; returns
 * their number. Where all have equal capacity and load, these are the first max
 * rows. Else each is listed with a probability in proportion to what it can carry,
 * as far as this is possible; every host is listed at times. draw is random.
 */
size_t host_share_select(const host_row_t *rows, size_t n, uint64_t draw,
			 uint32_t *out, size_t max);

/* Fills parts with the part of the new connections that each row gets, of n rows. */
void host_share_parts(const host_row_t *rows, size_t n, double *parts);

/* What this host uses, measured at regular intervals. */
typedef struct host_usage {
	int64_t cpu_us;	 /* of processor time since the start */
	int64_t slow_us; /* taken by slow turns of the loop since the start */
	uint32_t n_slow; /* such turns since the start */
	uint64_t memory; /* bytes resident */
	uint64_t unsent; /* bytes buffered for callers */
	uint64_t unsent_max; /* bound of these; 0: none */
	uint64_t fds;	     /* file descriptors in use */
} host_usage_t;

/* X(NAME, "name") - what a host may be short of. */
#define HOST_SHORTAGES(X)         \
	X(NOTHING, "nothing")     \
	X(PROCESSOR, "processor") \
	X(TURNS, "turns")         \
	X(MEMORY, "memory")       \
	X(UNSENT, "unsent")       \
	X(FDS, "descriptors")

typedef enum host_shortage {
#define X(name, text) HOST_SHORT_OF_##name,
	HOST_SHORTAGES(X)
#undef X
	HOST_SHORTAGE_COUNT,
} host_shortage_t;

const char *host_shortage_name(host_shortage_t s);

/* Judges the load of this host. Zero-initialize. */
typedef struct host_judge {
	host_usage_t last;
	int64_t last_us;	  /* 0: no sample yet */
	double cpu_ratio;	  /* of the processor time allowed, smoothed */
	host_load_t load;	  /* as judged */
	host_load_t seen_before;  /* in the last sample alone */
	int64_t better_since_us;  /* samples are better than load; 0: not */
	host_shortage_t short_of; /* why load is not normal */
} host_judge_t;

/*
 * Takes a sample and returns the load. It gets worse once two samples agree, and
 * better once the samples have been better for HOST_CALM_US, one class at a time.
 */
host_load_t host_judge_add(host_judge_t *j, const host_capacity_t *c,
			   const host_usage_t *u, int64_t now_us);

#define HOST_CALM_US (5 * USEC_PER_SEC)

/* The load of other hosts, as far as it is known; each entry expires. */
typedef struct host_loads host_loads_t;

host_loads_t *host_loads_new(void);
void host_loads_free(host_loads_t *l);
/* True where that changes what is known of the host at now_us. */
bool host_loads_set(host_loads_t *l, host_id_t host, host_load_t load,
		    int64_t until_us, int64_t now_us);
host_load_t host_loads_get(const host_loads_t *l, host_id_t host,
			   int64_t now_us);
/* Whether all hosts are normal, as far as is known. */
bool host_loads_empty(const host_loads_t *l);
void host_loads_clear(host_loads_t *l);
/* Removes what has expired; true where there was any. */
bool host_loads_expire(host_loads_t *l, int64_t now_us);
/* Fills out with at most max hosts of this load; returns their number. */
size_t host_loads_list(const host_loads_t *l, host_load_t load, host_id_t *out,
		       size_t max);

/*
 * How the leader tells all hosts the loads of those that are not normal: one host after
 * the other in rounds, so many and so many bytes in each step. So it sends at most 400
 * messages and 128,000 bytes a second, and nothing while all hosts are normal. A round
 * to 2,300 hosts takes some 6 s, or 20 s with the longest list.
 */
#define HOST_SPREAD_STEP_US (100 * USEC_PER_MSEC)
#define HOST_SPREAD_STEP_MESSAGES 40u
#define HOST_SPREAD_STEP_BYTES 12800u
/* Hosts named in one message, those that are full first. */
#define HOST_SPREAD_HOSTS_MAX 256u
/* While any load is not normal, a message may have been lost: tells all again. */
#define HOST_SPREAD_AGAIN_US (10 * USEC_PER_SEC)

/* Zero-initialize. */
typedef struct host_spread {
	bool changed; /* the loads, since the last round began */
	bool in_round;
	size_t at; /* index of the next host to tell */
	int64_t began_us;
} host_spread_t;

/* Whether a round begins now. all_normal: no load is to be told. */
bool host_spread_begin(host_spread_t *s, bool all_normal, int64_t now_us);
/*
 * The next hosts to tell, of n_hosts, by messages of this size: sets the index of the
 * first and returns their number. Ends the round with the last host.
 */
size_t host_spread_step(host_spread_t *s, size_t n_hosts, size_t bytes,
			size_t *first);

#ifdef __cplusplus
}
#endif
#endif
