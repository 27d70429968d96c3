/*
 * counter.h - counters of the process, sharded by thread, exported as
 * Prometheus text. Refused requests and retries have a counter for each reason.
 */
#ifndef DK_COUNTER_H
#define DK_COUNTER_H

#include "reason.h"
#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* X(NAME, "name", "help") - never falls; exported as damasklug_<name>_total. */
#define COUNTERS_HTTP(X)                                                    \
	X(HTTP_REQUESTS, "http_requests", "Requests received from callers") \
	X(HTTP_ADDRESS_ANSWERS, "address_answers", "Address answers given") \
	X(ADDRESS_ANSWERS_SHARED, "address_answers_shared",                 \
	  "Address answers that list some hosts, by capacity and load")     \
	X(STREAMS_RESUMED, "streams_resumed",                               \
	  "Streams sent on to another target within one response")          \
	X(STREAMS_TAKEN_UP, "streams_taken_up",                             \
	  "Streams that callers took up again, sent to a target")           \
	X(QUOTA_REFUSED, "quota_refused",                                   \
	  "Requests refused as their organisation was over its quota")      \
	X(QUOTA_WAITED, "quota_waited",                                     \
	  "Requests that waited until their organisation's quota had room") \
	X(STREAMS_FORGOTTEN, "streams_forgotten",                           \
	  "Streams not recorded as too many are known; none can go on")     \
	X(STREAMS_HELD_BACK, "streams_held_back",                           \
	  "Times that a target was not read as its caller read slowly")     \
	X(EVENTS_SPLIT, "events_split",                                     \
	  "Streams with an event sent in pieces, as its end did not come")  \
	X(RESPONSE_HEADS_TOO_LARGE, "response_heads_too_large",             \
	  "Connections to targets closed as a head did not end")            \
	X(STREAMS_ENDED_MIDWAY, "streams_ended_midway",                     \
	  "Streams that their target ended inside an event")                \
	X(STREAMS_AMBIGUOUS, "streams_ambiguous",                           \
	  "Streams told as begun by two software versions; none goes on")   \
	X(STREAMS_SENT_TO_JOURNALS, "streams_sent_to_journals",             \
	  "Records of streams sent to a host with a disk")                  \
	X(STREAM_JOURNAL_RECORDS, "stream_journal_records",                 \
	  "Records of streams written to this host's journal and synced")   \
	X(STREAM_JOURNAL_BYTES, "stream_journal_bytes",                     \
	  "Bytes written to this host's journal of streams")                \
	X(STREAM_JOURNAL_SYNCS, "stream_journal_syncs",                     \
	  "Syncs of this host's journal of streams")                        \
	X(STREAM_JOURNAL_DROPPED, "stream_journal_dropped",                 \
	  "Records not written: the disk is full, slow or failing")         \
	X(STREAM_JOURNAL_CUT, "stream_journal_cut",                         \
	  "Segments of the journal removed early, as it was at its bound")  \
	X(STREAM_JOURNAL_READ, "stream_journal_read",                       \
	  "Streams that the journal held at the start")

#define COUNTERS_SERVE(X)                                                      \
	X(ACCEPTED, "accepted", "Requests accepted")                           \
	X(ANSWERED, "answered", "Requests answered whole")                     \
	X(ANSWERED_LATE, "answered_late", "Answered whole after the deadline") \
	X(FORWARDED, "forwarded", "Requests forwarded to another daemon")      \
	X(LATE_DROPPED, "late_dropped", "Answers of older attempts dropped")   \
	X(LOADS, "loads", "Adapter loads started")                             \
	X(LOADS_FAILED, "loads_failed", "Adapter loads failed")                \
	X(EVICTIONS, "evictions", "Adapters evicted from a slot")              \
	X(LOAD_REPORTS, "load_reports",                                        \
	  "Load reports of owned targets sent to other daemons")               \
	X(LOAD_REPORT_BYTES, "load_report_bytes",                              \
	  "Bytes of load reports sent to other daemons")                       \
	X(STALL_US, "load_stall_us", "Microseconds requests waited for loads")

#define COUNTERS_STATE(X)                                                    \
	X(ELECTIONS, "elections", "Elections started by this daemon")        \
	X(QUORUM_LOSSES, "quorum_losses",                                    \
	  "Times that this daemon's log had no leader for long")             \
	X(LOG_SYNCS, "log_syncs", "Syncs of the log to disk")                \
	X(CHANGES_DECIDED, "changes_decided", "Changes decided")             \
	X(CHANGES_RESENT, "changes_resent", "Resent changes answered again") \
	X(CHANGES_CONFLICT, "changes_conflict",                              \
	  "Changes refused: base revision is not the current one")           \
	X(CLAIMS, "claims", "Claims decided")

