/*
 * event.h - table of all log events of the site daemon, with a rate limit for
 * each. docs/logs.md is generated from it.
 */
#ifndef DK_EVENT_H
#define DK_EVENT_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * X("name", lines per second, "keys", "meaning")
 *
 * Lines of an event above its limit are dropped and counted; the next line of
 * the event that is written gives their number as suppressed=.
 */
#define EVENTS(X)                                                              \
	X("started", 10, "host zone ip disk bootstrap", "The daemon runs.")    \
	X("leaving", 10, "requests",                                           \
	  "SIGTERM came: the daemon reports that it is not ready, and "        \
	  "finishes the requests under way.")                                  \
	X("stopped", 10, "requests_aborted",                                   \
	  "The daemon ends; requests_aborted were not finished.")              \
	X("settings_reloaded", 10, "seeds",                                    \
	  "The settings file changed and was read again.")                     \
	X("settings_refused", 10, "errors",                                    \
	  "The changed settings file is invalid and not used.")                \
	X("listen_failed", 10, "addr", "The daemon cannot listen on a port.")  \
	X("thread_start_failed", 10, "error",                                  \
	  "The daemon does not start, as a thread cannot be started.")         \
	X("handover", 10, "host term idle",                                    \
	  "The leader shuts down, is overloaded or lost its disk, and asks "   \
	  "this host to lead; idle: no order of its own is outstanding.")      \
	X("leader_overloaded", 10, "term",                                     \
	  "The leader's loop is too slow to dispatch; another host is to "     \
	  "lead.")                                                             \
	X("leader_cut_off", 10, "term",                                        \
	  "The leader's host reaches no runner, so that it can give no "       \
	  "orders; another host is to lead.")                                  \
	X("quorum_lost", 10, "host term index silent_ms",                      \
	  "The log has had no leader for 20 election timeouts. silent_ms: "    \
	  "each voter, and how long nothing came from it.")                    \
	X("quorum_regained", 10, "host leader after_ms",                       \
	  "The log has a leader again, after so long.")                        \
	X("leader_changed", 20, "host term",                                   \
	  "The log has another leader or another term.")                       \
	X("manifest_in_force", 20, "version routes services",                  \
	  "New requests are handled by this manifest.")                        \
	X("manifest_regressed", 5, "version held",                             \
	  "The tables have an older manifest than the one in force, which "    \
	  "stays; this is a fault of the daemon.")                             \
	X("manifest_read", 20, "version index waited_ms confirmed_ago_ms",     \
	  "An operator read the manifest from tables at this index of the "    \
	  "log, confirmed to hold all that was decided so long ago.")          \
	X("manifest_refused", 20, "reason", "A manifest is not valid.")        \
	X("manifest_proposed", 20, "version",                                  \
	  "A manifest is proposed to the log.")                                \
	X("manifest_confirmed", 20, "version after_ms",                        \
	  "A quorum holds the manifest.")                                      \
	X("manifest_unusable", 10, "version reason",                           \
	  "The decided manifest cannot be compiled here.")                     \
	X("control_answered", 50, "call status after_ms",                      \
	  "An operator's call was answered; a resent call logs the same.")     \
	X("adapter_version_proposed", 50, "name version",                      \
	  "A version of an adapter is proposed to the log.")                   \
	X("grant_issued", 100,                                                 \
	  "id runner build adapter version pending_prefill_tokens grants "     \
	  "first_ms",                                                          \
	  "Dispatcher: a request was granted a place at the runner. grants "   \
	  "and pending_prefill_tokens are the runner's, this request's "       \
	  "included; first_ms is the expected time to the first event.")       \
	X("runner_speed", 10, "runner gap_us token_ns first_us observed",      \
	  "Dispatcher: what was learnt of a model runner has changed: time "   \
	  "between two events of a stream, to prefill a prompt token, and to " \
	  "the first event of an empty prompt, after so many observations.")   \
	X("pauses_expected", 20, "runner prefill_tokens pause_ms streams",     \
	  "Dispatcher: a prompt was granted although so many streams there "   \
	  "are expected to pause longer than their routes allow.")             \
	X("load_pending", 100, "id runner adapter load_attempts",              \
	  "Dispatcher: a request waits for its adapter on the runner.")        \
	X("grant_refused", 100, "id reason retry_ms",                          \
	  "Dispatcher: a request was refused a grant.")                        \
	X("sent", 100,                                                         \
	  "id route kind manifest runner build adapter version digest parts "  \
	  "term waited_ms by_peer",                                            \
	  "The request is sent to a runner; build is the version of its "      \
	  "software, version that of the adapter, digest is alike for all "    \
	  "requests with the same target, caller and body, parts are the ids " \
	  "of its prompt's parts, term is that of the grant; by_peer: the "    \
	  "host that moves the bytes, 0: this one.")                           \
	X("runners_unreachable", 10, "runner",                                 \
	  "This host has lost several runners, the last one is named, and "    \
	  "has heard from none since: its requests go by way of other hosts.") \
	X("runners_reached", 10, "after_ms",                                   \
	  "This host reaches runners itself again.")                           \
	X("event_split", 10, "id runner bytes held",                           \
	  "An event of a stream is sent in pieces, as so many bytes of it "    \
	  "have come and not its end; held: what is buffered for callers.")    \
	X("attempt_ended", 100,                                                \
	  "id runner digest outcome sent response_status named framing "       \
	  "body_started unfinished_bytes target_close after_send_ms tries "    \
	  "retry after_ms",                                                    \
	  "An attempt at a runner ended without a response for the caller; "   \
	  "digest: as in sent; "                                               \
	  "response_status=0: it brought no valid response head; named=1: "    \
	  "the response names the request; framing: what delimits its body; "  \
	  "body_started=1: a byte of the body had come; "                      \
	  "unfinished_bytes: of an event that did not end; target_close: how " \
	  "the runner's connection ended, empty if this daemon closed it; "    \
	  "after_send_ms=-1: nothing was sent.")                               \
	X("resumed", 100, "id stream by runner build after_event",             \
	  "A stream is resumed at the runner, behind event after_event: by "   \
	  "this daemon within its response, or by a caller that takes up the " \
	  "stream of an earlier request.")                                     \
	X("ended", 100,                                                        \
	  "id route runner status tries framing unfinished_bytes first_ms "    \
	  "after_ms",                                                          \
	  "The whole response was sent to the caller; framing: what delimits " \
	  "its body at the runner, unfinished_bytes: behind its last event.")  \
	X("refused", 200, "id route reason status by run tries after_ms",      \
	  "The caller gets a refusal by this daemon, or its response is cut "  \
	  "off; status is what the caller gets, by whether it is a target's "  \
	  "or this daemon's.")                                                 \
	X("cancelled", 100,                                                    \
	  "id route state runner by_peer silent_ms after_ms",                  \
	  "The caller's connection ended before the response; by_peer: the "   \
	  "host by way of which the request was sent, 0: directly; "           \
	  "silent_ms: since the runner was last sent or heard, -1: neither.")  \
	X("run_stopped", 50, "id runner via tries status after_ms",            \
	  "Nobody waits for a run any more, and this host may have no path "   \
	  "to its runner: another host was asked to carry an order to stop "   \
	  "it. status is the runner's answer, 0: no host reached it in so "    \
	  "many tries.")                                                       \
	X("spill_opened", 20,                                                  \
	  "service zone to wait_ms wait_there_ms crossing_ms keep_ms",         \
	  "Dispatcher: waiting in this failure domain takes longer than in "   \
	  "another one and the way there; a share of its requests may leave. " \
	  "crossing_ms is the time there and back and the price of the "       \
	  "bytes, keep_ms how long the share stays open at least.")            \
	X("spill_closed", 20,                                                  \
	  "service zone to why after_ms wait_ms wait_there_ms",                \
	  "Dispatcher: no share of the domain's requests leaves any more. "    \
	  "why: no_gain, loaded_there (the other domain needs its runners "    \
	  "itself), no_runner_there, no_runner (at home: all may leave) or "   \
	  "paused (the dispatcher was).")                                      \
	X("request_left_domain", 50, "id service zone to why tokens",          \
	  "Dispatcher: a request was granted a place in another failure "      \
	  "domain. why: adapter (it is ready there only), no_runner (none at " \
	  "home may serve it), share (of those that may leave, spill_opened) " \
	  "or home_full (it is full, or the request would be late there).")    \
	X("quarantine_begun", 10, "cause crashes",                             \
	  "Dispatcher: so many runners have ended as they were about to "      \
	  "answer what the cause names, and nothing else explains it; it is "  \
	  "refused from now on. The cause is a part of prompts, or request: "  \
	  "and the digest of a request.")                                      \
	X("quarantine_trial", 10, "cause trials",                              \
	  "Dispatcher: one request with this cause is let pass, to learn "     \
	  "whether it still crashes runners.")                                 \
	X("quarantine_ended", 10, "cause why",                                 \
	  "Dispatcher: requests with this cause are served again, as one was " \
	  "answered, nobody sent any more, or an operator released it.")       \
	X("dispatch_started", 10, "term orders_settled",                       \
	  "This daemon becomes the dispatcher; orders_settled=1: no order "    \
	  "of an earlier one can still be carried out.")                       \
	X("dispatch_ended", 10, "term",                                        \
	  "This daemon is no longer the dispatcher.")                          \
	X("isolated_dispatch_started", 10, "daemons silent_ms",                \
	  "No dispatcher answers: this daemon grants places to its own "       \
	  "requests.")                                                         \
	X("isolated_dispatch_ended", 10, "leader",                             \
	  "The dispatcher answers again.")                                     \
	X("runner_added", 50, "runner service addr zone build",                \
	  "A runner is new in the platform's list.")                           \
	X("runner_removed", 50, "runner",                                      \
	  "A runner is no longer in the platform's list.")                     \
	X("runner_state", 50, "runner draining",                               \
	  "The list says that the runner began or ended draining.")            \
	X("runner_restarted", 50, "runner born_ms",                            \
	  "The runner has restarted; all that was known of it is discarded.")  \
	X("runner_suspended", 50, "runner failures outcome host for_ms",       \
	  "The runner gets no requests for a while, then one as a trial; "     \
	  "host told the last failure, 0: the dispatcher saw it.")             \
	X("runner_held_off", 50, "runner leaving for_ms",                      \
	  "The runner answered that it wants no requests of this host for a "  \
	  "time, or, with leaving=1, that it shuts down.")                     \
	X("runner_limit", 50, "id runner per_1000_s",                          \
	  "The runner answered that it takes so many requests in 1,000 s "     \
	  "from "                                                              \
	  "all hosts together.")                                               \
	X("runner_limited", 50, "runner per_1000_s",                           \
	  "Dispatcher: grants for the runner keep to the limit it has named.") \
	X("runner_unlimited", 50, "runner",                                    \
	  "Dispatcher: the runner names no limit any more.")                   \
	X("runner_list_failed", 5, "status close_reason",                      \
	  "The platform's list of runners could not be read.")                 \
	X("runner_list_rows_invalid", 5, "rows id fault",                      \
	  "So many rows of the list name no runner, for a field that is "      \
	  "missing, of another type or cannot be read; id and fault: of the "  \
	  "last one. Told as the number changes; the others hold.")            \
	X("runner_list_recovered", 5, "failures",                              \
	  "The platform's list of runners can be read again.")                 \
	X("order_sent", 50, "runner body",                                     \
	  "A runner is ordered to load or unload a model or an adapter.")      \
	X("order_failed", 50, "runner status",                                 \
	  "The runner refused the order, or did not answer (status=0).")       \
	X("order_fenced", 10, "runner term",                                   \
	  "The runner refused an order, as it has had one of a later "         \
	  "term.")                                                             \
	X("copy_missing", 20, "runner model adapter",                          \
	  "The runner does not hold an adapter or model that the dispatcher "  \
	  "expected there.")                                                   \
	X("adapter_not_loaded", 50,                                            \
	  "runner adapter version state load_time_unconfirmed ready_ms "       \
	  "granted_ms load_ms",                                                \
	  "A request reached a runner before its adapter was loaded there.")   \
	X("store_concurrency_sample", 10,                                      \
	  "store_concurrency concurrent_loads on_time",                        \
	  "One load in a trial of the store was checked: on_time=1 if it "     \
	  "took the usual time while concurrent_loads adapters were loaded; "  \
	  "store_concurrency is the number learnt so far.")                    \
	X("loop_slow", 5, "turn_ms events",                                    \
	  "One turn of the event loop took long: there is too much work, or "  \
	  "too little processor time.")                                        \
	X("host_load", 10,                                                     \
	  "load short_of cpu_percent memory_mb unsent_kb fds requests",        \
	  "This host judges its own load to have changed: callers are sent "   \
	  "to it less often while load is strained or full.")                  \
	X("peer_up", 20, "peer", "The link to a daemon is up.")                \
	X("peer_down", 20, "peer", "The link to a daemon is lost.")            \
	X("log_closed", 10, "host machine feed tables replay",                 \
	  "The log failed; the daemon goes on without a disk from these "      \
	  "positions of the log: its state machine, its feed, its tables; "    \
	  "replay: how far a reopened log had come, 0 if it had caught up.")   \
	X("log_reopened", 10, "host machine feed tables replay",               \
	  "The disk that failed is used again; positions as in log_closed. "   \
	  "The feed goes on until the log has caught up.")                     \
	X("log_caught_up", 10, "host machine feed tables replay",              \
	  "The reopened log has all that the daemon had without it.")          \
	X("stream_journal_read", 10,                                           \
	  "streams segments unreadable torn_bytes after_ms",                   \
	  "The journal of streams was read after the start; streams may "      \
	  "still "                                                             \
	  "be taken up.")                                                      \
	X("stream_journal_failed", 2, "error streams",                         \
	  "The journal of streams could not be read or written; so many "      \
	  "records are lost on this host. Other work goes on.")                \
	X("streams_journaled", 10, "services hosts",                           \
	  "Several software versions of so many services are decided: "        \
	  "records "                                                           \
	  "of their new streams go to hosts with a disk, of which so many "    \
	  "are known. 0 services: no more.")                                   \
	X("stream_journals_missing", 5, "told hosts after_ms",                 \
	  "Dispatcher: a stream is not known, and not all hosts with a disk "  \
	  "have told what their journals hold.")                               \
	X("disk_still_unusable", 5, "error", "The disk still fails.")          \
	X("data_folder_unusable", 5, "error detail",                           \
	  "The data folder cannot be used; see docs/OPERATIONS.md.")           \
	X("log_unusable", 5, "error detail", "The log cannot be read.")        \
	X("dispatch_message_malformed", 5, "peer bytes",                       \
	  "A message cannot be decoded: its sender has another version, or "   \
	  "it was damaged on the way.")

typedef struct event_info {
	const char *name;
	uint32_t lines_per_s;
	const char *keys; /* separated by spaces */
	const char *meaning;
} event_info_t;

/* The row of an event; NULL for events that are not of the site daemon. */
const event_info_t *event_find(const char *name);
/* Appends docs/logs.md: the table as Markdown. */
void event_manual(buf_t *out);
/*
 * Whether a line of the event may be written now; counts the line as written or
 * dropped. *left_out: lines dropped since the last one that was written.
 */
bool event_may_write(const event_info_t *e, int64_t now_us, uint64_t *left_out);

#ifdef __cplusplus
}
#endif
#endif
