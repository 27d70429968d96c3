/*
 * settings.h - settings of one daemon, from a TOML file, checked whole before
 * anything starts. One table of keys gives the struct, the parser, the checker
 * and the manual.
 */
#ifndef DK_SETTINGS_H
#define DK_SETTINGS_H

#include "decided.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * X(section, key, TYPE, need, lo, hi, "default", "help")
 *
 * TYPE: STR (lo, hi bound its length), ADDR ("ip:port"), INT, NUM (lo, hi
 * bound its value). need: 1 where the key must be given. Names of keys end in
 * their unit.
 */
#define SETTINGS(X)                                                           \
	X(host, id, INT, 1, 1, 1000000, "0",                                  \
	  "Number of this host, unique in the cluster")                       \
	X(host, name, STR, 1, 1, 64, "", "Name of this host")                 \
	X(host, zone, STR, 1, 1, 64, "", "Failure domain of this host")       \
	X(host, region, STR, 1, 1, 64, "", "Region of this host")             \
	X(host, data, STR, 0, 0, 4096, "",                                    \
	  "Data folder; makes the host able to vote")                         \
	X(host, log_level, STR, 0, 3, 8, "info",                              \
	  "Lowest priority of log lines: err, warning, notice, info, debug")  \
	X(listen, callers, ADDR, 1, 0, 0, "", "Address for callers")          \
	X(listen, operators, ADDR, 1, 0, 0, "", "Address for operators")      \
	X(listen, peers, ADDR, 1, 0, 0, "", "Address for the other daemons")  \
	X(cluster, id, STR, 1, 1, 64, "", "Name of the cluster")              \
	X(cluster, secret, STR, 1, 16, 256, "",                               \
	  "Secret that all daemons of the cluster share")                     \
	X(operators, token, STR, 0, 16, 256, "", "Bearer token of operators") \
	X(operators, token_file, STR, 0, 0, 4096, "",                         \
	  "File whose first line is the operators' token")                    \
	X(timing, heartbeat_ms, INT, 0, 10, 60000, "100",                     \
	  "Interval between heartbeats")                                      \
	X(timing, election_ms, INT, 0, 50, 600000, "600",                     \
	  "Shortest election timeout; the longest is twice this")             \
	X(timing, lease_ms, INT, 0, 100, 600000, "1500",                      \
	  "Session lease of a daemon")                                        \
	X(timing, stale_ms, INT, 0, 100, 600000, "2000",                      \
	  "A daemon without confirmed tables for so long refuses requests")   \
	X(timing, drift_ppm, INT, 0, 0, 100000, "1000",                       \
	  "Bound of clock drift between two hosts, parts per million")        \
	X(timing, fanout, INT, 0, 1, 64, "4", "Children of one feed relay")   \
	X(timing, drain_max_ms, INT, 0, 0, 86400000, "120000",                \
	  "Longest graceful shutdown; what runs then is cut")                 \
	X(timing, snapshot_entries, INT, 0, 16, 10000000, "4096",             \
	  "Log entries between two snapshots")                                \
	X(serving, stall_weight, NUM, 0, 0, 1000, "1",                        \
	  "Weight of load stalls in placement")                               \
	X(serving, batch_weight, NUM, 0, 0, 1000, "1",                        \
	  "Weight of batch efficiency in placement")                          \
	X(serving, store_concurrency, INT, 0, 1, 1000, "1",                   \
	  "Loads at once that the weight store serves at full speed")         \
	X(serving, store_rate_per_s, NUM, 0, 0.01, 100000, "3",               \
	  "Loads a second that the weight store allows")                      \
	X(serving, queue_max, INT, 0, 1, 1000000, "512",                      \
	  "Waiting requests for each owned target")                           \
	X(serving, replicas_max, INT, 0, 1, 10000, "8",                       \
	  "Most runners that hold one adapter")                               \
	X(serving, step_ms, NUM, 0, 0.1, 60000, "25",                         \
	  "Expected engine step at batch 1")                                  \
	X(serving, step_growth, NUM, 0, 0, 10, "0.05",                        \
	  "Relative step time added by each further run")                     \
	X(serving, load_ms, INT, 0, 1, 600000, "400",                         \
	  "Expected time to load an adapter")                                 \
	X(serving, order_max_ms, INT, 0, 100, 3600000, "5000",                \
	  "Longest order that a past owner may have outstanding")             \
	X(serving, progress_ms, INT, 0, 50, 3600000, "5000",                  \
	  "Longest wait for a byte of a running answer")                      \
	X(serving, address_ttl_ms, INT, 0, 100, 3600000, "2000",              \
	  "How long callers may keep an address answer")                      \
	X(serving, default_deadline_ms, INT, 0, 100, 86400000, "60000",       \
	  "Deadline of requests that name none")                              \
	X(limits, body_bytes, INT, 0, 1024, 67108864, "4194304",              \
	  "Largest request body")                                             \
	X(limits, header_bytes, INT, 0, 2048, 65536, "8192",                  \
	  "Largest request head")                                             \
	X(limits, body_timeout_ms, INT, 0, 100, 600000, "10000",              \
	  "Longest wait for a request body, and for a blocked answer")        \
	X(limits, reader_buffer_bytes, INT, 0, 4096, 67108864, "262144",      \
	  "Answer bytes kept for a slow reader before it is cut")             \
	X(limits, caller_threads, INT, 0, 4, 4096, "576",                     \
	  "Connections of callers served at once")                            \
	X(platform, host_list, STR, 0, 0, 512, "",                            \
	  "URL of the platform's list of live and leaving hosts")             \
	X(platform, poll_ms, INT, 0, 50, 600000, "1000",                      \
	  "Interval between reads of the host list")

#define SETTINGS_CTYPE_STR str_t
#define SETTINGS_CTYPE_ADDR str_t
#define SETTINGS_CTYPE_INT int64_t
#define SETTINGS_CTYPE_NUM double

/* One first voter of the log. Strings are owned. */
typedef struct settings_voter {
	host_id_t id;
	str_t peer_addr;      /* of its peer link */
	str_t operators_addr; /* of its operators' port; may be empty */
} settings_voter_t;

/* Fields are named section_key. Strings are owned. */
typedef struct settings {
#define X(section, key, type, need, lo, hi, dflt, help) \
	SETTINGS_CTYPE_##type section##_##key;
	SETTINGS(X)
#undef X
	settings_voter_t *voters;
	size_t n_voters;
} settings_t;

/*
 * Reads and checks a file. 0; or -1 with every fault as one line
 * "file:line: key: what is expected" appended to errors.
 */
int settings_load(settings_t *s, const char *path, buf_t *errors);
void settings_free(settings_t *s);
/* settings_load() for a check offline. */
int settings_check_file(const char *path, buf_t *errors);
/* Appends the table of keys as Markdown. */
void settings_manual(buf_t *out);
/* "ip:port" with a port of 1..65535. */
bool settings_addr_valid(str_t addr);

#ifdef __cplusplus
}
#endif
#endif
