/*
 * settings.h - the settings of one daemon, read from a TOML file. The whole
 * file is checked before anything starts. The struct, the parser, the checks
 * and the manual page are all made from one table of keys, SETTINGS.
 */
#ifndef DK_SETTINGS_H
#define DK_SETTINGS_H

#include "decided.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * X(section, key, TYPE, required, min, max, "default", "help")
 *
 * TYPE is STR, ADDR ("ip:port"), INT or NUM. min and max bound the length in
 * bytes of a STR, and the value of an INT or NUM. required is 1 where the key
 * must be given. The name of a key that holds a quantity ends in its unit.
 */
#define SETTINGS(X)                                                           \
	X(host, id, INT, 1, 1, 1000000, "0",                                  \
	  "Numeric id of this host, unique in the cluster")                   \
	X(host, name, STR, 1, 1, 64, "", "Name of this host")                 \
	X(host, zone, STR, 1, 1, 64, "", "Failure domain of this host")       \
	X(host, region, STR, 1, 1, 64, "", "Region of this host")             \
	X(host, data, STR, 0, 0, 4096, "",                                    \
	  "Data folder; a host that has one can vote in the log")             \
	X(host, log_level, STR, 0, 3, 8, "info",                              \
	  "Lowest priority of log lines: err, warning, notice, info, debug")  \
	X(listen, callers, ADDR, 1, 0, 0, "",                                 \
	  "Address that callers connect to")                                  \
	X(listen, operators, ADDR, 1, 0, 0, "",                               \
	  "Address of the operators' interface")                              \
	X(listen, peers, ADDR, 1, 0, 0, "",                                   \
	  "Address that the other daemons connect to")                        \
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
	  "Duration of the session lease of a daemon")                        \
	X(timing, stale_ms, INT, 0, 100, 600000, "2000",                      \
	  "A daemon refuses requests once its tables have been "              \
	  "unconfirmed for this long")                                        \
	X(timing, drift_ppm, INT, 0, 0, 100000, "1000",                       \
	  "Largest clock drift between two hosts, in parts per million")      \
	X(timing, fanout, INT, 0, 1, 64, "4",                                 \
	  "Most daemons that one daemon relays log entries to")               \
	X(timing, drain_max_ms, INT, 0, 0, 86400000, "120000",                \
	  "Longest graceful shutdown; requests still running are then cut "   \
	  "off")                                                              \
	X(timing, snapshot_entries, INT, 0, 16, 10000000, "4096",             \
	  "Log entries between two snapshots")                                \
	X(serving, stall_weight, NUM, 0, 0, 1000, "1",                        \
	  "Weight of expected load stalls in placement scores")               \
	X(serving, batch_weight, NUM, 0, 0, 1000, "1",                        \
	  "Weight of batch efficiency; no placement policy uses it at "       \
	  "present")                                                          \
	X(serving, store_concurrency, INT, 0, 1, 1000, "1",                   \
	  "Concurrent adapter loads that the weight store serves at full "    \
	  "speed")                                                            \
	X(serving, store_rate_per_s, NUM, 0, 0.01, 100000, "3",               \
	  "Adapter loads that may start per second")                          \
	X(serving, queue_max, INT, 0, 1, 1000000, "512",                      \
	  "Most requests that wait for one owned target")                     \
	X(serving, replicas_max, INT, 0, 1, 10000, "8",                       \
	  "Most runners that may hold the same adapter")                      \
	X(serving, step_ms, NUM, 0, 0.1, 60000, "25",                         \
	  "Expected duration of an engine step at batch size 1")              \
	X(serving, step_growth, NUM, 0, 0, 10, "0.05",                        \
	  "Relative step time added by each further run in a batch")          \
	X(serving, load_ms, INT, 0, 1, 600000, "400",                         \
	  "Expected time to load an adapter")                                 \
	X(serving, order_max_ms, INT, 0, 100, 3600000, "5000",                \
	  "How long an order of a previous owner may still be on its way "    \
	  "to a target that checks no fencing numbers")                       \
	X(serving, progress_ms, INT, 0, 50, 3600000, "5000",                  \
	  "Longest wait for the next byte of a response")                     \
	X(serving, address_ttl_ms, INT, 0, 100, 3600000, "2000",              \
	  "How long callers may cache the addresses of daemons")              \
	X(serving, default_deadline_ms, INT, 0, 100, 86400000, "60000",       \
	  "Deadline of requests that give none")                              \
	X(limits, body_bytes, INT, 0, 1024, 67108864, "4194304",              \
	  "Largest request body")                                             \
	X(limits, header_bytes, INT, 0, 2048, 65536, "8192",                  \
	  "Largest request head")                                             \
	X(limits, body_timeout_ms, INT, 0, 100, 600000, "10000",              \
	  "Longest wait for a request body, and for a caller that does not "  \
	  "read its response")                                                \
	X(limits, reader_buffer_bytes, INT, 0, 4096, 67108864, "262144",      \
	  "Response bytes buffered for a slow caller before it is cut off")   \
	X(limits, caller_threads, INT, 0, 4, 4096, "576",                     \
	  "Most connections of callers served at the same time")              \
	X(platform, host_list, STR, 0, 0, 512, "",                            \
	  "URL of the platform's list of live and leaving hosts")             \
	X(platform, poll_ms, INT, 0, 50, 600000, "1000",                      \
	  "Interval between requests for the host list")

#define SETTINGS_CTYPE_STR str_t
#define SETTINGS_CTYPE_ADDR str_t
#define SETTINGS_CTYPE_INT int64_t
#define SETTINGS_CTYPE_NUM double

/* One of the initial voters of the replicated log. Owns its strings. */
typedef struct settings_voter {
	host_id_t id;
	str_t peer_addr;      /* "ip:port" of its peer link */
	str_t operators_addr; /* "ip:port" for operators; may be empty */
} settings_voter_t;

/* Fields are named section_key. Owns its strings. */
typedef struct settings {
#define X(section, key, type, required, min, max, dflt, help) \
	SETTINGS_CTYPE_##type section##_##key;
	SETTINGS(X)
#undef X
	settings_voter_t *voters;
	size_t n_voters;
} settings_t;

/*
 * Reads and checks a file. Returns 0; or -1, with each fault appended to errors
 * as one line "file:line: section.key: what is expected". The line is 0 where
 * the fault is at no line of the file.
 */
int settings_load(settings_t *s, const char *path, buf_t *errors);
void settings_free(settings_t *s);
/* Checks a file like settings_load() and discards its values. */
int settings_check_file(const char *path, buf_t *errors);
/* Appends the manual page of all keys as Markdown. */
void settings_manual(buf_t *out);
/* Whether addr is "ip:port" with an IPv4 address and a port of 1..65535. */
bool settings_addr_valid(str_t addr);

#ifdef __cplusplus
}
#endif
#endif