#define COUNTERS_LINK(X)                                                       \
	X(HOST_LOADS_SENT, "host_loads_sent",                                  \
	  "Messages about the load of hosts sent to other daemons")            \
	X(HOST_LOADS_BYTES, "host_loads_bytes", "Bytes of these messages")     \
	X(TUNNELS_OPENED, "tunnels_opened",                                    \
	  "Connections to targets made for other daemons")                     \
	X(TUNNEL_BYTES, "tunnel_bytes", "Bytes moved on these, both ways")     \
	X(SENT_BY_PEER, "sent_by_peer",                                        \
	  "Requests sent to a target by way of another daemon")                \
	X(LIST_ROWS_INVALID, "runner_list_rows_invalid",                       \
	  "Rows of the runner list that name no runner, as read")              \
	X(RUNS_STOPPED, "runs_stopped",                                        \
	  "Runs without a caller that were stopped by way of another daemon")  \
	X(RUNS_NOT_STOPPED, "runs_not_stopped",                                \
	  "Such runs for which no daemon reached the target")                  \
	X(LINK_DIALS, "link_dials", "Connections dialed to peers")             \
	X(LINK_CUT_SECRET, "link_cut_secret", "Peers cut: wrong secret")       \
	X(LINK_CUT_CLUSTER, "link_cut_cluster", "Peers cut: other cluster id") \
	X(LINK_CUT_UNKNOWN, "link_cut_unknown_peer",                           \
	  "Peers cut: not a known host")                                       \
	X(LINK_CUT_VERSION, "link_cut_version",                                \
	  "Peers cut: other protocol version")                                 \
	X(LINK_CUT_OVERSIZE, "link_cut_oversize",                              \
	  "Peers cut: frame too large")                                        \
	X(LINK_CUT_MALFORMED, "link_cut_malformed", "Peers cut: bad frame")    \
	X(LINK_CUT_SLOW, "link_cut_slow_reader", "Peers cut: queue full")      \
	X(LINK_CUT_SILENT, "link_cut_silent", "Peers cut: no heartbeat")       \
	X(LINK_DROPPED, "link_dropped",                                        \
	  "Messages dropped: peer down, unknown or its queue full")            \
	X(LINK_BYTES_IN, "link_bytes_in", "Bytes received from peers")         \
	X(LINK_BYTES_OUT, "link_bytes_out", "Bytes sent to peers")

#define COUNTERS_DISPATCH(X)                                                 \
	X(DISPATCH_DECISIONS, "dispatch_decisions",                          \
	  "Choices of a runner for a request, also for one that waits")      \
	X(DISPATCH_OFFERS, "dispatch_offers",                                \
	  "Runners whose cost was computed for such a choice")               \
	X(PATHS_BLAMED, "paths_blamed",                                      \
	  "Attempts that failed by their host's path to the runner")         \
	X(PARTS_QUARANTINED, "parts_quarantined",                            \
	  "Parts of prompts found to crash runners")                         \
	X(REQUESTS_QUARANTINED, "requests_quarantined",                      \
	  "Requests, sent again alike, found to crash runners")              \
	X(PROMPTS_HELD, "prompts_held_for_streams",                          \
	  "Decisions that a prompt waits as a runner's streams would pause") \
	X(PAUSES_EXPECTED, "pauses_expected",                                \
	  "Streams expected to pause too long for a prompt granted there")   \
	X(STREAMS_PAUSED, "streams_paused",                                  \
	  "Streams that paused longer than their route allows")

#define COUNTERS_SPILL(X)                                                      \
	X(SPILL_LEFT_ADAPTER, "spill_left_adapter",                            \
	  "Requests that left their failure domain: their adapter was ready "  \
	  "elsewhere only")                                                    \
	X(SPILL_LEFT_NO_RUNNER, "spill_left_no_runner",                        \
	  "Requests that left their failure domain: no runner there could "    \
	  "serve them")                                                        \
	X(SPILL_LEFT_SHARE, "spill_left_share",                                \
	  "Requests that left their failure domain: they were of the share "   \
	  "that may")                                                          \
	X(SPILL_LEFT_HOME_FULL, "spill_left_home_full",                        \
	  "Requests that left their failure domain: it was full, or they "     \
	  "would have been late there")                                        \
	X(SPILL_TOKENS, "spill_tokens",                                        \
	  "Tokens, at most, of all requests that left their failure domain")   \
	X(SPILL_OPENED, "spill_opened",                                        \
	  "Times that a share of a domain's requests was first let leave for " \
	  "another")                                                           \
	X(SPILL_CLOSED, "spill_closed", "Times that this share fell to zero")

#define COUNTERS(X)          \
	COUNTERS_HTTP(X)     \
	COUNTERS_SERVE(X)    \
	COUNTERS_STATE(X)    \
	COUNTERS_LINK(X)     \
	COUNTERS_DISPATCH(X) \
	COUNTERS_SPILL(X)

/*
 * X(NAME, "status") - groups of statuses that callers get. 408, 421, 429 and 503
 * are apart, as they tell a caller that its request did not run.
 */
#define RESPONSE_GROUPS(X)  \
	X(2XX, "2xx")       \
	X(3XX, "3xx")       \
	X(408, "408")       \
	X(421, "421")       \
	X(429, "429")       \
	X(503, "503")       \
	X(OTHER_4XX, "4xx") \
	X(OTHER_5XX, "5xx")

/* X(NAME, "by") - whose response a caller gets. */
#define RESPONSE_SOURCES(X) \
	X(TARGET, "target") \
	X(DAEMON, "daemon")

typedef enum response_source {
#define X(name, str) RESPONSE_BY_##name,
	RESPONSE_SOURCES(X)
#undef X
	RESPONSE_SOURCE_COUNT,
} response_source_t;

typedef enum counter {
#define X(name, str, help) CTR_##name,
	COUNTERS(X)
#undef X
	CTR_COUNT,
} counter_t;

void counter_add(counter_t c, uint64_t n);
/* Counts one refused or failed request. */
void counter_add_refused(reason_t r);
/* Counts one response to a caller. */
void counter_add_response(int status, response_source_t source);
/* Counts one retry of an attempt. */
void counter_add_retried(retry_reason_t r);
/*
 * Sums over all shards. Threads go on counting meanwhile, so the values of
 * several counters need not belong to one moment.
 */
uint64_t counter_get(counter_t c);
uint64_t counter_get_refused(reason_t r);
/* Of all statuses in the group of this one. */
uint64_t counter_get_responses(int status, response_source_t source);
uint64_t counter_get_retried(retry_reason_t r);
/* Appends all counters as Prometheus text. */
void counter_write(buf_t *out);
const char *counter_name(counter_t c);
const char *counter_help(counter_t c);

#ifdef __cplusplus
}
#endif
#endif
