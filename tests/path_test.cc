// Hosts that have lost their paths to all runners, beside hosts that reach them.
#include <gtest/gtest.h>

#include "crash_traffic.h"

using namespace dispatch_world;
using crash_traffic::chance;
using crash_traffic::share_begun;

namespace
{

constexpr int64_t LIST_ARRIVES_US = 3000 * MS;
constexpr size_t HOSTS = 12;

struct Case {
	std::string service = "llm";
	size_t n_runners = 12;
	size_t n_cut = 8; // of HOSTS
	int64_t cut_us = 700 * MS;
	double per_s = 60; // requests of all hosts
};

std::unique_ptr<World> world_of(uint64_t seed, const Case &c)
{
	auto w = std::make_unique<World>(
		seed, Faults{},
		crash_traffic::fleet_of(c.service == "llm" ? c.n_runners : 1));

	if (c.service != "llm")
		w->add_plain_runners(c.n_runners);
	w->cut_us = c.cut_us;
	w->run(LIST_ARRIVES_US, 0);
	return w;
}

// Requests of all hosts; returns those of hosts that are not cut off.
std::vector<uint64_t> run_hosts(World &w, int64_t us, const Case &c)
{
	std::vector<uint64_t> of_others;

	for (int64_t end = w.now + us; w.now < end;) {
		w.run(5 * MS, 0);
		if (!chance(w, c.per_s * 0.005))
			continue;
		host_id_t host = 100 + (host_id_t)(w.rng() % HOSTS);
		uint64_t id = w.ask_of(host, c.service);

		if (host >= 100 + c.n_cut)
			of_others.push_back(id);
	}
	return of_others;
}

// The share of the others' requests that begin, before and during a cut.
void check_others(const Case &c)
{
	for (uint64_t seed = 1; seed <= 5; seed++) {
		auto w = world_of(seed, c);
		int64_t began = w->now;
		std::vector<uint64_t> before = run_hosts(*w, 8000 * MS, c);
		double usual =
			share_begun(*w, before, began, w->now - 500 * MS);

		for (host_id_t h = 100; h < 100 + c.n_cut; h++)
			w->cut_hosts.insert(h);
		int64_t cut = w->now;
		std::vector<uint64_t> during = run_hosts(*w, 12000 * MS, c);
		double share = share_begun(*w, during, cut + CONTACT_US,
					   w->now - 500 * MS);

		EXPECT_GE(share, usual * 2 / 3)
			<< c.n_cut << " hosts, " << c.service << ", seed "
			<< seed;
	}
}

TEST(Path, HostsThatHangAtAllRunnersDoNotTakeThemFromOthers)
{
	for (size_t n_cut : {1, 3, 8, 11})
		check_others({"llm", 12, n_cut, 700 * MS, 60});
}

TEST(Path, HostsThatAreRefusedByAllRunnersDoNotTakeThemFromOthers)
{
	for (size_t n_cut : {1, 3, 8, 11})
		check_others({"llm", 12, n_cut, 1 * MS, 60});
}

TEST(Path, CutOffHostsDoNotTakeTheRunnersOfASmallServiceFromOthers)
{
	for (int64_t cut_us : {1 * MS, 700 * MS})
		check_others({"app", 3, 6, cut_us, 30});
}

// One that is down for all is found out.
TEST(Path, ARunnerThatNoHostReachesGetsFewRequests)
{
	for (const char *service : {"app", "llm"}) {
		Case c = {service, 4, 0, 700 * MS, 60};
		auto w = world_of(1, c);
		std::string dead =
			service == std::string("app") ? "p-0" : "i-0";
		size_t n = 0;

		run_hosts(*w, 4000 * MS, c);
		w->find_runner(dead)->gone = true;
		int64_t gone = w->now;
		w->lists_arrive = false;
		run_hosts(*w, 5000 * MS, c);
		for (auto &r : w->requests)
			n += r.second.runner == dead &&
			     r.second.sent_us > gone + 1000 * MS;
		EXPECT_LE(n, 12u) << service;
	}
}

} // namespace
